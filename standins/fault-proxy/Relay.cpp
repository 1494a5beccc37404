#include "fault-proxy/Relay.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <deque>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace boragepitch::standin {

namespace {

/** Maximum of buffered bytes per direction; the proxy stops reading beyond it. */
constexpr size_t kMaxQueued = 1 << 20;
constexpr size_t kReadBytes = 64 << 10;
/** How often a connection checks for changed faults. */
constexpr base::Duration kCheckInterval = std::chrono::milliseconds(10);

sockaddr_in toSockaddr(const net::Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(uint16_t(aAddress.port));
  inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
  return address;
}

class Socket
{
public:
  explicit Socket(int aHandle)
    : mHandle(aHandle)
  {
  }
  ~Socket()
  {
    if (mHandle >= 0) {
      ::close(mHandle);
    }
  }
  Socket(Socket&& aOther) noexcept
    : mHandle(std::exchange(aOther.mHandle, -1))
  {
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  Socket& operator=(Socket&&) = delete;
  int handle() const { return mHandle; }

private:
  int mHandle;
};

Socket openSocket()
{
  return Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

/** Bytes in flight in one direction. */
struct Pipe
{
  struct Piece
  {
    base::TimePoint due;
    std::string bytes;
  };
  std::deque<Piece> pieces;
  size_t queued = 0;
  bool sourceEnded = false;
  bool endPassedOn = false;
};

/** One relayed connection. */
class Connection
{
public:
  Connection(std::shared_ptr<Link> aLink, Socket aClient)
    : mLink(std::move(aLink))
    , mClient(std::move(aClient))
    , mTarget(openSocket())
    , mCutEpoch(mLink->cutEpoch())
    , mSilenceEpoch(mLink->silenceEpoch())
  {
  }

  void run()
  {
    while (isSilent()) {
      if (!mayStay()) {
        return;
      }
      std::this_thread::sleep_for(kCheckInterval);
    }
    sockaddr_in address = toSockaddr(mLink->target());
    if (::connect(mTarget.handle(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
        0) {
      return;
    }
    int yes = 1;
    setsockopt(mTarget.handle(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    setsockopt(mClient.handle(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    while (mayStay() && !isFinished() && step()) {
    }
  }

private:
  bool isSilent() const { return mLink->silencesAll() || mLink->silenceEpoch() != mSilenceEpoch; }
  bool mayStay() const { return mLink->cutEpoch() == mCutEpoch; }
  bool isFinished() const { return mPipes[0].endPassedOn && mPipes[1].endPassedOn; }

  int source(size_t aDirection) const
  {
    return aDirection == size_t(Direction::ToTarget) ? mClient.handle() : mTarget.handle();
  }
  int sink(size_t aDirection) const { return source(1 - aDirection); }

  bool step()
  {
    if (isSilent()) {
      std::this_thread::sleep_for(kCheckInterval);
      return true;
    }
    base::Duration wait = kCheckInterval;
    std::array<size_t, kDirections> allowed{};
    for (size_t d = 0; d < kDirections; ++d) {
      allowed[d] = mLink->silences(Direction(d)) ? 0 : sendable(d, wait);
    }
    std::array<pollfd, kDirections> polled{};
    for (size_t d = 0; d < kDirections; ++d) {
      polled[d].fd = source(d);
      bool wantsMore = !mPipes[d].sourceEnded && mPipes[d].queued < kMaxQueued;
      polled[d].events = short((wantsMore ? POLLIN : 0) | (allowed[1 - d] > 0 ? POLLOUT : 0));
      // poll() would report a hang-up of a socket without requested events again and again.
      polled[d].fd = polled[d].events == 0 ? -1 : polled[d].fd;
    }
    pollFor(polled, wait);
    for (size_t d = 0; d < kDirections; ++d) {
      bool readable = (polled[d].events & POLLIN) != 0 && polled[d].revents != 0;
      if (readable && !receive(d)) {
        return false;
      }
    }
    for (size_t d = 0; d < kDirections; ++d) {
      if (allowed[d] > 0 && !deliver(d, allowed[d], (polled[1 - d].revents & ~POLLIN) != 0)) {
        return false;
      }
      passOnEnd(d);
    }
    return true;
  }

  static void pollFor(std::array<pollfd, kDirections>& aPolled, base::Duration aWait)
  {
    auto ns = std::chrono::duration_cast<std::chrono::nanoseconds>(aWait).count();
    timespec timeout{ ns / 1'000'000'000, ns % 1'000'000'000 };
    ::ppoll(aPolled.data(), aPolled.size(), &timeout, nullptr);
  }

  /** Bytes of the first piece; 0 while it is not due, with aWait lowered to that time. */
  size_t sendable(size_t aDirection, base::Duration& aWait)
  {
    Pipe& pipe = mPipes[aDirection];
    if (pipe.pieces.empty()) {
      return 0;
    }
    auto now = std::chrono::steady_clock::now();
    if (pipe.pieces.front().due > now) {
      aWait = std::min(aWait, pipe.pieces.front().due - now);
      return 0;
    }
    return pipe.pieces.front().bytes.size();
  }

  bool receive(size_t aDirection)
  {
    Pipe& pipe = mPipes[aDirection];
    std::string bytes(kReadBytes, '\0');
    ssize_t count = ::recv(source(aDirection), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    if (count == 0) {
      pipe.sourceEnded = true;
      return true;
    }
    bytes.resize(size_t(count));
    pipe.queued += bytes.size();
    pipe.pieces.push_back({ std::chrono::steady_clock::now() + mLink->delay(), std::move(bytes) });
    return true;
  }

  bool deliver(size_t aDirection, size_t aBytes, bool aSinkIsReady)
  {
    if (!aSinkIsReady) {
      return true;
    }
    auto direction = Direction(aDirection);
    base::Duration wait{};
    size_t allowed = mLink->takeRate(direction, aBytes, wait);
    if (allowed == 0) {
      std::this_thread::sleep_for(std::min(wait, kCheckInterval));
      return true;
    }
    Pipe& pipe = mPipes[aDirection];
    std::string& bytes = pipe.pieces.front().bytes;
    ssize_t sent = ::send(sink(aDirection), bytes.data(), allowed, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    mLink->countBytes(direction, size_t(sent));
    pipe.queued -= size_t(sent);
    bytes.erase(0, size_t(sent));
    if (bytes.empty()) {
      pipe.pieces.pop_front();
    }
    return true;
  }

  void passOnEnd(size_t aDirection)
  {
    Pipe& pipe = mPipes[aDirection];
    if (pipe.sourceEnded && pipe.pieces.empty() && !pipe.endPassedOn) {
      ::shutdown(sink(aDirection), SHUT_WR);
      pipe.endPassedOn = true;
    }
  }

  const std::shared_ptr<Link> mLink;
  const Socket mClient;
  const Socket mTarget;
  const uint64_t mCutEpoch;
  const uint64_t mSilenceEpoch;
  std::array<Pipe, kDirections> mPipes;
};

void acceptLoop(const std::shared_ptr<Link>& aLink, const Socket& aListener)
{
  for (;;) {
    int client = ::accept4(aListener.handle(), nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) {
      // Out of file descriptors, or the client disconnected: keep listening.
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      continue;
    }
    aLink->countConnection();
    auto connection = std::make_unique<Connection>(aLink, Socket(client));
    std::thread([connection = std::move(connection)] { connection->run(); }).detach();
  }
}

} // namespace

base::Status startRelay(std::shared_ptr<Link> aLink)
{
  Socket listener = openSocket();
  int yes = 1;
  setsockopt(listener.handle(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address = toSockaddr(aLink->listen());
  if (::bind(listener.handle(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
        0 ||
      ::listen(listener.handle(), SOMAXCONN) != 0) {
    return base::fail(base::ErrorKind::Unavailable,
                      aLink->listen().toString(),
                      "cannot listen",
                      "check that the address is this machine's and the port is free");
  }
  std::thread([link = std::move(aLink), listener = std::move(listener)] {
    acceptLoop(link, listener);
  }).detach();
  return {};
}

} // namespace boragepitch::standin
