#define BOOST_TEST_MODULE serving_part_quarantine_fleet
#include <boost/test/unit_test.hpp>

#include "PartQuarantineFleet.h"

using namespace boragepitch::serving;
using namespace boragepitch::serving::test;

// Guards against crashing parts that go on after five crashes (BUDGET), and against a quarantine of
// what sound requests share with them (LOST).
BOOST_AUTO_TEST_CASE(twoPartsOneAfterTheOther)
{
  check({});
}

BOOST_AUTO_TEST_CASE(twoPartsAtTheSameTime)
{
  Plan plan;
  plan.crashingFrom = { 10s, 10s };
  check(plan);
}

// Guards against a quarantine of the part that all requests share because requests with two other
// parts crash endpoints in turn while hardly any sound ones come (LOST).
BOOST_AUTO_TEST_CASE(twoPartsAtTheSameTimeBesideFewSoundRequests)
{
  Plan plan;
  plan.crashingFrom = { 10s, 10s };
  plan.soundPerSecond = 1;
  plan.crashingPerSecond = 10;
  check(plan);
}

BOOST_AUTO_TEST_CASE(manyEntries)
{
  Plan plan;
  plan.entries = 60;
  check(plan);
}

BOOST_AUTO_TEST_CASE(besideHerdsOfKills)
{
  Plan plan;
  plan.hasKills = true;
  check(plan);
}

BOOST_AUTO_TEST_CASE(besideEndpointsThatReset)
{
  Plan plan;
  plan.hasResets = true;
  check(plan);
}

BOOST_AUTO_TEST_CASE(entriesThatStartInTheMiddle)
{
  Plan plan;
  plan.hasRestarts = true;
  check(plan);
}

BOOST_AUTO_TEST_CASE(allAtOnce)
{
  Plan plan;
  plan.hasKills = plan.hasResets = plan.hasRestarts = true;
  check(plan);
}

// With few sound requests, their shared part is seldom proved harmless between the crashes.
BOOST_AUTO_TEST_CASE(fewSoundRequests)
{
  Plan plan;
  plan.soundPerSecond = 3;
  plan.crashingPerSecond = 10;
  check(plan);
}

// No sound request has proved the shared part when the first ones crash endpoints, many at once.
BOOST_AUTO_TEST_CASE(noSoundRequestBeforeTheCrashes)
{
  Plan plan;
  plan.soundFrom = 12s;
  plan.crashingPerSecond = 40;
  check(plan);
}

// Guards against crashing parts that reach endpoints again after each quarantine (BUDGET).
BOOST_AUTO_TEST_CASE(requestsThatComeLongerThanTheQuarantine)
{
  Plan plan;
  plan.duration = 300s;
  plan.soundPerSecond = 10;
  plan.crashingPerSecond = 20;
  check(plan);
}

BOOST_AUTO_TEST_CASE(requestsThatComeLongerThanTheQuarantineBesideRestarts)
{
  Plan plan;
  plan.duration = 300s;
  plan.soundPerSecond = 10;
  plan.hasRestarts = true;
  check(plan);
}
