#define BOOST_TEST_MODULE rollout_switch
#include <boost/test/unit_test.hpp>

#include "rollout/SwitchCore.h"

using namespace boragepitch;
using namespace boragepitch::rollout;
using namespace std::chrono_literals;

namespace {
const base::TimePoint kNow{ 1h };
} // namespace

// Guards against a rollout that stops all endpoints at once instead of spreading them over a
// window.
BOOST_AUTO_TEST_CASE(servingEngineWaitsForItsSwitchTime)
{
  SwitchCore core;
  core.setWantedVersion(2, kNow + 3s);
  EngineWeights engine{ .incarnation = 1, .version = 1 };
  BOOST_TEST(!core.isDue(engine, true, kNow));
  BOOST_TEST(core.isDue(engine, true, kNow + 3s));
  BOOST_TEST(!core.isDue(engine, false, kNow + 3s));
  BOOST_TEST((staggeredSwitchDelay(0, 4, 1s, 4s) == base::Duration(1s)));
  BOOST_TEST((staggeredSwitchDelay(3, 4, 1s, 4s) == base::Duration(4s)));
  BOOST_TEST((staggeredSwitchDelay(0, 0, 1s, 4s) == base::Duration(1s)));
}

// Guards against a restarted, empty engine that idles until its scheduled switch time.
BOOST_AUTO_TEST_CASE(emptyEngineLoadsAtOnce)
{
  SwitchCore core;
  core.setWantedVersion(2, kNow + 3s);
  BOOST_TEST(core.isDue({ .incarnation = 1, .version = 0 }, true, kNow));
}

// Guards against duplicate orders, and against a lost order that is never repeated.
BOOST_AUTO_TEST_CASE(orderIsRepeatedOnlyAfterItsTimeoutOrARestart)
{
  SwitchCore core({ .orderTimeout = 4s });
  core.setWantedVersion(2, kNow);
  EngineWeights engine{ .incarnation = 1, .version = 1 };
  core.onOrderSent(engine, kNow);
  BOOST_TEST(!core.isDue(engine, true, kNow + 3s));
  BOOST_TEST(core.isDue(engine, true, kNow + 4s));
  BOOST_TEST(core.isDue({ .incarnation = 2, .version = 0 }, true, kNow + 1s));
  BOOST_TEST(!core.isDue({ .incarnation = 1, .version = 1, .isBusy = true }, true, kNow + 9s));
  BOOST_TEST(!core.isDue({ .incarnation = 1, .version = 2 }, true, kNow + 9s));
}

// Guards against an engine that keeps weights which may be corrupt, and against orders without end
// if it refuses to load them again.
BOOST_AUTO_TEST_CASE(requiredReloadIsOrderedOnce)
{
  SwitchCore core;
  core.setWantedVersion(2, kNow);
  EngineWeights engine{ .incarnation = 1, .version = 2 };
  BOOST_TEST(!core.isDue(engine, true, kNow));
  BOOST_TEST(core.requireReload(engine));
  BOOST_TEST(core.isDue(engine, true, kNow));
  core.onOrderSent(engine, kNow);
  BOOST_TEST(!core.requireReload(engine));
  BOOST_TEST(!core.isDue(engine, true, kNow + 1h));
  BOOST_TEST(core.isDue({ .incarnation = 2, .version = 0 }, true, kNow + 1h));
  core.setWantedVersion(3, kNow);
  BOOST_TEST(core.isDue(engine, true, kNow + 1h));
}

// Guards against skipping a version for a newer one, declared 2 to 4 s later, that does not arrive.
BOOST_AUTO_TEST_CASE(transferIsExpectedByItsProgress)
{
  BOOST_TEST(isTransferExpectedWithin(0.5, 2s, 2s));
  BOOST_TEST(!isTransferExpectedWithin(0.5, 2s, 1900ms));
  BOOST_TEST(isTransferExpectedWithin(0, 100ms, 5s));
  BOOST_TEST(!isTransferExpectedWithin(0, 100ms, 3s));
  // The origin is down, so the newer version makes no progress.
  BOOST_TEST(!isTransferExpectedWithin(0, 2s, 60s));
  BOOST_TEST(isTransferExpectedWithin(1, 1s, 0s));
}

// Guards against a late update that replaces the wanted version by an older one.
BOOST_AUTO_TEST_CASE(wantedVersionOnlyRises)
{
  SwitchCore core;
  core.setWantedVersion(3, kNow);
  core.setWantedVersion(2, kNow);
  BOOST_TEST(core.wantedVersion() == 3U);
}

// Guards against endpoints that wait for their longest streams during a rollout under load: each is
// unavailable for seconds, and all within one window.
BOOST_AUTO_TEST_CASE(movesTheLastStreamsOfManyEndpoints)
{
  BOOST_TEST((chooseStreamHandling(true, 14) == StreamHandling::Move));
  BOOST_TEST((chooseStreamHandling(false, 14) == StreamHandling::Finish));
  BOOST_TEST((chooseStreamHandling(true, 2) == StreamHandling::Finish));
  BOOST_TEST(!mayInterruptStreams(12, 0ms));
  BOOST_TEST(!mayInterruptStreams(12, 600ms));
  BOOST_TEST(mayInterruptStreams(12, 700ms));
  BOOST_TEST(mayInterruptStreams(2, 0ms));
}

// Guards against moving so many streams that the retry budget runs out: with a switch announced
// ahead of time, most streams end before it.
BOOST_AUTO_TEST_CASE(aSwitchIsDueWithinItsLeadTime)
{
  SwitchCore core;
  core.setWantedVersion(2, kNow + 3s);
  EngineWeights engine{ .incarnation = 1, .version = 1 };
  BOOST_TEST(!core.isDueWithin(engine, true, 800ms, kNow + 2s));
  BOOST_TEST(core.isDueWithin(engine, true, 800ms, kNow + 2300ms));
  BOOST_TEST(!core.isDueWithin(engine, false, 800ms, kNow + 2300ms));
  BOOST_TEST(!core.isDueWithin({ .incarnation = 1, .version = 2 }, true, 800ms, kNow + 2300ms));
}

// Guards against the transfer of a version that nobody may use any more: after an outage of the
// origin it took the origin's link first, and engines got the required version 2 s later.
BOOST_AUTO_TEST_CASE(aVersionThatIsOutdatedWhenLoadedIsNotTransferred)
{
  base::TimePoint newerRequiredAt = kNow + 5s;
  BOOST_TEST(canStillServe(newerRequiredAt, kNow));
  BOOST_TEST(canStillServe(newerRequiredAt, kNow + 3900ms));
  BOOST_TEST(!canStillServe(newerRequiredAt, kNow + 4000ms));
  BOOST_TEST(!canStillServe(newerRequiredAt, kNow + 60s));
}
