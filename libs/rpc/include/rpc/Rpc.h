#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <json/value.h>

#include "base/Error.h"
#include "base/Time.h"
#include "net/Address.h"
#include "net/HttpServer.h"

namespace boragepitch::rpc {

/** Signs and checks messages between own processes. Implementations must be thread-safe. */
class Authenticator
{
public:
  virtual ~Authenticator() = default;
  /** Value of the X-BP-Auth header for aBody sent to aReceiver. */
  virtual std::string sign(std::string_view aReceiver, std::string_view aBody) = 0;
  /** Error of kind Unauthorized when the header does not fit the body, or repeats an earlier
   * message. */
  virtual base::Status verify(std::string_view aHeader,
                              std::string_view aReceiver,
                              std::string_view aBody) = 0;
};

/** Accepts everything; for tests and single-process use only. */
std::unique_ptr<Authenticator> makeOpenAuthenticator();

using RpcMethod = std::function<base::Result<Json::Value>(const Json::Value& aParams)>;

/** JSON-RPC 2.0 methods served at POST /rpc of an HTTP server. Parameters and results are JSON
 * objects. */
class RpcServer
{
public:
  /** aAuthenticator must outlive the server; aSelf is this process's control address, as peers name
   * it. */
  RpcServer(Authenticator& aAuthenticator, std::string aSelf);
  ~RpcServer();

  /** All methods are added before attach(). */
  void addMethod(const std::string& aName, RpcMethod aMethod);
  /** Adds the route to aServer, which must not have started. */
  void attach(net::HttpServer& aServer);
  /** Requests served, and bytes of response and request bodies so far. */
  uint64_t calls() const;
  uint64_t bytesSent() const;
  uint64_t bytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Calls methods of other processes. Thread-safe. */
class RpcClient
{
public:
  /** aAuthenticator must outlive the client. */
  explicit RpcClient(Authenticator& aAuthenticator,
                     base::Milliseconds aTimeout = base::Milliseconds(500));
  ~RpcClient();

  /** Errors: as for net::HttpClient; an error of the method itself keeps its kind. */
  base::Result<Json::Value> call(const net::Address& aServer,
                                 const std::string& aMethod,
                                 const Json::Value& aParams);
  /** Requests sent, and bytes of request and response bodies so far. */
  uint64_t calls() const;
  uint64_t bytesSent() const;
  uint64_t bytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace boragepitch::rpc
