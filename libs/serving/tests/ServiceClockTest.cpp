#define BOOST_TEST_MODULE serving_service_clock
#include <boost/test/unit_test.hpp>

#include "serving/ServiceClock.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

namespace {
const base::TimePoint kNow{ 1h };
} // namespace

// Guards against news that is dated by when it is read (VERSION).
BOOST_AUTO_TEST_CASE(lateAnswersAreAsOldAsTheQuickestShow)
{
  ServiceClock clock;
  BOOST_TEST((clock.givenAt(5000ms, kNow) == kNow)); // Nothing is known.
  clock.observe(5000ms, kNow + 300ms);               // Late by 300 ms, as the next one shows.
  clock.observe(6000ms, kNow + 1s);
  BOOST_TEST((clock.givenAt(7000ms, kNow + 2500ms) == kNow + 2s));
  BOOST_TEST((clock.givenAt(7000ms, kNow + 2010ms) == kNow + 2010ms)); // Jitter.
  clock.observe(7000ms, kNow + 2500ms);
  BOOST_TEST((clock.givenAt(8000ms, kNow + 4s) == kNow + 3s));
}

// Guards against an estimate that a drift of the clocks makes wrong for good, and against one that
// is forgotten at once.
BOOST_AUTO_TEST_CASE(oldAnswersDoNotCount)
{
  ServiceClock clock;
  clock.observe(5000ms, kNow);
  // The service's clock is set back by a second.
  for (int second = 1; second <= 90; ++second) {
    clock.observe(4000ms + second * 1000ms, kNow + second * 1s);
    auto age = second < 20 ? 1s : 0s;
    if (second < 20 || second > 70) {
      BOOST_TEST(
        (clock.givenAt(4000ms + second * 1000ms, kNow + second * 1s) == kNow + second * 1s - age));
    }
  }
}
