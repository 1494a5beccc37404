#define BOOST_TEST_MODULE standins_engine
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <thread>

#include "base/Digest.h"
#include "base/Json.h"
#include "common/TokenFunction.h"
#include "engine/EngineServer.h"
#include "net/HttpClient.h"
#include "support/TestAddress.h"

using namespace boragepitch;
using namespace boragepitch::standin;
using namespace std::chrono_literals;

namespace {

constexpr auto kLimit = 30s;

void waitFor(const std::function<bool()>& aCondition)
{
  auto deadline = std::chrono::steady_clock::now() + kLimit;
  while (!aCondition()) {
    BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
    std::this_thread::sleep_for(5ms);
  }
}

/** One engine and calls to it. */
struct Fixture
{
  explicit Fixture(const EngineOptions& aOptions = warmOptions())
    : engine(address, aOptions, std::make_shared<ChunkStore>())
  {
    BOOST_REQUIRE(engine.start());
  }

  static EngineOptions warmOptions()
  {
    return { .tokenMs = 1, .coldMs = 0, .restartMs = 50, .loadMs = 0 };
  }

  base::Result<net::ClientResponse> call(const std::string& aMethod,
                                         const std::string& aTarget,
                                         const std::string& aBody = "") const
  {
    net::HttpClient client(address, { .readTimeout = 10s });
    return client.send({ .method = aMethod, .target = aTarget, .body = aBody });
  }

  Json::Value state() const
  {
    auto response = call("GET", "/state");
    return response ? *base::parseJson(response->body) : Json::Value();
  }

  void stage(const std::string& aManifest, const std::string& aFirst, const std::string& aSecond)
  {
    call("POST", "/staging/" + aManifest, R"({"size":8,"chunkSize":4})");
    call("PUT", "/staging/" + aManifest + "/chunks/0", aFirst);
    if (!aSecond.empty()) {
      call("PUT", "/staging/" + aManifest + "/chunks/1", aSecond);
    }
  }

  int load(const std::string& aManifest, int aFencing = 1)
  {
    auto response = call("POST",
                         "/orders",
                         R"({"kind":"load","model":"m","version":"v","manifest":")" + aManifest +
                           R"(","fencing":)" + std::to_string(aFencing) + "}");
    return response ? response->status : 0;
  }

  base::Result<net::ClientResponse> generate(int aTokens, int aResumeFrom = 0) const
  {
    return call("POST",
                "/generate",
                R"({"requestId":"r","model":"m","prompt":"p","maxTokens":)" +
                  std::to_string(aTokens) + R"(,"resumeFrom":)" + std::to_string(aResumeFrom) +
                  "}");
  }

  net::Address address = test::unusedAddress();
  EngineServer engine;
};

std::string expectedToken(const std::string& aBytes, uint64_t aIndex)
{
  return tokenAt(base::toHex(base::sha256(base::asBytes(aBytes))), "p", aIndex);
}

} // namespace

// Guards against tests of P1 that cannot see partial weights, because the stand-in hides them.
BOOST_AUTO_TEST_CASE(tokensDependOnTheLoadedBytes)
{
  Fixture fixture;
  fixture.stage("whole", "aaaa", "bbbb");
  fixture.stage("part", "aaaa", "");
  BOOST_TEST(fixture.load("whole") == 200);
  BOOST_TEST(fixture.generate(2)->body.find(expectedToken("aaaabbbb", 1)) != std::string::npos);
  BOOST_TEST(fixture.load("part") == 200);
  BOOST_TEST(fixture.generate(2)->body.find(expectedToken("aaaabbbb", 1)) == std::string::npos);
}

// Guards against a resumed stream whose tokens differ from those of the uncut stream.
BOOST_AUTO_TEST_CASE(resumeContinuesTheSameStream)
{
  Fixture fixture;
  fixture.stage("whole", "aaaa", "bbbb");
  fixture.load("whole");
  std::string whole = fixture.generate(6)->body;
  std::string rest = fixture.generate(6, 4)->body;
  BOOST_TEST(whole.ends_with(rest));
  BOOST_TEST(rest.starts_with("id: 4\n"));
}

// Guards against tests of P2 that pass because an overloaded cold engine survives.
BOOST_AUTO_TEST_CASE(overloadedColdEngineCrashes)
{
  EngineOptions options = Fixture::warmOptions();
  options.coldMs = 600000;
  options.coldLimit = 1;
  options.tokenMs = 50;
  options.loadLagMs = 0;
  Fixture fixture(options);
  fixture.stage("whole", "aaaa", "bbbb");
  fixture.load("whole");
  std::string instance = fixture.state()["instance"].asString();
  auto first = std::async(std::launch::async, [&] { return fixture.generate(100000); });
  waitFor([&] { return fixture.state()["running"].asInt() == 1; });
  BOOST_TEST(!fixture.generate(1).has_value());
  BOOST_TEST(!first.get().has_value());
  Json::Value state;
  waitFor([&] { return (state = fixture.state()).isObject(); });
  BOOST_TEST(state["instance"].asString() != instance);
  BOOST_TEST(state["loaded"].empty());
  BOOST_TEST(state["staged"].empty());
}

// Guards against fencing tests for which both kinds of engine behave alike.
BOOST_AUTO_TEST_CASE(onlyEnginesHonouringFencingRejectStaleNumbers)
{
  for (bool honours : { true, false }) {
    EngineOptions options = Fixture::warmOptions();
    options.honourFencing = honours;
    Fixture fixture(options);
    fixture.stage("whole", "aaaa", "bbbb");
    BOOST_TEST(fixture.load("whole", 5) == 200);
    BOOST_TEST(fixture.load("whole", 4) == (honours ? 409 : 200));
  }
}

// Guards against a cancelled request that goes on using its slot.
BOOST_AUTO_TEST_CASE(cancelFreesTheSlot)
{
  EngineOptions options = Fixture::warmOptions();
  options.loadLagMs = 0;
  Fixture fixture(options);
  fixture.stage("whole", "aaaa", "bbbb");
  fixture.load("whole");
  auto stream = std::async(std::launch::async, [&] { return fixture.generate(100000); });
  waitFor([&] { return fixture.state()["running"].asInt() == 1; });
  BOOST_TEST(fixture.call("DELETE", "/generate/r")->status == 200);
  BOOST_TEST(!stream.get().has_value());
  waitFor([&] { return fixture.state()["running"].asInt() == 0; });
}

// Guards against a scheduler that ignores priorities.
BOOST_AUTO_TEST_CASE(higherPriorityGetsTheNextSlot)
{
  Scheduler scheduler(1, 0ms);
  BOOST_REQUIRE(scheduler.enter(0, [] { return true; }));
  std::atomic<int> waiting{ 0 };
  std::mutex mutex;
  std::vector<int> order;
  auto take = [&](int aPriority) {
    bool counted = false;
    scheduler.enter(aPriority, [&] {
      waiting += counted ? 0 : 1;
      counted = true;
      return true;
    });
    {
      std::lock_guard lock(mutex);
      order.push_back(aPriority);
    }
    scheduler.leave();
  };
  std::thread low(take, 1);
  waitFor([&] { return waiting == 1; });
  std::thread high(take, 9);
  waitFor([&] { return waiting == 2; });
  scheduler.leave();
  low.join();
  high.join();
  BOOST_TEST(order == (std::vector<int>{ 9, 1 }), boost::test_tools::per_element());
}
