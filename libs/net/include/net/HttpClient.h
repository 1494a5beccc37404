#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/Error.h"
#include "base/Time.h"
#include "net/Address.h"
#include "net/HttpServer.h"

namespace boragepitch::net {

struct ClientOptions
{
  base::Milliseconds connectTimeout{ 1000 };
  base::Milliseconds readTimeout{ 5000 };  ///< Longest wait for further bytes of a response.
  base::Milliseconds writeTimeout{ 5000 }; ///< Longest wait while sending.
  bool keepAlive = false;                  ///< Reuse the connection for the next call.
};

/** The slowest body that a call may have. */
struct ProgressLimit
{
  base::Milliseconds window{ 0 }; ///< Each time of this length after the head must bring...
  uint64_t bytes = 0;             ///< ...so many bytes of the body, or its end.
};

struct ClientRequest
{
  std::string method = "GET";
  std::string target; ///< Path and query, percent-encoded by the caller.
  Headers headers;
  std::string body;
  std::string contentType = "application/json";
  base::Milliseconds totalTimeout{ 0 }; ///< Limit for the whole call; 0 means no limit.
  /** If set, totalTimeout limits the call up to its head only. For answers whose size the server
   * chooses: how long they take says nothing about whether the server is well. */
  std::optional<ProgressLimit> progress;
};

struct ClientResponse
{
  int status = 0;
  Headers headers;
  std::string body;

  std::optional<std::string> header(std::string_view aName) const
  {
    return headerValue(headers, aName);
  }
};

/** What is known of a call, also of one that failed or still goes on. */
struct CallProgress
{
  std::optional<base::Milliseconds> untilHead; ///< Time until the head was received.
  base::Milliseconds total{ 0 };               ///< Time until the call ended.
  uint64_t bodyBytes = 0;                      ///< Received, without chunk framing.
  std::optional<uint64_t> announcedBytes;      ///< Length of the body according to its head.
};

/**
 * Client of one server. Not thread-safe except for cancel(). Errors: Unavailable when nothing was
 * sent (connection refused or timed out); UnknownOutcome when the request was or may have been
 * sent; Timeout when totalTimeout or progress was exceeded; TooLarge when the head or the chunk
 * framing exceeds its limit; Cancelled after cancel() or when a callback returned false.
 */
class HttpClient
{
public:
  HttpClient(Address aServer, ClientOptions aOptions = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Sends the request and reads the whole response; TooLarge if the body exceeds aMaxBodyBytes, at
   * its head if that says so. */
  base::Result<ClientResponse> send(const ClientRequest& aRequest, size_t aMaxBodyBytes = 64 << 20);

  /**
   * Sends the request and passes the body to aOnData as it arrives. aOnHead is called first, with
   * status and headers. Returning false from either callback cancels the call.
   */
  base::Result<ClientResponse> stream(const ClientRequest& aRequest,
                                      const std::function<bool(const ClientResponse&)>& aOnHead,
                                      const std::function<bool(std::string_view)>& aOnData);

  /** Progress of the latest call. */
  CallProgress lastCall() const;
  /** Any thread: body bytes of all calls so far. */
  uint64_t receivedBytes() const;
  /** Cancels a call in progress on another thread and closes the connection. */
  void cancel();
  const Address& server() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Thread-safe pool of keep-alive clients by server address. */
class ClientPool
{
public:
  explicit ClientPool(ClientOptions aOptions, size_t aMaxIdlePerServer = 32);
  ~ClientPool();

  /** Returns an idle client or creates one. Return it with release() only if its last call
   * succeeded. */
  std::unique_ptr<HttpClient> acquire(const Address& aServer);
  void release(std::unique_ptr<HttpClient> aClient);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace boragepitch::net
