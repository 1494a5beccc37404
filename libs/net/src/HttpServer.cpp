#include "net/HttpServer.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <deque>
#include <list>
#include <mutex>
#include <set>
#include <thread>

#include <arpa/inet.h>
#include <httplib.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace boragepitch::net {

using namespace std::chrono_literals;

bool CaseInsensitiveLess::operator()(std::string_view aLeft, std::string_view aRight) const
{
  return std::lexicographical_compare(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aL, char aR) {
      return std::tolower(static_cast<unsigned char>(aL)) <
             std::tolower(static_cast<unsigned char>(aR));
    });
}

std::optional<std::string> headerValue(const Headers& aHeaders, std::string_view aName)
{
  auto found = aHeaders.find(aName);
  if (found == aHeaders.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::string percentEncode(std::string_view aText)
{
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (char c : aText) {
    auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4];
      encoded += kDigits[byte & 0xf];
    }
  }
  return encoded;
}

namespace {

/** A thread without a task for this time ends, so that a burst of connections does not leave
 * threads behind. */
constexpr std::chrono::milliseconds kIdleThreadTime{ 500 };
/** Idle threads that stay for the next connections. */
constexpr size_t kMinThreads = 1;

/** Whether this thread runs a task of the pool only to have its connection closed. */
thread_local bool tIsRefusing = false;

/** Thread pool that grows on demand up to a limit and shrinks when idle; httplib's own pool has a
 * fixed size and an unbounded queue. */
class GrowingThreadPool final : public httplib::TaskQueue
{
public:
  GrowingThreadPool(size_t aMaxThreads, size_t aMaxWaiting)
    : mMaxThreads(aMaxThreads)
    , mMaxWaiting(aMaxWaiting)
  {
  }

  void enqueue(std::function<void()> aTask) override
  {
    std::unique_lock lock(mMutex);
    joinEnded();
    if (mThreads.size() >= mMaxThreads && mTasks.size() >= mMaxWaiting) {
      lock.unlock();
      tIsRefusing = true;
      aTask();
      tIsRefusing = false;
      return;
    }
    mTasks.push_back(std::move(aTask));
    if (mIdle >= mTasks.size()) {
      mWake.notify_one();
    } else if (mThreads.size() < mMaxThreads) {
      addThread();
    }
  }

  void shutdown() override
  {
    {
      std::lock_guard lock(mMutex);
      mStopping = true;
    }
    mWake.notify_all();
    // Threads may still move to mEnded: they are joined in the order of the list until none is
    // left.
    for (std::unique_lock lock(mMutex); !mThreads.empty() || !mEnded.empty();) {
      if (!mEnded.empty()) {
        joinEnded();
      } else {
        mEndedChanged.wait(lock, [this] { return !mEnded.empty(); });
      }
    }
  }

private:
  /** If no thread can be created, the task waits for a running one; without any it is dropped. */
  void addThread()
  {
    try {
      auto thread = mThreads.emplace(mThreads.end());
      *thread = std::thread([this, thread] { run(thread); });
    } catch (const std::system_error&) {
      mThreads.pop_back();
      if (mThreads.empty()) {
        mTasks.pop_back();
      }
    }
  }

  /** Joins the threads that have left run(), which takes them no time. Needs mMutex. */
  void joinEnded()
  {
    for (std::thread& thread : mEnded) {
      thread.join();
    }
    mEnded.clear();
  }

  void run(std::list<std::thread>::iterator aSelf)
  {
    std::unique_lock lock(mMutex);
    for (;;) {
      ++mIdle;
      bool hasWork =
        mWake.wait_for(lock, kIdleThreadTime, [this] { return mStopping || !mTasks.empty(); });
      --mIdle;
      if (!hasWork && mIdle < kMinThreads) {
        continue;
      }
      if (mTasks.empty()) {
        mEnded.splice(mEnded.end(), mThreads, aSelf);
        mEndedChanged.notify_all();
        return;
      }
      auto task = std::move(mTasks.front());
      mTasks.pop_front();
      lock.unlock();
      task();
      lock.lock();
    }
  }

  const size_t mMaxThreads;
  const size_t mMaxWaiting;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<std::function<void()>> mTasks;
  std::list<std::thread> mThreads;
  std::list<std::thread> mEnded; ///< Threads that have left run() but are not joined.
  std::condition_variable mEndedChanged;
  size_t mIdle = 0;
  bool mStopping = false;
};

struct Route
{
  std::string method;
  std::vector<std::string> segments;
  HttpHandler handler;
};

std::vector<std::string> splitPath(std::string_view aPath)
{
  std::vector<std::string> segments;
  size_t begin = 0;
  while (begin < aPath.size()) {
    size_t end = aPath.find('/', begin);
    if (end == std::string_view::npos) {
      end = aPath.size();
    }
    if (end > begin) {
      segments.emplace_back(aPath.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return segments;
}

bool isTailSegment(const std::string& aSegment)
{
  return aSegment.size() > 5 && aSegment.front() == '{' && aSegment.ends_with("...}");
}

bool matches(const Route& aRoute,
             const std::vector<std::string>& aPath,
             std::map<std::string, std::string>& aParameters)
{
  aParameters.clear();
  for (size_t i = 0; i < aRoute.segments.size(); ++i) {
    const std::string& segment = aRoute.segments[i];
    if (isTailSegment(segment)) {
      std::string rest;
      for (size_t j = i; j < aPath.size(); ++j) {
        rest += (j > i ? "/" : "") + aPath[j];
      }
      aParameters[segment.substr(1, segment.size() - 5)] = rest;
      return true;
    }
    if (i >= aPath.size()) {
      return false;
    }
    if (segment.size() > 2 && segment.front() == '{') {
      aParameters[segment.substr(1, segment.size() - 2)] = aPath[i];
    } else if (segment != aPath[i]) {
      return false;
    }
  }
  return aPath.size() == aRoute.segments.size();
}

class SinkWriter final : public StreamWriter
{
public:
  explicit SinkWriter(httplib::DataSink& aSink)
    : mSink(aSink)
  {
  }

  bool write(std::string_view aBytes) override
  {
    if (mOpen && !aBytes.empty()) {
      mOpen = mSink.write(aBytes.data(), aBytes.size());
    }
    return mOpen;
  }

  bool peerIsConnected() override
  {
    mOpen = mOpen && mSink.is_writable();
    return mOpen;
  }

private:
  httplib::DataSink& mSink;
  bool mOpen = true;
};

Address toAddress(const sockaddr_in& aSocketAddress)
{
  char host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &aSocketAddress.sin_addr, host, sizeof(host));
  return { host, ntohs(aSocketAddress.sin_port) };
}

/** Bytes of requests that a server holds, for all its connections. Thread-safe. */
class HeldBytes
{
public:
  explicit HeldBytes(size_t aLimit)
    : mLimit(aLimit)
  {
  }

  /** Changes the share of one connection; false, without a change, if the limit forbids it. */
  bool change(size_t aFrom, size_t aTo)
  {
    if (aTo <= aFrom) {
      mHeld -= aFrom - aTo;
      return true;
    }
    if ((mHeld += aTo - aFrom) <= mLimit) {
      return true;
    }
    mHeld -= aTo - aFrom;
    return false;
  }

private:
  const size_t mLimit;
  std::atomic<size_t> mHeld{ 0 };
};

/** What one holder has of HeldBytes; gives it back at its end. Used by one thread. */
class HeldShare
{
public:
  explicit HeldShare(HeldBytes& aTotal)
    : mTotal(aTotal)
  {
  }
  ~HeldShare() { mTotal.change(mBytes, 0); }
  HeldShare(const HeldShare&) = delete;
  HeldShare& operator=(const HeldShare&) = delete;

  /** False, without a change, if the limit forbids it. */
  bool set(size_t aBytes)
  {
    bool isAllowed = mTotal.change(mBytes, aBytes);
    mBytes = isAllowed ? aBytes : mBytes;
    return isAllowed;
  }

private:
  HeldBytes& mTotal;
  size_t mBytes = 0;
};

/**
 * The stream of one accepted connection. httplib parses what it reads byte by byte and without
 * bounds; reading fails here as soon as the request exceeds its limits.
 */
class BoundedStream final : public httplib::Stream
{
public:
  BoundedStream(int aSocket,
                RequestLimits aLimits,
                HeldBytes& aHeld,
                base::Milliseconds aReadTimeout,
                base::Milliseconds aWriteTimeout)
    : mSocket(aSocket)
    , mShare(aHeld)
    , mReadTimeout(aReadTimeout)
    , mWriteTimeout(aWriteTimeout)
    , mFraming(aLimits)
  {
  }
  ~BoundedStream() override = default;
  BoundedStream(const BoundedStream&) = delete;
  BoundedStream& operator=(const BoundedStream&) = delete;

  /** Waits for the first byte of the next request. */
  bool waitForRequest(base::Milliseconds aTimeout)
  {
    mFraming.begin();
    mShare.set(0);
    return mBegin < mEnd || waitFor(POLLIN, aTimeout);
  }

  std::optional<RequestFault> fault() const { return mFault; }
  /** Whether what follows on the connection is another request. */
  bool isAtRequestEnd() const { return mFraming.isComplete(); }

  bool is_readable() const override { return mBegin < mEnd || waitFor(POLLIN, mReadTimeout); }
  bool is_writable() const override { return waitFor(POLLOUT, mWriteTimeout) && isOpen(); }

  ssize_t read(char* aTarget, size_t aSize) override
  {
    if (mFault || (mBegin == mEnd && !fill())) {
      return mFault || !mIsClosed ? -1 : 0;
    }
    size_t size = std::min(aSize, mEnd - mBegin);
    std::copy_n(mBuffer.data() + mBegin, size, aTarget);
    mBegin += size;
    mFault = mFraming.consume({ aTarget, size }, std::chrono::steady_clock::now());
    if (!mFault && !mShare.set(mFraming.heldBytes())) {
      mFault = RequestFault::Memory;
    }
    return mFault ? -1 : static_cast<ssize_t>(size);
  }

  ssize_t write(const char* aBytes, size_t aSize) override
  {
    if (!is_writable()) {
      return -1;
    }
    ssize_t sent = 0;
    do {
      sent = ::send(mSocket, aBytes, aSize, MSG_NOSIGNAL);
    } while (sent < 0 && errno == EINTR);
    return sent;
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void get_remote_ip_and_port(std::string& aHost, int& aPort) const override
  {
    set(addressOf(&::getpeername), aHost, aPort);
  }
  // NOLINTNEXTLINE(readability-identifier-naming)
  void get_local_ip_and_port(std::string& aHost, int& aPort) const override
  {
    set(addressOf(&::getsockname), aHost, aPort);
  }
  socket_t socket() const override { return mSocket; }

  Address peer() const { return addressOf(&::getpeername); }

private:
  Address addressOf(int (*aLookUp)(int, sockaddr*, socklen_t*)) const
  {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (aLookUp(mSocket, reinterpret_cast<sockaddr*>(&address), &size) != 0 ||
        address.sin_family != AF_INET) {
      return {};
    }
    return toAddress(address);
  }

  static void set(const Address& aAddress, std::string& aHost, int& aPort)
  {
    aHost = aAddress.host;
    aPort = aAddress.port;
  }

  bool waitFor(short aEvents, base::Milliseconds aTimeout) const
  {
    pollfd descriptor{ mSocket, aEvents, 0 };
    int ready = 0;
    do {
      ready = ::poll(&descriptor, 1, static_cast<int>(aTimeout.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
  }

  /** Whether the peer has not closed the connection. */
  bool isOpen() const
  {
    char byte = 0;
    ssize_t received = ::recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received > 0 || (received < 0 && (errno == EAGAIN || errno == EINTR));
  }

  /** Reads from the socket. False after a timeout and at the end. */
  bool fill()
  {
    auto wait = mReadTimeout;
    auto now = std::chrono::steady_clock::now();
    if (auto deadline = mFraming.deadline()) {
      wait = std::clamp(std::chrono::ceil<base::Milliseconds>(*deadline - now), 0ms, wait);
    }
    if (!waitFor(POLLIN, wait)) {
      mFault = mFraming.check(std::chrono::steady_clock::now());
      return false;
    }
    ssize_t received = 0;
    do {
      received = ::recv(mSocket, mBuffer.data(), mBuffer.size(), 0);
    } while (received < 0 && errno == EINTR);
    mIsClosed = received == 0;
    mBegin = 0;
    mEnd = static_cast<size_t>(std::max<ssize_t>(received, 0));
    return received > 0;
  }

  const int mSocket;
  HeldShare mShare;
  const base::Milliseconds mReadTimeout;
  const base::Milliseconds mWriteTimeout;
  RequestFraming mFraming;
  std::optional<RequestFault> mFault;
  std::array<char, 4096> mBuffer{};
  size_t mBegin = 0;
  size_t mEnd = 0;
  bool mIsClosed = false;
};

/** Serves connections through BoundedStream, and gives access to the listening socket, whose
 * backlog httplib sets to 5. */
class ListeningServer final : public httplib::Server
{
public:
  ListeningServer(RequestLimits aLimits, size_t aMaxHeldBytes, FaultListener aOnFault)
    : mLimits(aLimits)
    , mHeld(aMaxHeldBytes)
    , mOnFault(std::move(aOnFault))
  {
  }

  void raiseBacklog() { ::listen(svr_sock_, SOMAXCONN); }
  HeldBytes& held() { return mHeld; }
  void report(RequestFault aFault, const Address& aPeer) const
  {
    if (mOnFault) {
      mOnFault(aFault, aPeer);
    }
  }

private:
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool process_and_close_socket(socket_t aSocket) override
  {
    bool isServed = serve(aSocket);
    ::shutdown(aSocket, SHUT_RDWR);
    ::close(aSocket);
    return isServed;
  }

  bool serve(socket_t aSocket)
  {
    auto timeout = [](time_t aSeconds, time_t aMicroseconds) {
      return base::Milliseconds(aSeconds * 1000 + aMicroseconds / 1000);
    };
    BoundedStream stream(aSocket,
                         mLimits,
                         mHeld,
                         timeout(read_timeout_sec_, read_timeout_usec_),
                         timeout(write_timeout_sec_, write_timeout_usec_));
    if (tIsRefusing) {
      report(RequestFault::Connections, stream.peer());
      return false;
    }
    bool isServed = false;
    bool isClosing = false;
    for (size_t left = keep_alive_max_count_; left > 0 && !isClosing && svr_sock_ != INVALID_SOCKET;
         --left) {
      if (!stream.waitForRequest(std::chrono::seconds(keep_alive_timeout_sec_))) {
        break;
      }
      bool isToldToClose = false;
      isServed = process_request(stream, left == 1, isToldToClose, nullptr);
      if (stream.fault()) {
        report(*stream.fault(), stream.peer());
      }
      // Unread bytes of a request must not be taken for the next one.
      isClosing = !isServed || isToldToClose || stream.fault() || !stream.isAtRequestEnd();
    }
    return isServed;
  }

  const RequestLimits mLimits;
  HeldBytes mHeld;
  const FaultListener mOnFault;
};

/** Peers whose requests are being handled, by address and port. Thread-safe. */
class ActivePeers
{
public:
  void add(const httplib::Request& aRequest)
  {
    std::lock_guard lock(mMutex);
    mPeers.insert({ aRequest.remote_addr, aRequest.remote_port });
  }

  void remove(const httplib::Request& aRequest)
  {
    std::lock_guard lock(mMutex);
    mPeers.erase({ aRequest.remote_addr, aRequest.remote_port });
  }

  bool contains(const Address& aPeer)
  {
    std::lock_guard lock(mMutex);
    return mPeers.contains({ aPeer.host, aPeer.port });
  }

private:
  std::mutex mMutex;
  std::set<std::pair<std::string, int>> mPeers;
};

/** The peer of a connection accepted at aAddress; empty for other descriptors. */
std::optional<Address> acceptedPeer(int aSocket, const Address& aAddress)
{
  sockaddr_in local{};
  sockaddr_in peer{};
  socklen_t localSize = sizeof(local);
  socklen_t peerSize = sizeof(peer);
  if (getsockname(aSocket, reinterpret_cast<sockaddr*>(&local), &localSize) != 0 ||
      local.sin_family != AF_INET || toAddress(local) != aAddress ||
      getpeername(aSocket, reinterpret_cast<sockaddr*>(&peer), &peerSize) != 0) {
    return std::nullopt;
  }
  return toAddress(peer);
}

/**
 * Shuts down reading on a server's idle keep-alive connections. httplib waits for their timeout
 * even after stop() and does not expose their sockets.
 */
void shutDownIdleConnections(const Address& aAddress, ActivePeers& aActive)
{
  static constexpr long kMaxDescriptors = 65536;
  long limit = std::min(sysconf(_SC_OPEN_MAX), kMaxDescriptors);
  for (int socket = 0; socket < limit; ++socket) {
    auto peer = acceptedPeer(socket, aAddress);
    if (peer && !aActive.contains(*peer)) {
      ::shutdown(socket, SHUT_RD);
    }
  }
}

class HttpServerImpl final : public HttpServer
{
public:
  HttpServerImpl(Address aAddress,
                 size_t aMaxConnections,
                 size_t aMaxBodyBytes,
                 std::chrono::seconds aKeepAlive,
                 base::Milliseconds aIoTimeout,
                 RequestLimits aLimits,
                 size_t aMaxHeldBytes,
                 FaultListener aOnFault)
    : mAddress(std::move(aAddress))
    , mMaxConnections(aMaxConnections)
    , mMaxBodyBytes(aMaxBodyBytes)
    , mServer(aLimits, aMaxHeldBytes, std::move(aOnFault))
  {
    mServer.new_task_queue = [this] {
      return new GrowingThreadPool(2 * mMaxConnections, 2 * mMaxConnections);
    };
    mServer.set_payload_max_length(aMaxBodyBytes);
    mServer.set_keep_alive_max_count(1'000'000);
    mServer.set_keep_alive_timeout(aKeepAlive.count());
    mServer.set_read_timeout(aIoTimeout);
    mServer.set_write_timeout(aIoTimeout);
    mServer.set_tcp_nodelay(true);
    // httplib sets SO_REUSEPORT by default, which would let two processes share a port unnoticed.
    mServer.set_socket_options([](socket_t aSocket) {
      int yes = 1;
      setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    });
    // Adds a JSON body to errors that httplib answers itself: oversized and malformed requests.
    mServer.set_error_handler([](const httplib::Request&, httplib::Response& aResponse) {
      bool tooLarge = aResponse.status == 413;
      if (!aResponse.body.empty() || (!tooLarge && aResponse.status != 400)) {
        return;
      }
      HttpResponse errorResponse =
        plainError(aResponse.status,
                   tooLarge ? "tooLarge" : "invalid",
                   tooLarge ? "request body is too large" : "malformed request",
                   tooLarge ? "send a smaller body" : "send a valid request");
      aResponse.set_content(errorResponse.body, errorResponse.contentType);
      aResponse.set_header("X-Ran", "no");
    });
    // httplib calls the logger after it has written a response, streamed bodies included.
    mServer.set_logger([this](const httplib::Request& aRequest, const httplib::Response&) {
      mActivePeers.remove(aRequest);
    });
    auto handle = [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      mActivePeers.add(aRequest);
      // httplib would apply a Range header to any body, even if the route does not support ranges.
      // Handlers still see the header.
      const_cast<httplib::Request&>(aRequest).ranges.clear();
      dispatch(aRequest, aResponse);
    };
    mServer.Get(".*", handle);
    mServer.Post(".*", handle);
    mServer.Put(".*", handle);
    mServer.Patch(".*", handle);
    mServer.Delete(".*", handle);
    mServer.Options(".*", handle);
    boundCompressedBodies(handle);
  }

  ~HttpServerImpl() override { HttpServerImpl::stop(); }

  void route(std::string aMethod, std::string aPattern, HttpHandler aHandler) override
  {
    mRoutes.push_back({ std::move(aMethod), splitPath(aPattern), std::move(aHandler) });
  }

  base::Status start() override
  {
    if (!mServer.bind_to_port(mAddress.host, mAddress.port)) {
      return base::fail(base::ErrorKind::Unavailable,
                        mAddress.toString(),
                        "cannot listen",
                        "check that the address is this machine's and the port is free");
    }
    mServer.raiseBacklog();
    mThread = std::thread([this] { mServer.listen_after_bind(); });
    while (!mServer.is_running() && !mStopped) {
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
    return {};
  }

  void stop() override
  {
    bool expected = false;
    if (!mStopped.compare_exchange_strong(expected, true)) {
      return;
    }
    if (!mThread.joinable()) {
      return;
    }
    mServer.stop();
    std::atomic<bool> joined{ false };
    std::thread closer([&] {
      while (!joined) {
        shutDownIdleConnections(mAddress, mActivePeers);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    });
    mThread.join();
    joined = true;
    closer.join();
  }

  size_t activeRequests() const override { return mActiveRequests; }

private:
  /** httplib and BoundedStream bound only the compressed size of a compressed body, so its
   * decompressed bytes are counted here. Handlers that read a body in pieces are chosen by path
   * alone. */
  void boundCompressedBodies(const httplib::Server::Handler& aHandle)
  {
    mServer.set_pre_routing_handler(
      [](const httplib::Request& aRequest, httplib::Response& aResponse) {
        if (aRequest.method == "PRI") { // httplib reads the body of this method, too.
          aResponse.status = 400;
          return httplib::Server::HandlerResponse::Handled;
        }
        if (hasCompressedBody(aRequest)) {
          const_cast<httplib::Request&>(aRequest).path.insert(0, kCompressedPrefix);
        }
        return httplib::Server::HandlerResponse::Unhandled;
      });
    auto read = [this, aHandle](const httplib::Request& aRequest,
                                httplib::Response& aResponse,
                                const httplib::ContentReader& aReader) {
      auto& request = const_cast<httplib::Request&>(aRequest);
      if (hasCompressedBody(request)) {
        request.path.erase(0, kCompressedPrefix.size());
      }
      if (request.is_multipart_form_data()) { // Needs a reader of another kind.
        aResponse.status = 400;
        return;
      }
      HeldShare share(mServer.held());
      bool isTooLarge = false;
      bool isRefused = false;
      bool isRead = aReader([&](const char* aBytes, size_t aSize) {
        size_t size = request.body.size() + aSize;
        isTooLarge = size > mMaxBodyBytes;
        if (!isTooLarge && size > request.body.capacity()) {
          // A string that grows by itself may take twice its size.
          size_t capacity = std::clamp(2 * request.body.capacity(), size, mMaxBodyBytes);
          isRefused = !share.set(capacity);
          if (!isRefused) {
            request.body.reserve(capacity);
          }
        }
        if (!isTooLarge && !isRefused) {
          request.body.append(aBytes, aSize);
        }
        return !isTooLarge && !isRefused;
      });
      if (isRefused) {
        mServer.report(RequestFault::Memory, { request.remote_addr, request.remote_port });
        writeResponse(aResponse, overloaded(), nullptr);
      } else if (isRead) {
        aHandle(request, aResponse);
      } else if (isTooLarge) {
        aResponse.status = 413;
      } else if (aResponse.status < 400) {
        aResponse.status = 400;
      }
    };
    const std::string pattern = std::string(kCompressedPrefix) + ".*";
    mServer.Post(pattern, read);
    mServer.Put(pattern, read);
    mServer.Patch(pattern, read);
    mServer.Delete(pattern, read);
  }

  static bool hasCompressedBody(const httplib::Request& aRequest)
  {
    return aRequest.has_header("Content-Encoding") &&
           (aRequest.method == "POST" || aRequest.method == "PUT" || aRequest.method == "PATCH" ||
            aRequest.method == "DELETE");
  }

  void dispatch(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    auto active = std::make_shared<ActiveGuard>(mActiveRequests);
    if (active->count > mMaxConnections) {
      writeResponse(aResponse, overloaded(), nullptr);
      return;
    }
    HttpRequest request;
    request.method = aRequest.method;
    request.path = aRequest.path;
    request.body = aRequest.body;
    request.remoteAddress = aRequest.remote_addr;
    for (const auto& [name, value] : aRequest.params) {
      request.query.emplace(name, value);
    }
    for (const auto& [name, value] : aRequest.headers) {
      request.headers.emplace(name, value);
    }
    writeResponse(aResponse, handle(request), std::move(active));
  }

  HttpResponse handle(HttpRequest& aRequest)
  {
    auto path = splitPath(aRequest.path);
    for (const Route& route : mRoutes) {
      if ((route.method == "*" || route.method == aRequest.method) &&
          matches(route, path, aRequest.pathParameters)) {
        try {
          return route.handler(aRequest);
        } catch (const std::exception&) {
          return plainError(500, "internal", "unexpected fault while handling the request");
        }
      }
    }
    return plainError(404, "notFound", "no such path");
  }

  static HttpResponse plainError(
    int aStatus,
    const std::string& aKind,
    const std::string& aMessage,
    const std::string& aRemedy = "see the API reference for paths and methods")
  {
    HttpResponse response;
    response.status = aStatus;
    response.body = R"({"error":{"kind":")" + aKind + R"(","message":")" + aMessage +
                    R"(","remedy":")" + aRemedy + R"("}})";
    return response;
  }

  static HttpResponse overloaded()
  {
    HttpResponse response;
    response.status = 503;
    response.headers = { { "X-Ran", "no" }, { "Retry-After", "1" } };
    response.body = R"({"error":{"kind":"unavailable","message":"too many connections",)"
                    R"("remedy":"come back later"},"ran":"no","retryAfterMs":1000})";
    return response;
  }

  struct ActiveGuard
  {
    explicit ActiveGuard(std::atomic<size_t>& aActive)
      : active(aActive)
      , count(++aActive)
    {
    }
    ~ActiveGuard() { --active; }
    ActiveGuard(const ActiveGuard&) = delete;
    ActiveGuard& operator=(const ActiveGuard&) = delete;
    std::atomic<size_t>& active;
    size_t count;
  };

  static void writeResponse(httplib::Response& aTarget,
                            HttpResponse aSource,
                            std::shared_ptr<ActiveGuard> aActive)
  {
    aTarget.status = aSource.status;
    for (const auto& [name, value] : aSource.headers) {
      aTarget.set_header(name, value);
    }
    if (!aSource.stream) {
      aTarget.set_content(aSource.body, aSource.contentType);
      return;
    }
    aTarget.set_chunked_content_provider(
      aSource.contentType,
      [stream = std::move(aSource.stream), active = std::move(aActive)](size_t,
                                                                        httplib::DataSink& aSink) {
        SinkWriter writer(aSink);
        if (stream(writer) == StreamEnd::Abort) {
          return false;
        }
        aSink.done();
        return true;
      });
  }

  /** Marks the paths of requests whose body is compressed. A path that is sent with this beginning
   * is read in the same way and otherwise unchanged. */
  static constexpr std::string_view kCompressedPrefix = "compressed:";

  const Address mAddress;
  const size_t mMaxConnections;
  const size_t mMaxBodyBytes;
  std::vector<Route> mRoutes;
  ActivePeers mActivePeers;
  ListeningServer mServer;
  std::thread mThread;
  std::atomic<size_t> mActiveRequests{ 0 };
  std::atomic<bool> mStopped{ false };
};

} // namespace

HttpServer::Builder& HttpServer::Builder::address(Address aAddress)
{
  mAddress = std::move(aAddress);
  return *this;
}

HttpServer::Builder& HttpServer::Builder::maxConnections(size_t aCount)
{
  mMaxConnections = aCount;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::maxBodyBytes(size_t aBytes)
{
  mMaxBodyBytes = aBytes;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::keepAlive(std::chrono::seconds aTimeout)
{
  mKeepAlive = aTimeout;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::ioTimeout(base::Milliseconds aTimeout)
{
  mIoTimeout = aTimeout;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::requestLimits(RequestLimits aLimits)
{
  mRequestLimits = aLimits;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::maxHeldBytes(size_t aBytes)
{
  mMaxHeldBytes = aBytes;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::onFault(FaultListener aListener)
{
  mOnFault = std::move(aListener);
  return *this;
}

std::unique_ptr<HttpServer> HttpServer::Builder::build()
{
  RequestLimits limits = mRequestLimits;
  limits.bodyBytes = mMaxBodyBytes;
  return std::make_unique<HttpServerImpl>(mAddress,
                                          mMaxConnections,
                                          mMaxBodyBytes,
                                          mKeepAlive,
                                          mIoTimeout,
                                          limits,
                                          mMaxHeldBytes,
                                          mOnFault);
}

} // namespace boragepitch::net
