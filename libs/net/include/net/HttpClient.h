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
  base::Milliseconds readTimeout{ 5000 };  ///< Longest silence between bytes of a response.
  base::Milliseconds writeTimeout{ 5000 }; ///< Longest silence while sending.
  bool keepAlive = false;                  ///< Keep the connection for the next call.
};

struct ClientRequest
{
  std::string method = "GET";
  std::string target; ///< Path and query, percent-encoded by the caller.
  Headers headers;
  std::string body;
  std::string contentType = "application/json";
  base::Milliseconds totalTimeout{ 0 }; ///< For the whole response; 0 means no limit.
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

/**
 * Client of one server. Not thread-safe, but for cancel(). Errors: Unavailable when nothing was
 * sent (connection refused or timed out); UnknownOutcome when the request was or may have been
 * sent; Timeout when totalTimeout ran out; TooLarge when the head or what stands between the pieces
 * of the body has no end; Cancelled after cancel() or when a callback returned
 * false.
 */
class HttpClient
{
public:
  HttpClient(Address aServer, ClientOptions aOptions = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Sends and reads the whole response; aMaxBodyBytes bounds it (TooLarge). */
  base::Result<ClientResponse> send(const ClientRequest& aRequest, size_t aMaxBodyBytes = 64 << 20);

  /**
   * Sends and hands the body over piece by piece. aOnHead sees status and headers first; returning
   * false from either callback ends the call.
   */
  base::Result<ClientResponse> stream(const ClientRequest& aRequest,
                                      const std::function<bool(const ClientResponse&)>& aOnHead,
                                      const std::function<bool(std::string_view)>& aOnData);

  /** Ends a call in progress on another thread and closes the connection. */
  void cancel();
  const Address& server() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Thread-safe store of kept-alive clients by server address. */
class ClientPool
{
public:
  explicit ClientPool(ClientOptions aOptions, size_t aMaxIdlePerServer = 32);
  ~ClientPool();

  /** Takes an idle client or makes one. Give it back with release() only after a call that
   * succeeded whole. */
  std::unique_ptr<HttpClient> acquire(const Address& aServer);
  void release(std::unique_ptr<HttpClient> aClient);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace boragepitch::net
