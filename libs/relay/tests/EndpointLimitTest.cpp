#define BOOST_TEST_MODULE relay_endpoint_limit
#include <boost/test/unit_test.hpp>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

constexpr int kLimitPerSecond = 2;
/** Time in which the requests are counted, and the excess over the limit that is tolerated in it.
 */
constexpr auto kWindow = 4s;
constexpr double kToleratedFactor = 1.5;
constexpr size_t kTolerance = 5;

struct LimitFixture : Fixture
{
  LimitFixture()
  {
    declare(serving::CallKind::Idempotent);
    list("limited", limited.address());
    relay->setPeers({});
  }

  std::string answerLimited(const std::string& aRequest)
  {
    std::string text = answer(idOf(aRequest), "body");
    return isInNeed ? text.insert(text.find("Signed"),
                                  "Limit: " + std::to_string(kLimitPerSecond) + "\r\n")
                    : text;
  }

  /** Calls for some time; returns the longest time that an answer took. */
  base::Duration callFor(base::Duration aTime)
  {
    base::Duration longest{ 0 };
    auto end = std::chrono::steady_clock::now() + aTime;
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
      auto begun = std::chrono::steady_clock::now();
      lastAnswer = call(get("n" + std::to_string(i)));
      longest = std::max<base::Duration>(longest, std::chrono::steady_clock::now() - begun);
      std::this_thread::sleep_for(10ms);
    }
    return longest;
  }

  std::atomic<bool> isInNeed{ true };
  std::string lastAnswer;
  FakeEndpoint limited{ [this](const std::string& aRequest) { return answerLimited(aRequest); } };
};

} // namespace

// Guards against an endpoint that gets more requests than the limit that it named (LIMIT).
BOOST_FIXTURE_TEST_CASE(anEndpointGetsNoMoreThanItsLimit, LimitFixture)
{
  BOOST_TEST(call(get("first")).ends_with("body"));
  size_t before = limited.requests().size();
  auto longest = callFor(kWindow);
  size_t count = limited.requests().size() - before;
  double limit = kLimitPerSecond * std::chrono::duration<double>(kWindow).count();
  BOOST_TEST(count <= static_cast<size_t>(kToleratedFactor * limit) + kTolerance);
  // Most of the limit is used.
  BOOST_TEST(count >= static_cast<size_t>(limit / 2));
  // Nobody waits for the next request that the endpoint takes.
  BOOST_TEST((longest < 400ms));
  BOOST_TEST(lastAnswer.starts_with("HTTP/1.1 503"));
  BOOST_TEST(lastAnswer.find("Retry-After: ") != std::string::npos);
}

// Guards against callers that are refused while another endpoint has no limit.
BOOST_FIXTURE_TEST_CASE(otherEndpointsTakeTheRest, LimitFixture)
{
  FakeEndpoint other([](const std::string& aRequest) { return answer(idOf(aRequest), "other"); });
  list("other", other.address());
  for (int i = 0; i < 200; ++i) {
    BOOST_TEST(call(get("n" + std::to_string(i))).starts_with("HTTP/1.1 200"));
  }
  size_t count = limited.requests().size();
  BOOST_TEST(count <= kTolerance);
  BOOST_TEST(count >= 1U);
}

// Guards against a limit that is kept after the endpoint has ceased to name it.
BOOST_FIXTURE_TEST_CASE(theLimitEndsWhenAnswersNameNone, LimitFixture)
{
  BOOST_TEST(call(get("first")).ends_with("body"));
  isInNeed = false;
  callFor(1s);
  for (const std::string& text : callTimes(20)) {
    BOOST_TEST(text.ends_with("body"));
  }
}
