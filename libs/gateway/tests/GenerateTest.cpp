#define BOOST_TEST_MODULE gateway_generate
#include <boost/test/unit_test.hpp>

#include "GenerateFixture.h"

using namespace boragepitch;
using namespace boragepitch::test;

namespace {

using Fixture = GenerateFixture;

const std::string kOther(64, 'b');

} // namespace

// Guards against events that are lost, repeated or changed on the way to the caller.
BOOST_FIXTURE_TEST_CASE(relaysWholeStreams, Fixture)
{
  for (int i = 0; i < 20; ++i) {
    auto response = entries[i % 2]->generate("hello", 10, { { "X-Request-Id", "mine" } });
    BOOST_REQUIRE(response);
    BOOST_TEST(response->status == 200);
    BOOST_TEST(response->body == wholeStream('a', 10));
    BOOST_TEST(response->header("X-Request-Id").value_or("") == "mine");
  }
}

// Guards against a cut that the caller sees, and against a resumption that loses or repeats events.
BOOST_FIXTURE_TEST_CASE(resumesCutStreams, Fixture)
{
  for (int i = 0; i < 10; ++i) {
    engine(0).cuts = 1;
    engine(1).cuts = 1;
    auto response = entries[0]->generate("hello", 12);
    BOOST_REQUIRE(response);
    BOOST_TEST(response->status == 200);
    BOOST_TEST(response->body == wholeStream('a', 12));
  }
}

// Guards against giving up a stream although each attempt delivered new events.
BOOST_FIXTURE_TEST_CASE(resumesAStreamThatManyEnginesCut, Fixture)
{
  engine(0).cuts = 3;
  engine(1).cuts = 3;
  auto response = entries[0]->generate("hello", 24);
  BOOST_REQUIRE(response);
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->body == wholeStream('a', 24));
}

// Guards against endless resumption on engines that deliver nothing.
BOOST_FIXTURE_TEST_CASE(givesUpAStreamWithoutProgress, Fixture)
{
  for (size_t i = 0; i < 2; ++i) {
    engine(i).cuts = 100;
    engine(i).cutAfter = 0;
  }
  auto response = entries[0]->generate("hello", 24);
  BOOST_REQUIRE(response);
  BOOST_TEST(response->status != 200);
  BOOST_TEST(engine(0).startedRequests + engine(1).startedRequests == 4);
}

// Guards against resuming a stream on another version.
BOOST_FIXTURE_TEST_CASE(neverMixesVersions, Fixture)
{
  addModelEndpoint(fleet, "e2", "b", { "m", "2", kOther }, endpoints[1]->data);
  engine(1).manifest = kOther;
  endpoints[1]->gateway->setServing({ { { "m", "2", kOther } }, "boot-1", false, 1, 8 });
  engine(0).cuts = 100;
  engine(0).cutAfter = 2;
  refresh();
  auto response = entries[0]->generate("hello", 20);
  BOOST_REQUIRE(response);
  std::string body = response->body;
  bool fromOld = body.find("\"a0\"") != std::string::npos;
  BOOST_TEST(fromOld != (body.find("\"b") != std::string::npos));
  bool completed = body == wholeStream(fromOld ? 'a' : 'b', 20);
  BOOST_TEST((completed || body.find("event: error") != std::string::npos));
}

// Guards against relaying the response of an engine that serves another manifest than the verified
// one.
BOOST_FIXTURE_TEST_CASE(discardsResponsesOfAnotherManifest, Fixture)
{
  engine(0).foreignManifest = true;
  for (int i = 0; i < 5; ++i) {
    auto response = entries[0]->generate("hello", 5);
    BOOST_REQUIRE(response);
    BOOST_TEST(response->body == wholeStream('a', 5));
  }
  engine(1).foreignManifest = true;
  auto response = entries[0]->generate("hello", 5);
  BOOST_REQUIRE(response);
  BOOST_TEST(response->status != 200);
  BOOST_TEST(response->body.find("token") == std::string::npos);
}

// Guards against a request that continues at the engine after its caller disconnected.
BOOST_FIXTURE_TEST_CASE(cancelsWhenTheCallerLeaves, Fixture)
{
  {
    net::HttpClient client(entries[0]->address, { .readTimeout = 60s });
    net::ClientRequest request{ .method = "POST",
                                .target = "/v1/models/m/generate",
                                .headers = { { "X-Workspace", "w" } },
                                .body = R"({"prompt":"long","max_tokens":100000})" };
    auto result = client.stream(
      request,
      [](const net::ClientResponse&) { return true; },
      [](std::string_view) { return false; });
    BOOST_TEST(!result.has_value());
  }
  BOOST_TEST(
    eventually([&] { return engine(0).runningRequests + engine(1).runningRequests == 0; }));
  BOOST_TEST(entries[0]->gateway->waitIdle(30000ms));
  BOOST_TEST(eventually(
    [&] { return endpoints[0]->gateway->running() + endpoints[1]->gateway->running() == 0; }));
}

// Guards against draining that cuts a request in flight or admits new ones.
BOOST_FIXTURE_TEST_CASE(drainFinishesWorkInFlight, Fixture)
{
  addModelEndpoint(fleet, "e2", "b", { "m", "2", kOther }, endpoints[1]->data);
  refresh();
  engine(0).tokenMs = 5;
  std::string body;
  std::thread caller([&] {
    auto response = entries[0]->generate("hello", 100);
    body = response ? response->body : response.error().describe();
  });
  BOOST_REQUIRE(eventually([&] { return engine(0).runningRequests == 1; }));
  BOOST_TEST(!endpoints[0]->gateway->drain(1ms).has_value());
  int startedBefore = engine(0).startedRequests;
  auto refused = entries[1]->generate("hello", 3);
  BOOST_REQUIRE(refused);
  BOOST_TEST(refused->status == 503);
  BOOST_TEST(refused->header("X-Ran").value_or("") == "no");
  BOOST_TEST(refused->header("Retry-After").has_value());
  BOOST_TEST(endpoints[0]->gateway->drain(60000ms).has_value());
  caller.join();
  BOOST_TEST(body == wholeStream('a', 100));
  BOOST_TEST(engine(0).startedRequests == startedBefore);
  endpoints[0]->gateway->resume();
  BOOST_TEST(eventually([&] {
    auto response = entries[1]->generate("hello", 3);
    return response && response->status == 200;
  }));
}

// Guards against a caller that waits forever when a connection stops delivering data.
BOOST_FIXTURE_TEST_CASE(abandonsSilentConnections, Fixture)
{
  SilencingProxy proxy(endpoints[0]->data);
  addModelEndpoint(fleet, "e1", "a", { "m", "1", kManifest }, proxy.address);
  refresh();
  engine(0).tokenMs = 10;
  std::string body;
  std::thread caller([&] {
    auto response = entries[0]->generate("hello", 100);
    body = response ? response->body : response.error().describe();
  });
  BOOST_REQUIRE(eventually([&] { return engine(0).runningRequests == 1; }));
  proxy.silence();
  caller.join();
  BOOST_TEST(body == wholeStream('a', 100));
}

// Guards against a request that crashes a third engine, and against the failure of harmless
// requests that were in flight at the crashes.
BOOST_FIXTURE_TEST_CASE(refusesPoisonRequestsAfterTwoCrashes, Fixture)
{
  add("e3", "a", kManifest);
  refresh();
  for (auto& endpoint : endpoints) {
    endpoint->engine.tokenMs = 5;
  }
  std::vector<std::string> bodies(4);
  std::vector<std::thread> callers;
  for (size_t i = 0; i < bodies.size(); ++i) {
    callers.emplace_back([&, i] {
      auto response = entries[i % 2]->generate("innocent " + std::to_string(i), 60);
      bodies[i] = response ? response->body : response.error().describe();
    });
  }
  BOOST_REQUIRE(eventually([&] {
    return engine(0).runningRequests + engine(1).runningRequests + engine(2).runningRequests == 4;
  }));
  // Stands in for the agent process, which polls the engine's state and notices new instances.
  std::atomic<bool> stop{ false };
  std::thread monitor([&] {
    while (!stop) {
      for (auto& endpoint : endpoints) {
        endpoint->serve();
      }
      std::this_thread::sleep_for(20ms);
    }
  });
  auto poison = entries[0]->generate("CRASH", 10);
  BOOST_REQUIRE(poison);
  BOOST_TEST(poison->status == 422);
  BOOST_TEST(poison->header("X-Ran").value_or("") == "yes");
  for (auto& caller : callers) {
    caller.join();
  }
  for (const std::string& body : bodies) {
    BOOST_TEST(body == wholeStream('a', 60));
  }
  refresh();
  auto again = entries[1]->generate("CRASH", 10);
  BOOST_REQUIRE(again);
  BOOST_TEST(again->status == 422);
  stop = true;
  monitor.join();
  BOOST_TEST(engine(0).boot + engine(1).boot + engine(2).boot - 3 <= 2);
}

// Guards against refusing a poison request before the other entries were notified of both crashes,
// and against an unbounded wait for an entry that never acknowledges.
BOOST_FIXTURE_TEST_CASE(notifiesOtherEntriesBeforeRefusingPoison, Fixture)
{
  add("e3", "a", kManifest);
  // The notified entry has its own node records, which contain no crash.
  FakeFleet separateFleet;
  separateFleet.declare("Serving", "m", resources::Serving{ .model = "m", .version = "1" });
  for (auto& endpoint : endpoints) {
    addModelEndpoint(separateFleet, endpoint->name, "a", { "m", "1", kManifest }, endpoint->data);
  }
  TestEntry notified(separateFleet, table, "entry-told");
  std::atomic<size_t> maxSuspects{ 0 };
  std::promise<void> never;
  auto unacknowledged = never.get_future().share();
  TestEntry notifier(
    fleet, table, "entry-teller", [&](const std::vector<control::Suspect>& aSuspects) {
      maxSuspects = std::max(maxSuspects.load(), aSuspects.size());
      notified.gateway->learnSuspects(aSuspects);
      return unacknowledged;
    });
  std::atomic<bool> stop{ false };
  std::thread monitor([&] {
    while (!stop) {
      for (auto& endpoint : endpoints) {
        endpoint->serve();
      }
      std::this_thread::sleep_for(20ms);
    }
  });
  auto poison = notifier.generate("CRASH", 10);
  size_t suspectsBefore = maxSuspects;
  auto again = notified.generate("CRASH", 10);
  stop = true;
  monitor.join();
  BOOST_REQUIRE(poison);
  BOOST_REQUIRE(again);
  BOOST_TEST(poison->status == 422);
  BOOST_TEST(suspectsBefore == 2U);
  BOOST_TEST(again->status == 422);
  BOOST_TEST(engine(0).boot + engine(1).boot + engine(2).boot - 3 == 2);
}

// Guards against sending a cold engine more requests than its limit, under any load from entries.
BOOST_FIXTURE_TEST_CASE(coldEngineNeverExceedsItsLimit, Fixture)
{
  for (auto& endpoint : endpoints) {
    endpoint->engine.cold = true;
    endpoint->engine.lingerMs = 5;
    endpoint->serve();
  }
  std::atomic<int> completed{ 0 };
  std::atomic<int> refused{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < 24; ++i) {
    callers.emplace_back([&, i] {
      for (int j = 0; j < 6; ++j) {
        auto response = entries[i % 2]->generate("p" + std::to_string(i), 4 + i % 3);
        bool ok = response && response->body == wholeStream('a', 4 + i % 3);
        bool notRun = response && response->status != 200 && response->header("X-Ran") == "no";
        completed += ok ? 1 : 0;
        refused += notRun ? 1 : 0;
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  BOOST_TEST(engine(0).overloads + engine(1).overloads == 0);
  BOOST_TEST(completed + refused == 144);
  BOOST_TEST(completed >= 20);
}

// Guards against new work in a zone out of service, at an isolated process or through a leaving
// entry, and against refusals without X-Ran and Retry-After.
BOOST_FIXTURE_TEST_CASE(refusesWhenOutOfService, Fixture)
{
  auto isRefused = [](const base::Result<net::ClientResponse>& aResponse) {
    return aResponse && aResponse->status == 503 && aResponse->header("X-Ran") == "no" &&
           aResponse->header("Retry-After").has_value() &&
           aResponse->body.find("retryAfterMs") != std::string::npos;
  };
  fleet.declare("Zone", "a", resources::Zone{ .region = "a", .inService = false });
  refresh();
  int startedBefore = engine(0).startedRequests;
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(entries[0]->generate("x", 3)->status == 200);
  }
  BOOST_TEST(engine(0).startedRequests == startedBefore);
  // The agent itself refuses, in case an entry does not know of the change yet.
  net::HttpClient stale(endpoints[0]->data);
  auto direct = stale.send({ .method = "POST",
                             .target = "/run/generate",
                             .headers = { { "X-Request-Id", "r" }, { "X-Manifest", kManifest } },
                             .body = "{}" });
  BOOST_TEST(isRefused(direct));
  fleet.declare("Zone", "b", resources::Zone{ .region = "b", .inService = false });
  refresh();
  BOOST_TEST(isRefused(entries[0]->generate("x", 3)));
  fleet.declare("Zone", "a", resources::Zone{ .region = "a", .inService = true });
  refresh();
  fleet.fresh = false;
  BOOST_TEST(isRefused(entries[0]->generate("x", 3)));
  fleet.fresh = true;
  entries[0]->gateway->startLeaving();
  BOOST_TEST(isRefused(entries[0]->generate("x", 3)));
  refresh();
  BOOST_TEST(entries[1]->generate("x", 3)->status == 200);
}

// Guards against malformed requests, unknown models and passed deadlines that do not end with an
// error response or event.
BOOST_FIXTURE_TEST_CASE(answersInvalidRequestsWithErrors, Fixture)
{
  auto status = [&](const std::string& aTarget, const std::string& aBody, net::Headers aHeaders) {
    return entries[0]
      ->send({ .method = "POST", .target = aTarget, .headers = std::move(aHeaders), .body = aBody })
      ->status;
  };
  BOOST_TEST(status("/v1/models/x/generate", R"({"prompt":"p"})", {}) == 404);
  BOOST_TEST(status("/v1/models/m/generate", "{", {}) == 400);
  BOOST_TEST(status("/v1/models/m/generate", R"({"prompt":"p","max_tokens":0})", {}) == 400);
  BOOST_TEST(status("/v1/models/m/generate", R"({"prompt":"p"})", { { "X-Priority", "11" } }) ==
             400);
  engine(0).holdStreams = true;
  engine(1).holdStreams = true;
  auto late = entries[0]->generate("slow", 10, { { "X-Deadline-Ms", "300" } });
  BOOST_REQUIRE(late);
  BOOST_TEST(late->body.find("event: error") != std::string::npos);
}
