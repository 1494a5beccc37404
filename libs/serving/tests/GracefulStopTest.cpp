#define BOOST_TEST_MODULE serving_graceful_stop
#include <boost/test/unit_test.hpp>

#include "serving/GracefulStop.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

// Guards against requests that are accepted although the stop ends before their answer (LOST).
BOOST_AUTO_TEST_CASE(admitsWhatCanBeAnsweredBeforeTheEnd)
{
  GracefulStop stop(2600ms, 7s);
  base::TimePoint start{ 1h };
  BOOST_TEST(stop.admits(start + 100s, false, std::nullopt, start));
  BOOST_TEST((stop.answerBy() == base::TimePoint::max()));
  BOOST_TEST(stop.start(start));
  BOOST_TEST(!stop.start(start + 1s));
  BOOST_TEST((stop.answerBy() > start + 6500ms && stop.answerBy() < start + 7s));
  for (auto at : { 0ms, 500ms, 2500ms, 4000ms, 6000ms }) {
    auto now = start + at;
    BOOST_TEST_CONTEXT(at.count() << " ms after the start")
    {
      BOOST_TEST(stop.admits(now + 600ms, false, std::nullopt, now));
      // The whole time of a request that may not run again fits, or it is not sent.
      BOOST_TEST(stop.admits(now + 6s, false, 1s, now) == (at <= 500ms));
      BOOST_TEST(stop.admits(now + 6s, true, std::nullopt, now) == (at <= 500ms));
      BOOST_TEST(stop.admits(now + 6s, true, 1s, now) == (at <= 2500ms));
      BOOST_TEST(stop.admits(now + 6s, true, 3s, now) == (at <= 2500ms));
      BOOST_TEST(stop.admits(now + 6s, true, 5s, now) == (at <= 500ms));
      BOOST_TEST(stop.admits(now + 60s, true, 3s, now) == (at <= 2500ms));
      BOOST_TEST(!stop.admits(now + 60s, true, 7s, now));
      BOOST_TEST(!stop.admits(now + 60s, true, std::nullopt, now));
    }
  }
  BOOST_TEST(!stop.admits(start + 6950ms, true, 10ms, start + 6900ms));
}

BOOST_AUTO_TEST_CASE(connectionsAreAcceptedForAWhile)
{
  GracefulStop stop(2600ms, 7s);
  base::TimePoint start{ 1h };
  BOOST_TEST(stop.acceptsConnections(start + 1h));
  BOOST_TEST(!stop.isOver(start + 1h));
  stop.start(start);
  BOOST_TEST(stop.acceptsConnections(start + 2500ms));
  BOOST_TEST(!stop.acceptsConnections(start + 2700ms));
  BOOST_TEST(!stop.isOver(start + 6900ms));
  BOOST_TEST(stop.isOver(start + 7100ms));
}
