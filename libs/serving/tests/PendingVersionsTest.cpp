#define BOOST_TEST_MODULE serving_pending_versions
#include <boost/test/unit_test.hpp>

#include "serving/PendingVersions.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

// Guards against an enforcement that is late by the time for which the machine was suspended, and
// against one that is moved twice for one suspension.
BOOST_AUTO_TEST_CASE(suspensionsMoveTheEnforcementOnce)
{
  const base::TimePoint now{ 1h };
  PendingVersions pending;
  pending.add({ "m", 2, now + 7s }, 5000ms, now);
  BOOST_TEST(pending.observe(6005ms, now + 1s).empty());
  auto moved = pending.observe(10005ms, now + 2s);
  BOOST_REQUIRE(moved.size() == 1U);
  BOOST_TEST((moved[0].enforceFrom == now + 7s - 3005ms));
  BOOST_TEST(pending.observe(11000ms, now + 3s).empty());
}

// Answers that took long to arrive and versions that are enforced already move nothing.
BOOST_AUTO_TEST_CASE(slowAnswersMoveNothing)
{
  const base::TimePoint now{ 1h };
  PendingVersions pending;
  pending.add({ "m", 2, now + 7s }, 5000ms, now);
  BOOST_TEST(pending.observe(6000ms, now + 2s).empty());
  BOOST_TEST(pending.observe(12000ms, now + 7s).empty());
  BOOST_TEST(pending.observe(20000ms, now + 8s).empty());
}
