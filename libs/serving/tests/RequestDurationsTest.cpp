#define BOOST_TEST_MODULE serving_request_durations
#include <boost/test/unit_test.hpp>

#include <random>

#include "serving/GracefulStop.h"
#include "serving/RequestDurations.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

namespace {
const base::TimePoint kStart{ 1h };
} // namespace

// Guards against streams that a stop admits and cuts because they take longer than assumed (LOST):
// random loads with streams of a tenth to nearly all of the time that callers wait, and stops of
// several lengths. No stream that is admitted ends after the stop, and short ones are not refused.
BOOST_AUTO_TEST_CASE(aStopAdmitsWhatItFinishes)
{
  std::mt19937 rng(7);
  constexpr base::Milliseconds kTimeout = 6000ms;
  for (auto limit : { 2750ms, 7333ms, 11000ms }) {
    for (auto usual : { 600ms, 1500ms, 3000ms, 4600ms, 5200ms }) {
      BOOST_TEST_CONTEXT("limit " << limit.count() << " ms, usual " << usual.count() << " ms")
      {
        std::uniform_real_distribution<double> spread(0.75, 1.15);
        auto take = [&] { return std::chrono::duration_cast<base::Duration>(spread(rng) * usual); };
        RequestDurations durations;
        base::TimePoint now = kStart;
        for (int i = 0; i < 400; ++i, now += 50ms) {
          durations.record("stream", take(), now);
          durations.record("lookup", 15ms, now);
        }
        GracefulStop stop(2600ms, limit);
        stop.start(now);
        auto until = now + 3s;
        for (; now < until; now += 10ms) {
          auto deadline = now + kTimeout;
          bool isAdmitted = stop.admits(deadline, true, durations.expected("stream", now), now);
          auto end = now + take();
          BOOST_TEST((!isAdmitted || end <= std::min(deadline, stop.answerBy())));
          // Nothing is refused that fits twice.
          bool fits = stop.acceptsConnections(now) && now + 2 * usual <= stop.answerBy();
          BOOST_TEST((isAdmitted || !fits));
          BOOST_TEST((stop.admits(now + 600ms, true, durations.expected("lookup", now), now) ||
                      now + 600ms > stop.answerBy()));
        }
      }
    }
  }
}

// Guards against a duration that is assumed for a route on which nothing was measured.
BOOST_AUTO_TEST_CASE(nothingIsExpectedWithoutRecentRequests)
{
  RequestDurations durations;
  BOOST_TEST(!durations.expected("r", kStart).has_value());
  durations.record("r", 400ms, kStart);
  BOOST_TEST((*durations.expected("r", kStart + 1s) >= 400ms));
  BOOST_TEST(!durations.expected("other", kStart).has_value());
  BOOST_TEST(!durations.expected("r", kStart + 2min).has_value());
}

// Guards against a duration that is taken from requests that were rejected at once, broken off or
// are still in progress: answers take longer (LOST).
BOOST_AUTO_TEST_CASE(unansweredRequestsOnlyRaiseWhatIsExpected)
{
  RequestDurations durations;
  durations.recordUnanswered("r", 10ms, kStart);
  BOOST_TEST(!durations.expected("r", kStart).has_value());
  durations.record("r", 400ms, kStart);
  durations.recordUnanswered("r", 900ms, kStart);
  BOOST_TEST((*durations.expected("r", kStart) >= 900ms));
  // A later answer counts for a minute, whatever happens to other requests meanwhile.
  durations.record("r", 400ms, kStart + 80s);
  for (auto at = 81s; at < 135s; at += 1s) {
    durations.recordUnanswered("r", 10ms, kStart + at);
    BOOST_TEST((*durations.expected("r", kStart + at) >= 400ms));
  }
  durations.recordUnanswered("r", 10ms, kStart + 150s);
  BOOST_TEST(!durations.expected("r", kStart + 150s).has_value());
}

// Guards against memory that grows with the routes of all configurations there have been.
BOOST_AUTO_TEST_CASE(routesWithoutRequestsAreForgotten)
{
  RequestDurations durations;
  for (int i = 0; i < 10000; ++i) {
    durations.record("r" + std::to_string(i), 1ms, kStart + i * 100ms);
    durations.prune(kStart + i * 100ms);
  }
  BOOST_TEST(durations.routeCount() <= 601U);
}
