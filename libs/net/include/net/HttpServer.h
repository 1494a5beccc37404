#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"
#include "net/Address.h"
#include "net/RequestFraming.h"

namespace boragepitch::net {

struct CaseInsensitiveLess
{
  using is_transparent = void;
  bool operator()(std::string_view aLeft, std::string_view aRight) const;
};

using Headers = std::multimap<std::string, std::string, CaseInsensitiveLess>;

/** First value of a header. */
std::optional<std::string> headerValue(const Headers& aHeaders, std::string_view aName);

struct HttpRequest
{
  std::string method;
  std::string path; ///< Decoded, without the query.
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> pathParameters; ///< Values of {name} segments of the route.
  Headers headers;
  std::string body;
  std::string remoteAddress;

  std::optional<std::string> header(std::string_view aName) const
  {
    return headerValue(headers, aName);
  }
};

/** Writes the body of a streamed response. */
class StreamWriter
{
public:
  virtual ~StreamWriter() = default;
  /** False once the peer has disconnected; later writes are ignored. */
  virtual bool write(std::string_view aBytes) = 0;
  /** False when the peer is known to have closed the connection. */
  virtual bool peerIsConnected() = 0;
};

/** How a streamed body ends: normally, or by closing the connection early so that the peer sees it
 * as truncated. */
enum class StreamEnd
{
  Complete,
  Abort,
};

struct HttpResponse
{
  int status = 200;
  std::string contentType = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /** When set, the body is sent chunked by this function, called once on the connection's thread.
   */
  std::function<StreamEnd(StreamWriter&)> stream;
};

/** Receives each connection that the server closes for its limits; called on any thread. */
using FaultListener = std::function<void(RequestFault aFault, const Address& aPeer)>;

using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

/**
 * HTTP/1.1 server on one IP address and port. One thread per connection, up to a limit; requests on
 * further connections are answered 503 with X-Ran: no. Twice as many may wait for a thread; those
 * beyond are closed, as is the connection of a request beyond its limits. Handlers run on
 * connection threads and must be thread-safe.
 */
class HttpServer
{
public:
  class Builder
  {
  public:
    Builder& address(Address aAddress);
    /** Largest number of connections served at once (default 256). */
    Builder& maxConnections(size_t aCount);
    /** Largest request body, bytes (default 1 MiB); larger ones are answered 413. */
    Builder& maxBodyBytes(size_t aBytes);
    /** How long an idle keep-alive connection stays open (default 5 s, whole seconds). */
    Builder& keepAlive(std::chrono::seconds aTimeout);
    /** Longest wait while reading a request or writing a response (default 5 s). */
    Builder& ioTimeout(base::Milliseconds aTimeout);
    /** Bounds for each request; bodyBytes is that of maxBodyBytes(). */
    Builder& requestLimits(RequestLimits aLimits);
    /** Most bytes held of the requests of all connections (default 64 MiB); a request that would
     * exceed them is cut off. */
    Builder& maxHeldBytes(size_t aBytes);
    Builder& onFault(FaultListener aListener);
    std::unique_ptr<HttpServer> build();

  private:
    friend class HttpServer;
    Address mAddress;
    size_t mMaxConnections = 256;
    size_t mMaxBodyBytes = 1 << 20;
    std::chrono::seconds mKeepAlive{ 5 };
    base::Milliseconds mIoTimeout{ 5000 };
    RequestLimits mRequestLimits;
    size_t mMaxHeldBytes = 64 << 20;
    FaultListener mOnFault;
  };

  virtual ~HttpServer() = default;
  /**
   * Adds a route; call before start(). aMethod may be "*". aPattern consists of literal segments,
   * {name} for any one segment, and optionally a final {name...} for the rest of the path. The
   * first route that matches is used.
   */
  virtual void route(std::string aMethod, std::string aPattern, HttpHandler aHandler) = 0;
  /** Binds the address and serves requests on its own threads. */
  virtual base::Status start() = 0;
  /** Stops accepting connections, waits for requests in flight, and returns. Idempotent. */
  virtual void stop() = 0;
  /** Requests being handled now, streamed bodies included. */
  virtual size_t activeRequests() const = 0;
};

/** Percent-encodes a path segment or query value. */
std::string percentEncode(std::string_view aText);

} // namespace boragepitch::net
