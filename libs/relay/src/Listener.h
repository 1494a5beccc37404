#pragma once

#include <functional>

#include "Asio.h"
#include "base/Error.h"
#include "net/Address.h"

namespace boragepitch::relay {

/** Accepts connections at one address. */
class Listener
{
public:
  using OnAccepted = std::function<void(Tcp::socket)>;
  using OnFailed = std::function<void(const ErrorCode&)>;

  explicit Listener(asio::io_context& aIo);

  /** Binds the address; ErrorKind::Unavailable when it is in use. */
  base::Status open(const net::Address& aAddress);
  /** Accepts until end() or a failure. Once, after open(). */
  void start(OnAccepted aOnAccepted, OnFailed aOnFailed);
  /** Accepts again after a failure. To be called now and then: without a free descriptor, for
   * example, accepting fails at once and would take all processor time if it were repeated at once.
   */
  void retry();
  /** Takes the connections that wait to be accepted, and closes the address. Their callers may have
   * sent requests, which closing alone would drop. A connection that was accepted just before may
   * still be reported in a later turn of the event loop. */
  void end();
  bool isOpen() const { return mAcceptor.is_open(); }

private:
  void accept();

  asio::io_context& mIo;
  Tcp::acceptor mAcceptor;
  OnAccepted mOnAccepted;
  OnFailed mOnFailed;
  bool mHasFailed = false; ///< Accepting waits for retry().
};

} // namespace boragepitch::relay
