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

/** The answers to the calls of some time. */
struct Answers
{
  size_t served = 0;
  size_t refused = 0; ///< Told when to come back.
  std::vector<std::string> others;
  base::Duration longest{ 0 }; ///< Longest time that an answer took.

  void record(const std::string& aText, base::Duration aTime)
  {
    longest = std::max(longest, aTime);
    if (aText.starts_with("HTTP/1.1 200")) {
      ++served;
    } else if (aText.starts_with("HTTP/1.1 503") &&
               aText.find("Retry-After: ") != std::string::npos) {
      ++refused;
    } else {
      others.push_back(aText);
    }
  }
};

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

  /** Calls one after another for some time. */
  Answers callFor(base::Duration aTime)
  {
    Answers answers;
    auto end = std::chrono::steady_clock::now() + aTime;
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
      auto begun = std::chrono::steady_clock::now();
      std::string text = call(get("n" + std::to_string(i)));
      answers.record(text, std::chrono::steady_clock::now() - begun);
      std::this_thread::sleep_for(10ms);
    }
    return answers;
  }

  std::atomic<bool> isInNeed{ true };
  FakeEndpoint limited{ [this](const std::string& aRequest) { return answerLimited(aRequest); } };
};

} // namespace

// Guards against an endpoint that gets more requests than the limit that it named (LIMIT).
BOOST_FIXTURE_TEST_CASE(anEndpointGetsNoMoreThanItsLimit, LimitFixture)
{
  BOOST_TEST(call(get("first")).ends_with("body"));
  size_t before = limited.requests().size();
  Answers answers = callFor(kWindow);
  size_t count = limited.requests().size() - before;
  double limit = kLimitPerSecond * std::chrono::duration<double>(kWindow).count();
  BOOST_TEST(count <= static_cast<size_t>(kToleratedFactor * limit) + kTolerance);
  // Most of the limit is used.
  BOOST_TEST(count >= static_cast<size_t>(limit / 2));
  // Each request that the endpoint took was served, and all others were told when to come back.
  BOOST_TEST(answers.served == count);
  BOOST_TEST(answers.refused > 0U);
  BOOST_TEST(answers.others.empty());
  // Nobody waits for the next request that the endpoint takes.
  BOOST_TEST((answers.longest < 400ms));
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
