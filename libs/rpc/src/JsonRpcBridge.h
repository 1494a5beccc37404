#pragma once

// Compiled as C++14 and as C++20: keep to C++14 here.

#include <functional>
#include <memory>
#include <string>

#include <json/value.h>

namespace boragepitch {
namespace rpc {
namespace bridge {

/** What a method or call failed with; code is a JSON-RPC error code. */
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
  /** Answers one request text with one response text. */
  std::string handle(const std::string& aRequest);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Sends aRequest and fills aResponse; returns an empty string or what went wrong. */
using Exchange = std::function<std::string(const std::string& aRequest, std::string& aResponse)>;

Outcome call(const Exchange& aExchange, const std::string& aMethod, const Json::Value& aParams);

} // namespace bridge
} // namespace rpc
} // namespace boragepitch
