#include "JsonRpcBridge.h"

#include <map>

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/server.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

namespace boragepitch {
namespace rpc {
namespace bridge {

namespace {

class NullConnector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void* aInfo) override
  {
    *static_cast<std::string*>(aInfo) = aResponse;
    return true;
  }
};

class MethodServer : public jsonrpc::AbstractServer<MethodServer>
{
public:
  explicit MethodServer(jsonrpc::AbstractServerConnector& aConnector)
    : jsonrpc::AbstractServer<MethodServer>(aConnector, jsonrpc::JSONRPC_SERVER_V2)
  {
  }

  void add(const std::string& aName, Method aMethod)
  {
    mMethods[aName] = std::move(aMethod);
    bindAndAddMethod(
      jsonrpc::Procedure(aName, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
      &MethodServer::unused);
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    Outcome outcome = mMethods.at(aProcedure.GetProcedureName())(aInput);
    if (!outcome.ok) {
      throw jsonrpc::JsonRpcException(
        outcome.failure.code, outcome.failure.message, outcome.failure.data);
    }
    aOutput = outcome.result;
  }

private:
  void unused(const Json::Value&, Json::Value&) {}

  std::map<std::string, Method> mMethods;
};

class TransportConnector : public jsonrpc::IClientConnector
{
public:
  explicit TransportConnector(const Transport& aTransport)
    : mTransport(aTransport)
  {
  }

  void SendRPCMessage(const std::string& aMessage,
                      std::string& aResult) throw(jsonrpc::JsonRpcException) override
  {
    std::string errorMessage = mTransport(aMessage, aResult);
    if (!errorMessage.empty()) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, errorMessage);
    }
  }

private:
  const Transport& mTransport;
};

} // namespace

struct Dispatcher::Impl
{
  NullConnector connector;
  MethodServer server{ connector };
};

Dispatcher::Dispatcher()
  : mImpl(new Impl)
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::add(const std::string& aName, Method aMethod)
{
  mImpl->server.add(aName, std::move(aMethod));
}

std::string Dispatcher::handle(const std::string& aRequest)
{
  std::string response;
  mImpl->connector.GetHandler()->HandleRequest(aRequest, response);
  return response;
}

Outcome call(const Transport& aTransport, const std::string& aMethod, const Json::Value& aParams)
{
  TransportConnector connector(aTransport);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  Outcome outcome;
  try {
    client.CallMethod(aMethod, aParams, outcome.result);
    outcome.ok = true;
  } catch (const jsonrpc::JsonRpcException& exception) {
    outcome.failure.code = exception.GetCode();
    outcome.failure.message = exception.GetMessage();
    outcome.failure.data = exception.GetData();
  }
  return outcome;
}

} // namespace bridge
} // namespace rpc
} // namespace boragepitch
