#define BOOST_TEST_MODULE relay_overdue_version
#include <boost/test/unit_test.hpp>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

constexpr base::Milliseconds kEnforceAfter = 100ms;
/** Time between the enforcement and the end of the version time, in which requests still begin. */
constexpr base::Milliseconds kVersionMargin = 1000ms;

struct EngineFixture : Fixture
{
  EngineFixture()
  {
    serving::Route route;
    route.name = "route";
    route.host = "a.example";
    route.pathPrefix = "/x/";
    route.kind = serving::CallKind::Streaming;
    route.isResumable = true;
    route.maxAttempts = 2;
    route.timeout = 4000ms;
    route.latencyTarget = 500ms;
    route.gapTarget = 400ms;
    route.services = { { "s", 1 } };
    serving::Service engines;
    engines.name = "s";
    engines.engine.emplace();
    engines.engine->slots = 8;
    engines.engine->stepMs = 11.1;
    engines.engine->promptTokensPerSecond = 21300;
    engines.engine->stepsPerPass = 6;
    engines.engine->meanPromptTokens = 900;
    engines.engine->meanAnswerTokens = 90;
    serving::Deployment::Builder builder;
    builder.version(1).addRoute(route).addService(engines);
    builder.limits({ .headerBytes = 2048, .bodyBytes = 4096 });
    relay->setDeployment(builder.build());
  }

  void listEngine(const std::string& aId, const net::Address& aAddress, uint64_t aVersion)
  {
    serving::EndpointRecord record;
    record.startTimeMs = 1;
    record.id = aId;
    record.service = "s";
    record.address = aAddress;
    record.zone = "z";
    record.region = "r";
    record.slots = 8;
    record.weightVersion = aVersion;
    relay->changeEndpoints({ record });
    relay->confirmList(std::chrono::steady_clock::now());
  }

  /** Declares a version that is enforced kEnforceAfter after the first request arrives at an engine
   * that calls enforceSoon(). */
  void declareLate() { relay->declareVersion("", 2, std::chrono::steady_clock::now() + 10s); }
  void enforceSoon()
  {
    enforcedFrom = std::chrono::steady_clock::now() + kEnforceAfter;
    relay->declareVersion("", 2, enforcedFrom);
  }

  std::string send()
  {
    return call("POST /x/1 HTTP/1.1\r\nHost: a.example\r\nId: 7\r\nContent-Length: 0\r\n\r\n");
  }

  std::atomic<base::TimePoint> enforcedFrom{ base::TimePoint() };
};

std::string wholeStream(const std::string& aRequest)
{
  return streamHead(idOf(aRequest)) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n";
}

} // namespace

// Guards against requests that wait at an engine with older weights and begin after the version
// time (VERSION on scale-1 of the large site): with no engine that holds the new weights, they used
// to wait there until their deadline.
BOOST_FIXTURE_TEST_CASE(requestsThatHaveNotBegunInTimeAreWithdrawn, EngineFixture)
{
  FakeEndpoint old([&](const std::string&) {
    enforceSoon();
    std::this_thread::sleep_for(2500ms);
    return std::string("CLOSE");
  });
  listEngine("old", old.address(), 1);
  declareLate();
  std::string answer = send();
  auto since = std::chrono::steady_clock::now() - enforcedFrom.load();
  BOOST_TEST(old.requests().size() == 1U);
  BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
  BOOST_TEST((since < kVersionMargin),
             "answered " << base::toMilliseconds(since) << " ms after the enforcement");
}

// A request that is withdrawn is served by an engine that holds the required weights.
BOOST_FIXTURE_TEST_CASE(withdrawnRequestsGoToEnginesWithTheRequiredWeights, EngineFixture)
{
  FakeEndpoint current(wholeStream);
  FakeEndpoint old([&](const std::string&) {
    enforceSoon();
    listEngine("current", current.address(), 2);
    std::this_thread::sleep_for(2500ms);
    return std::string("CLOSE");
  });
  listEngine("old", old.address(), 1);
  declareLate();
  std::string answer = send();
  auto since = std::chrono::steady_clock::now() - enforcedFrom.load();
  BOOST_TEST(dataOf(answer) == "t1 t2 ");
  BOOST_TEST((since < kVersionMargin));
}

// Guards against cutting streams that began in time.
BOOST_FIXTURE_TEST_CASE(streamsThatHaveBegunGoOn, EngineFixture)
{
  FakeEndpoint old([&](const std::string& aRequest) {
    enforceSoon();
    std::string text = streamHead(idOf(aRequest));
    for (int number = 1; number <= 40; ++number) {
      text += chunk(event(number)) + std::string(kPause);
    }
    return text + "0\r\n\r\n";
  });
  listEngine("old", old.address(), 1);
  declareLate();
  std::string answer = send();
  auto since = std::chrono::steady_clock::now() - enforcedFrom.load();
  BOOST_TEST(answer.find("t40") != std::string::npos);
  BOOST_TEST(old.requests().size() == 1U);
  BOOST_TEST((since > 1s - kEnforceAfter));
}

// Guards against requests that begin on outdated weights because the list names newer ones than the
// engine holds (VERSION on hoopline): the engine must be able to decline them before the version is
// enforced too.
BOOST_FIXTURE_TEST_CASE(enginesThatLostTheirWeightsDeclineRequestsBeforeTheEnforcement,
                        EngineFixture)
{
  std::atomic<int> begun{ 0 };
  FakeEndpoint outdated([&](const std::string& aRequest) {
    bool isDeclined = aRequest.find("Expect-Version: 2") != std::string::npos;
    begun += isDeclined ? 0 : 1;
    return isDeclined ? answer(idOf(aRequest), "", 421) : wholeStream(aRequest);
  });
  FakeEndpoint current(wholeStream);
  listEngine("outdated", outdated.address(), 2);
  declareLate();
  send();
  listEngine("current", current.address(), 2);
  BOOST_TEST(dataOf(send()) == "t1 t2 ");
  BOOST_TEST(outdated.requests().size() >= 1U);
  BOOST_TEST(begun == 0);
}

// Guards against misdirected requests: an engine with other weights than an older version that may
// still be used does not decline.
BOOST_FIXTURE_TEST_CASE(requestsNameNoVersionThatTheyDoNotNeed, EngineFixture)
{
  FakeEndpoint old(wholeStream);
  listEngine("old", old.address(), 1);
  declareLate();
  send();
  BOOST_TEST(old.requests().at(0).find("Expect-Version") == std::string::npos);
}
