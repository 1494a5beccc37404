#pragma once

// Included by C++14 and C++20 sources, so it must be valid C++14.

#include <functional>
#include <memory>
#include <string>

#include <json/value.h>

namespace boragepitch {
namespace rpc {
namespace bridge {

/** Error of a method or call; code is a JSON-RPC error code. */
struct Failure
{
  int code = 0;
  std::string message;
  Json::Value data;
};

struct Outcome
{
  bool ok = false;
  Json::Value result;
  Failure failure;
};

using Method = std::function<Outcome(const Json::Value&)>;

/** JSON-RPC 2.0 dispatcher over libjsonrpccpp; thread-safe once all methods are added. */
class Dispatcher
{
public:
  Dispatcher();
  ~Dispatcher();
  void add(const std::string& aName, Method aMethod);
  /** Handles one JSON-RPC request and returns the response. */
  std::string handle(const std::string& aRequest);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Sends aRequest and fills aResponse; returns an empty string or an error message. */
using Transport = std::function<std::string(const std::string& aRequest, std::string& aResponse)>;

Outcome call(const Transport& aTransport, const std::string& aMethod, const Json::Value& aParams);

} // namespace bridge
} // namespace rpc
} // namespace boragepitch
