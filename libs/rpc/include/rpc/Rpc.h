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

/** Signs and verifies messages between fleet processes. Implementations must be thread-safe. */
class Authenticator
{
public:
  virtual ~Authenticator() = default;
  /** Returns the X-BP-Auth header value for a message aBody to aReceiver. */
  virtual std::string sign(std::string_view aReceiver, std::string_view aBody) = 0;
  /** Fails with Unauthorized if the header does not match receiver and body, or if the message was
   * verified before. */
  virtual base::Status verify(std::string_view aHeader,
                              std::string_view aReceiver,
                              std::string_view aBody) = 0;
};

/** Returns an authenticator that accepts every message; for tests and single-process use only. */
std::unique_ptr<Authenticator> makeOpenAuthenticator();

using RpcMethod = std::function<base::Result<Json::Value>(const Json::Value& aParams)>;

/** Serves JSON-RPC 2.0 methods at POST /rpc of an HTTP server. Parameters and results are JSON
 * objects. */
class RpcServer
{
public:
  /** aAuthenticator must outlive the server; aOwnAddress is this process's control address as used
   * by peers. */
  RpcServer(Authenticator& aAuthenticator, std::string aOwnAddress);
  ~RpcServer();

  /** Must not be called after attach(). */
  void addMethod(const std::string& aName, RpcMethod aMethod);
  /** Adds the route to aServer, which must not have been started. */
  void attach(net::HttpServer& aServer);
  /** Requests received, and bytes of response and request bodies, since construction. */
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

  /** Fails like net::HttpClient; an error returned by the method keeps its kind. */
  base::Result<Json::Value> call(const net::Address& aServer,
                                 const std::string& aMethod,
                                 const Json::Value& aParams);
  /** Requests sent, and bytes of request and response bodies, since construction. */
  uint64_t calls() const;
  uint64_t bytesSent() const;
  uint64_t bytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace boragepitch::rpc
