#define BOOST_TEST_MODULE controlAuth
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "control/Auth.h"
#include "net/HttpServer.h"
#include "support/TestAddress.h"

using namespace boragepitch;
using control::HmacAuthenticator;

namespace {

const std::string kOld(32, 'o');
const std::string kNew(32, 'n');

std::unique_ptr<HmacAuthenticator> make(const std::string& aSender,
                                        uint64_t aEpoch = 1,
                                        size_t aMaxSenders = 100)
{
  return HmacAuthenticator::Builder()
    .key("k1", kOld)
    .sender(aSender)
    .epoch(aEpoch)
    .maxSenders(aMaxSenders)
    .build()
    .value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(messages)

// Guards against messages accepted twice, by the wrong receiver or with an altered body.
BOOST_AUTO_TEST_CASE(areAcceptedOnceByTheirReceiver)
{
  auto sender = make("a");
  auto receiver = make("b");
  std::string header = sender->sign("b:1", "body");
  BOOST_TEST(!receiver->verify(header, "c:1", "body").has_value());
  BOOST_TEST(!receiver->verify(header, "b:1", "other").has_value());
  BOOST_TEST(receiver->verify(header, "b:1", "body").has_value());
  auto again = receiver->verify(header, "b:1", "body");
  BOOST_REQUIRE(!again);
  BOOST_TEST((again.error().kind == base::ErrorKind::Unauthorized));
}

// Guards against altered headers that are accepted or crash the parser.
RC_BOOST_PROP(areRefusedWithAnAlteredHeader, (const std::string& aNoise, uint16_t aAt))
{
  auto sender = make("a");
  auto receiver = make("b");
  std::string header = sender->sign("b:1", "body");
  std::string altered = header;
  altered.replace(aAt % header.size(), std::max<size_t>(1, aNoise.size()), aNoise);
  RC_PRE(altered != header);
  RC_ASSERT(!receiver->verify(altered, "b:1", "body").has_value());
  RC_ASSERT(!receiver->verify(aNoise, "b:1", "body").has_value());
  RC_ASSERT(receiver->verify(header, "b:1", "body").has_value());
}

// Guards against reordered messages being rejected, and against messages accepted twice.
RC_BOOST_PROP(areAcceptedOnceInAnyOrder, (const std::vector<uint16_t>& aOrder))
{
  auto sender = make("a");
  auto receiver = make("b");
  std::vector<std::string> headers;
  for (int i = 0; i < 200; ++i) {
    headers.push_back(sender->sign("b:1", "body"));
  }
  std::set<size_t> seen;
  for (uint16_t pick : aOrder) {
    size_t index = pick % headers.size();
    bool accepted = receiver->verify(headers[index], "b:1", "body").has_value();
    RC_ASSERT(accepted == seen.insert(index).second);
  }
}

// Guards against replays from a sender's earlier start, and of messages outside the window.
BOOST_AUTO_TEST_CASE(areRefusedWhenOlderThanTheWindow)
{
  auto receiver = make("b");
  auto first = make("a", 1);
  std::string unused = first->sign("b:1", "body");
  auto restarted = make("a", 2);
  std::string early = restarted->sign("b:1", "body");
  BOOST_TEST(receiver->verify(restarted->sign("b:1", "body"), "b:1", "body").has_value());
  BOOST_TEST(!receiver->verify(unused, "b:1", "body").has_value());
  for (int i = 0; i < 2000; ++i) {
    restarted->sign("b:1", "body");
  }
  BOOST_TEST(receiver->verify(restarted->sign("b:1", "body"), "b:1", "body").has_value());
  BOOST_TEST(!receiver->verify(early, "b:1", "body").has_value());
}

// Guards against replays of messages whose sender was evicted to bound memory.
BOOST_AUTO_TEST_CASE(areRefusedAfterTheirSenderWasEvicted)
{
  auto receiver = make("r", 1, 2);
  auto a = make("a", 10);
  std::string header = a->sign("r:1", "body");
  BOOST_TEST(receiver->verify(header, "r:1", "body").has_value());
  for (int i = 0; i < 5; ++i) {
    auto other = make("s" + std::to_string(i), 20 + i);
    BOOST_TEST(receiver->verify(other->sign("r:1", "x"), "r:1", "x").has_value());
  }
  BOOST_TEST(!receiver->verify(header, "r:1", "body").has_value());
}

// Guards against rejections during key rotation, and against old keys that stay valid after it.
BOOST_AUTO_TEST_CASE(passDuringKeyRotation)
{
  auto build = [](bool aOld, bool aNew, const std::string& aSigning, const std::string& aSender) {
    HmacAuthenticator::Builder builder;
    if (aOld) {
      builder.key("k1", kOld);
    }
    if (aNew) {
      builder.key("k2", kNew);
    }
    return builder.signingKey(aSigning).sender(aSender).epoch(1).build().value();
  };
  auto before = build(true, false, "k1", "a");
  auto during = build(true, true, "k1", "b");
  auto switched = build(true, true, "k2", "c");
  auto after = build(false, true, "k2", "d");
  BOOST_TEST(during->verify(before->sign("b", "x"), "b", "x").has_value());
  BOOST_TEST(before->verify(during->sign("a", "x"), "a", "x").has_value());
  BOOST_TEST(during->verify(switched->sign("b", "x"), "b", "x").has_value());
  BOOST_TEST(switched->verify(after->sign("c", "x"), "c", "x").has_value());
  BOOST_TEST(!after->verify(before->sign("d", "x"), "d", "x").has_value());
}

// Guards against settings that silently weaken authentication.
BOOST_AUTO_TEST_CASE(needValidKeys)
{
  BOOST_TEST(!HmacAuthenticator::Builder().sender("a").build().has_value());
  BOOST_TEST(!HmacAuthenticator::Builder().key("k", "short").sender("a").build().has_value());
  BOOST_TEST(!HmacAuthenticator::Builder().key("k 1", kOld).sender("a").build().has_value());
  BOOST_TEST(!HmacAuthenticator::Builder().key("k", kOld).sender("a b").build().has_value());
  BOOST_TEST(
    !HmacAuthenticator::Builder().key("k", kOld).signingKey("x").sender("a").build().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(answers)

// Guards against a process without the key that answers at a reused address.
BOOST_AUTO_TEST_CASE(areRefusedFromAServerWithoutTheKey)
{
  net::Address address = test::unusedAddress();
  auto server = net::HttpServer::Builder().address(address).build();
  auto open = rpc::makeOpenAuthenticator();
  auto keyed = make("server");
  rpc::RpcServer impostor(*open, address.toString());
  impostor.addMethod("who", [](const Json::Value&) -> base::Result<Json::Value> {
    return Json::Value(Json::objectValue);
  });
  impostor.attach(*server);
  BOOST_REQUIRE(server->start());
  auto client = make("client");
  rpc::RpcClient calls(*client, base::Milliseconds(5000));
  auto answer = calls.call(address, "who", Json::Value(Json::objectValue));
  BOOST_REQUIRE(!answer);
  BOOST_TEST((answer.error().kind == base::ErrorKind::Unauthorized));
  server->stop();
}

// Guards against failing calls between processes that share a key.
BOOST_AUTO_TEST_CASE(passBetweenProcessesWithTheKey)
{
  net::Address address = test::unusedAddress();
  auto server = net::HttpServer::Builder().address(address).build();
  auto keyed = make("server");
  rpc::RpcServer methods(*keyed, address.toString());
  methods.addMethod("who", [](const Json::Value&) -> base::Result<Json::Value> {
    return Json::Value(Json::objectValue);
  });
  methods.attach(*server);
  BOOST_REQUIRE(server->start());
  auto client = make("client");
  rpc::RpcClient calls(*client, base::Milliseconds(5000));
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(calls.call(address, "who", Json::Value(Json::objectValue)).has_value());
  }
  server->stop();
}

BOOST_AUTO_TEST_SUITE_END()
