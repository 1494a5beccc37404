#define BOOST_TEST_MODULE rpc
#include <boost/test/unit_test.hpp>

#include "net/HttpClient.h"
#include "rpc/Rpc.h"
#include "support/TestAddress.h"

using namespace boragepitch;

namespace {

struct Fixture
{
  Fixture()
  {
    server = net::HttpServer::Builder().address(address).build();
    rpcServer.addMethod("echo", [](const Json::Value& aParams) -> base::Result<Json::Value> {
      Json::Value result;
      result["echo"] = aParams["text"];
      return result;
    });
    rpcServer.addMethod("refuse", [](const Json::Value&) -> base::Result<Json::Value> {
      return base::fail(base::ErrorKind::Conflict, "row", "changed", "read again");
    });
    rpcServer.attach(*server);
    BOOST_REQUIRE(server->start());
  }

  net::Address address = test::unusedAddress();
  std::unique_ptr<rpc::Authenticator> authenticator = rpc::makeOpenAuthenticator();
  rpc::RpcServer rpcServer{ *authenticator, address.toString() };
  std::unique_ptr<net::HttpServer> server;
  rpc::RpcClient client{ *authenticator };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(calls, Fixture)

// Guards against lost parameters or results.
BOOST_AUTO_TEST_CASE(carriesParametersAndResult)
{
  Json::Value params;
  params["text"] = "hello";
  auto result = client.call(address, "echo", params);
  BOOST_REQUIRE(result);
  BOOST_TEST((*result)["echo"].asString() == "hello");
}

// Guards against errors that lose their kind or remedy between processes.
BOOST_AUTO_TEST_CASE(keepsTheKindOfAnError)
{
  auto result = client.call(address, "refuse", Json::Value(Json::objectValue));
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.error().kind == base::ErrorKind::Conflict));
  BOOST_TEST(result.error().remedy == "read again");
  BOOST_TEST(!client.call(address, "absent", Json::Value(Json::objectValue)));
}

// Guards against malformed messages that crash the server.
BOOST_AUTO_TEST_CASE(survivesMalformedMessages)
{
  net::HttpClient raw(address);
  for (const char* body :
       { "", "{", "[]", "{\"jsonrpc\":\"2.0\"}", "42", "{\"jsonrpc\":\"2.0\",\"method\":1}" }) {
    BOOST_TEST(raw.send({ .method = "POST", .target = "/rpc", .body = body }).has_value());
  }
  Json::Value params;
  params["text"] = "alive";
  BOOST_TEST(client.call(address, "echo", params).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
