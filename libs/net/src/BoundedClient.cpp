#include "BoundedClient.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <span>
#include <string_view>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

namespace boragepitch::net {

namespace {

/** Bytes allowed for any response: its head and the interim (1xx) responses before it. */
constexpr uint64_t kMaxHeadBytes = 64 << 10;
/** Further bytes allowed per byte of body: a chunk of a single byte has five bytes of framing. */
constexpr uint64_t kMaxFramingFactor = 16;
constexpr size_t kReadBufferBytes = 4096;

/** Waits until the socket is ready; false on a timeout. */
bool waitFor(int aSocket, short aEvents, base::Duration aTimeLimit)
{
  pollfd descriptor{ .fd = aSocket, .events = aEvents, .revents = 0 };
  auto endTime = std::chrono::steady_clock::now() + aTimeLimit;
  for (;;) {
    auto remaining =
      std::chrono::ceil<base::Milliseconds>(endTime - std::chrono::steady_clock::now());
    int ready = ::poll(&descriptor, 1, static_cast<int>(std::max<long long>(remaining.count(), 0)));
    if (ready >= 0 || errno != EINTR) {
      return ready > 0;
    }
  }
}

void formatAddress(const sockaddr_storage& aAddress, std::string& aIp, int& aPort)
{
  sockaddr_in address{};
  std::memcpy(&address, &aAddress, sizeof(address));
  std::array<char, INET_ADDRSTRLEN> text{};
  if (address.sin_family == AF_INET &&
      ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()) != nullptr) {
    aIp = text.data();
    aPort = ntohs(address.sin_port);
  }
}

/** Takes the reason phrase out of status lines; it has no meaning in HTTP. */
class ReasonPhraseFilter
{
public:
  /** Filters bytes of a head in place, in pieces of any size. Returns how many remain. */
  size_t filter(std::span<char> aBytes)
  {
    size_t kept = 0;
    for (char byte : aBytes) {
      if (!isReason(byte)) {
        aBytes[kept++] = byte;
      }
    }
    return kept;
  }

private:
  static constexpr std::string_view kLineStart = "HTTP/";
  /** Position in a status line at which the reason phrase starts. */
  static constexpr size_t kReasonPosition = std::string_view("HTTP/1.1 200 ").size();

  /** Whether the next byte belongs to a reason phrase. */
  bool isReason(char aByte)
  {
    if (aByte == '\n') {
      mPosition = 0;
      mIsStatusLine = true;
      return false;
    }
    size_t position = mPosition++;
    if (position < kLineStart.size()) {
      mIsStatusLine = mIsStatusLine && aByte == kLineStart[position];
    }
    return mIsStatusLine && position >= kReasonPosition && aByte != '\r';
  }

  size_t mPosition = 0;      ///< In the line.
  bool mIsStatusLine = true; ///< As far as the line has been read.
};

class BoundedStream final : public httplib::Stream
{
public:
  BoundedStream(int aSocket,
                base::Milliseconds aReadTimeout,
                base::Milliseconds aWriteTimeout,
                CallState& aCallState)
    : mSocket(aSocket)
    , mReadTimeout(aReadTimeout)
    , mWriteTimeout(aWriteTimeout)
    , mCallState(aCallState)
  {
  }

  bool is_readable() const override
  {
    return mConsumedBytes < mBufferedBytes || waitFor(mSocket, POLLIN, mReadTimeout);
  }
  bool is_writable() const override { return waitFor(mSocket, POLLOUT, mWriteTimeout); }

  ssize_t read(char* aData, size_t aSize) override
  {
    size_t count = 0;
    while (count == 0 && aSize > 0) {
      if (mConsumedBytes == mBufferedBytes && !refill()) {
        return mFailureResult;
      }
      count = std::min(aSize, mBufferedBytes - mConsumedBytes);
      std::memcpy(aData, mBuffer.data() + mConsumedBytes, count);
      mConsumedBytes += count;
      if (!mCallState.hasHead) {
        // httplib reads heads byte by byte, so that no byte of the body is filtered.
        count = mReasonFilter.filter({ aData, count });
      }
    }
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* aData, size_t aSize) override
  {
    if (!wait(POLLOUT, mWriteTimeout)) {
      return -1;
    }
    return ::send(mSocket, aData, aSize, MSG_NOSIGNAL);
  }

  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override
  {
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (::getpeername(mSocket, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
      formatAddress(address, aIp, aPort);
    }
  }
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override
  {
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (::getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
      formatAddress(address, aIp, aPort);
    }
  }
  socket_t socket() const override { return mSocket; }

private:
  /** Refills the buffer from the socket; false at the end of the stream, on an error or when a
   * limit is exceeded. */
  bool refill()
  {
    if (mReceived > kMaxHeadBytes + kMaxFramingFactor * mCallState.bodyBytes) {
      mCallState.hasExcessOverhead = true;
      return fail(-1);
    }
    if (!wait(POLLIN, mReadTimeout)) {
      return fail(-1);
    }
    ssize_t count = ::recv(mSocket, mBuffer.data(), mBuffer.size(), 0);
    if (count <= 0) {
      return fail(count);
    }
    mConsumedBytes = 0;
    mBufferedBytes = static_cast<size_t>(count);
    mReceived += mBufferedBytes;
    return true;
  }

  bool fail(ssize_t aResult)
  {
    mFailureResult = aResult;
    return false;
  }

  bool wait(short aEvents, base::Milliseconds aTimeout)
  {
    base::Duration timeLimit = aTimeout;
    if (mCallState.deadline) {
      auto remaining = *mCallState.deadline - std::chrono::steady_clock::now();
      mCallState.hasTimedOut = remaining <= base::Duration(0);
      timeLimit = std::min(timeLimit, std::max(remaining, base::Duration(0)));
    }
    if (mCallState.hasTimedOut) {
      return false;
    }
    bool isReady = waitFor(mSocket, aEvents, timeLimit);
    mCallState.hasTimedOut =
      !isReady && mCallState.deadline && std::chrono::steady_clock::now() >= *mCallState.deadline;
    return isReady;
  }

  const int mSocket;
  const base::Milliseconds mReadTimeout;
  const base::Milliseconds mWriteTimeout;
  CallState& mCallState;
  ReasonPhraseFilter mReasonFilter;
  std::array<char, kReadBufferBytes> mBuffer{};
  size_t mConsumedBytes = 0;
  size_t mBufferedBytes = 0;
  uint64_t mReceived = 0;
  ssize_t mFailureResult = 0;
};

} // namespace

BoundedClient::BoundedClient(const std::string& aHost,
                             int aPort,
                             base::Milliseconds aReadTimeout,
                             base::Milliseconds aWriteTimeout)
  : httplib::ClientImpl(aHost, aPort)
  , mReadTimeout(aReadTimeout)
  , mWriteTimeout(aWriteTimeout)
{
}

bool BoundedClient::process_socket(const Socket& aSocket,
                                   std::function<bool(httplib::Stream&)> aCallback)
{
  BoundedStream stream(aSocket.sock, mReadTimeout, mWriteTimeout, callState);
  return aCallback(stream);
}

} // namespace boragepitch::net
