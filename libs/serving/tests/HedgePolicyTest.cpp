#define BOOST_TEST_MODULE serving_hedge_policy
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

#include "base/Rng.h"
#include "serving/HedgePolicy.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

namespace {

const RetryLimits kRetries{ .ratio = 0.2, .slack = 0, .window = 10s };
const HedgeOptions kHedges{ .share = 0.03, .window = 10s };
constexpr HedgeTarget kIdleTarget{ .isKnown = true, .isSuitable = true, .loadShare = 0.3 };

HedgeCandidate candidate()
{
  return { .route = "r",
           .service = "s",
           .mayRepeat = true,
           .possibleRuns = 1,
           .maxAttempts = 3,
           .timeLeft = 1s };
}

/** One entry that sends to ten endpoints, each of its own speed. */
struct Entry
{
  HedgePolicy policy{ kHedges };
  SharedRetryBudget retries{ kRetries };
  std::vector<double> slowness = std::vector<double>(10, 1);
  base::Rng rng{ 7 };
  int requests = 0;
  std::vector<base::TimePoint> hedges;
  std::vector<double> latencies;

  double stallShare = 0; ///< Share of the sends that take 200 ms longer, at any endpoint.

  double serviceMs(size_t aEndpoint)
  {
    if (std::bernoulli_distribution(stallShare)(rng)) {
      return 200 + slowness[aEndpoint];
    }
    return slowness[aEndpoint] * (5 + std::exponential_distribution<double>(0.5)(rng));
  }

  void request(base::TimePoint aNow)
  {
    ++requests;
    retries.recordRequest("s", aNow);
    policy.recordRequest("r", "s", aNow);
    auto first = base::uniformBelow<size_t>(rng, 10);
    double ms = serviceMs(first);
    auto delay = policy.delay("r", 15, aNow);
    double delayMs = delay ? std::chrono::duration<double, std::milli>(*delay).count() : ms;
    if (ms > delayMs) {
      policy.recordOverdue("r", aNow);
      if (policy.tryHedge(candidate(), kIdleTarget, retries, aNow) == HedgeObstacle::None) {
        hedges.push_back(aNow);
        auto second = (first + 1 + base::uniformBelow<size_t>(rng, 9)) % 10;
        ms = std::min(ms, delayMs + serviceMs(second));
      }
    }
    latencies.push_back(ms);
    policy.recordLatency("r", std::to_string(first), base::Milliseconds(std::lround(ms)), 15, aNow);
  }

  void run(base::TimePoint aFrom, int aRequests, base::Milliseconds aGap)
  {
    for (int i = 0; i < aRequests; ++i) {
      request(aFrom + i * base::Duration(aGap));
    }
  }

  void forget()
  {
    requests = 0;
    hedges.clear();
    latencies.clear();
  }
};

constexpr base::TimePoint kStart{ 1h };

} // namespace

// Guards against a delay that one slow endpoint in ten raises to its own latency, so that nothing
// is ever hedged, and against more hedges than the share.
BOOST_AUTO_TEST_CASE(oneSlowEndpointInTen)
{
  Entry entry;
  entry.slowness[3] = 40;
  entry.run(kStart, 4000, 5ms);
  auto delay = entry.policy.delay("r", 15, kStart + 20s);
  BOOST_REQUIRE(delay.has_value());
  BOOST_TEST((*delay < 40ms));
  BOOST_TEST(entry.hedges.size() > 40U);
  BOOST_TEST(static_cast<double>(entry.hedges.size()) <= 0.03 * entry.requests);
}

// Guards against hedges that cost their share but leave the tail of the latencies as it is.
BOOST_AUTO_TEST_CASE(stallsOfSomeRequests)
{
  auto tailMs = [](double aShare) {
    Entry entry;
    entry.policy = HedgePolicy({ .share = aShare, .window = 10s });
    entry.stallShare = 0.015;
    entry.run(kStart, 2000, 5ms);
    entry.forget();
    entry.run(kStart + 10s, 10000, 5ms);
    BOOST_TEST(static_cast<double>(entry.hedges.size()) <= aShare * 12000);
    std::sort(entry.latencies.begin(), entry.latencies.end());
    return entry.latencies[entry.latencies.size() * 99 / 100];
  };
  BOOST_TEST(tailMs(0.03) < 0.66 * tailMs(0));
}

// Guards against hedges that double the load of a service whose endpoints are all slow.
BOOST_AUTO_TEST_CASE(allEndpointsSlow)
{
  Entry entry;
  entry.run(kStart, 2000, 5ms);
  entry.forget();
  std::fill(entry.slowness.begin(), entry.slowness.end(), 20);
  entry.run(kStart + 10s, 400, 5ms);
  auto first = entry.hedges.size();
  BOOST_TEST(static_cast<double>(first) <= 0.03 * 2400);
  entry.forget();
  entry.run(kStart + 12s, 4000, 5ms);
  BOOST_TEST(static_cast<double>(entry.hedges.size()) <= 0.03 * 4000);
  // The delay has followed the latencies.
  BOOST_TEST((*entry.policy.delay("r", 15, kStart + 32s) > 200ms));
}

// Guards against hedges at the moment when all endpoints become slow: the delay still is the old
// one then.
BOOST_AUTO_TEST_CASE(allEndpointsSlowAtOnce)
{
  Entry entry;
  entry.run(kStart, 2000, 5ms);
  base::TimePoint now = kStart + 10s;
  int sent = 0;
  for (int i = 0; i < 400; ++i) {
    now += 5ms;
    entry.retries.recordRequest("s", now);
    entry.policy.recordRequest("r", "s", now);
    entry.policy.recordOverdue("r", now);
    auto obstacle = entry.policy.tryHedge(candidate(), kIdleTarget, entry.retries, now);
    sent += obstacle == HedgeObstacle::None ? 1 : 0;
  }
  auto last = entry.policy.tryHedge(candidate(), kIdleTarget, entry.retries, now);
  BOOST_TEST((last == HedgeObstacle::SlowService));
  BOOST_TEST(sent < 72);
}

// Guards against hedges beyond the share in any window of a burst of load, and against a delay that
// predicted load does not raise.
BOOST_AUTO_TEST_CASE(burst)
{
  Entry entry;
  entry.slowness[0] = 30;
  entry.run(kStart, 1000, 10ms);
  entry.run(kStart + 10s, 8000, 1ms);
  entry.run(kStart + 18s, 1200, 10ms);
  for (auto end : entry.hedges) {
    auto inWindow = std::count_if(entry.hedges.begin(), entry.hedges.end(), [&](auto aAt) {
      return aAt <= end && aAt > end - 10s;
    });
    auto requestsBy = [](base::TimePoint aAt) {
      auto ms = std::chrono::duration<double, std::milli>(aAt - kStart).count();
      return std::clamp(ms / 10, 0.0, 1000.0) + std::clamp(ms - 10000, 0.0, 8000.0) +
             std::clamp((ms - 18000) / 10, 0.0, 1200.0);
    };
    double counted = requestsBy(end) - requestsBy(end - 11s) + 1;
    BOOST_TEST(static_cast<double>(inWindow) <= 0.03 * counted);
  }
  auto now = kStart + 30s;
  BOOST_TEST((*entry.policy.delay("r", 45, now) > 2 * *entry.policy.delay("r", 15, now)));
}

// Guards against entries that exceed the share together because none knows what the others send.
BOOST_AUTO_TEST_CASE(budgetRacesBetweenEntries)
{
  for (int count : { 2, 18, 330 }) {
    std::vector<Entry> entries(static_cast<size_t>(count));
    base::Rng rng(11);
    base::TimePoint now = kStart;
    int requests = 0;
    size_t hedges = 0;
    for (auto& entry : entries) {
      entry.slowness[5] = 30;
    }
    for (int i = 0; i < 40000; ++i) {
      now += base::Duration(20s) / 40000;
      entries[base::uniformBelow(rng, entries.size())].request(now);
      ++requests;
    }
    for (const auto& entry : entries) {
      hedges += entry.hedges.size();
    }
    BOOST_TEST(static_cast<double>(hedges) <= 0.03 * requests);
  }
}

// Guards against hedges that spend what retries need.
BOOST_AUTO_TEST_CASE(retriesKeepTheirReserve)
{
  Entry entry;
  entry.run(kStart, 2000, 5ms);
  auto now = kStart + 10s;
  double allowance = entry.retries.allowance("s", now);
  while (entry.retries.remaining("s", now) > 0.5 * allowance) {
    BOOST_REQUIRE(entry.retries.tryRetry("s", now));
  }
  auto obstacle = entry.policy.tryHedge(candidate(), kIdleTarget, entry.retries, now);
  BOOST_TEST((obstacle == HedgeObstacle::RetryBudget));
}

// Guards against a hedge that a rule forbids.
BOOST_AUTO_TEST_CASE(everyReasonNotToHedge)
{
  Entry entry;
  entry.run(kStart, 2000, 5ms);
  auto now = kStart + 22s; // The budgets are free again.
  for (int i = 0; i < 500; ++i) {
    entry.policy.recordRequest("r", "s", now);
    entry.retries.recordRequest("s", now);
  }
  auto tried = [&](auto aChange, HedgeTarget aTarget = kIdleTarget) {
    auto changed = candidate();
    aChange(changed);
    return entry.policy.tryHedge(changed, aTarget, entry.retries, now);
  };
  auto as = [](auto aValue) { return [=](HedgeCandidate&) { (void)aValue; }; };
  BOOST_TEST((tried([](auto& aC) { aC.mayRepeat = false; }) == HedgeObstacle::NotRepeatable));
  BOOST_TEST((tried([](auto& aC) { aC.hasBegun = true; }) == HedgeObstacle::Begun));
  BOOST_TEST((tried([](auto& aC) { aC.hasCallerLeft = true; }) == HedgeObstacle::CallerLeft));
  BOOST_TEST((tried([](auto& aC) { aC.isSuspected = true; }) == HedgeObstacle::Suspected));
  BOOST_TEST((tried([](auto& aC) { aC.timeLeft = 20ms; }) == HedgeObstacle::NoTime));
  BOOST_TEST((tried([](auto& aC) { aC.possibleRuns = 2; }) == HedgeObstacle::LastAttempt));
  BOOST_TEST((tried([](auto& aC) { aC.maxAttempts = 2; }) == HedgeObstacle::LastAttempt));
  BOOST_TEST((tried([](auto& aC) { aC.route = "other"; }) == HedgeObstacle::Unmeasured));
  BOOST_TEST((tried(as(0), {}) == HedgeObstacle::NoEndpoint));
  BOOST_TEST((tried(as(0), { .isKnown = true }) == HedgeObstacle::Unsuitable));
  HedgeTarget full{ .isKnown = true, .isSuitable = true, .loadShare = 1 };
  BOOST_TEST((tried(as(0), full) == HedgeObstacle::Full));
  HedgePolicy disabled({});
  BOOST_TEST(
    (disabled.tryHedge(candidate(), kIdleTarget, entry.retries, now) == HedgeObstacle::Disabled));
}
