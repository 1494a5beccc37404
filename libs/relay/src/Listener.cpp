#include "Listener.h"

#include <utility>

namespace boragepitch::relay {

namespace {
constexpr int kListenBacklog = 512;
} // namespace

Listener::Listener(asio::io_context& aIo)
  : mIo(aIo)
  , mAcceptor(aIo)
{
}

base::Status Listener::open(const net::Address& aAddress)
{
  Tcp::endpoint endpoint(asio::ip::make_address_v4(aAddress.host),
                         static_cast<uint16_t>(aAddress.port));
  ErrorCode error;
  mAcceptor.open(Tcp::v4(), error);
  if (!error) {
    mAcceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    mAcceptor.bind(endpoint, error);
  }
  if (!error) {
    mAcceptor.listen(kListenBacklog, error);
  }
  if (error) {
    return base::fail(base::ErrorKind::Unavailable,
                      aAddress.toString(),
                      "cannot listen: " + error.message(),
                      "free the address or correct the setting");
  }
  return {};
}

void Listener::start(OnAccepted aOnAccepted, OnFailed aOnFailed)
{
  mOnAccepted = std::move(aOnAccepted);
  mOnFailed = std::move(aOnFailed);
  accept();
}

void Listener::accept()
{
  mAcceptor.async_accept([this](ErrorCode aError, Tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      mHasFailed = true;
      mOnFailed(aError);
      return;
    }
    mOnAccepted(std::move(aSocket));
    if (isOpen()) {
      accept();
    }
  });
}

void Listener::retry()
{
  if (std::exchange(mHasFailed, false) && isOpen()) {
    accept();
  }
}

void Listener::end()
{
  ErrorCode error;
  mAcceptor.non_blocking(true, error);
  for (int taken = 0; !error && taken < kListenBacklog; ++taken) {
    Tcp::socket socket(mIo);
    mAcceptor.accept(socket, error);
    if (!error) {
      mOnAccepted(std::move(socket));
    } else if (error == asio::error::connection_aborted) {
      error = {}; // This one's caller has left.
    }
  }
  if (error && error != asio::error::would_block) {
    mOnFailed(error);
  }
  ErrorCode ignored; // The address is not used any more.
  mAcceptor.close(ignored);
}

} // namespace boragepitch::relay
