#define BOOST_TEST_MODULE serving_part_quarantine_trials
#include <boost/test/unit_test.hpp>

#include "PartQuarantineFleet.h"

using namespace boragepitch::serving;
using namespace boragepitch::serving::test;

// Guards against a quarantine of the part that all requests share because two others crash
// endpoints in turn after a pause, before a sound request comes (LOST).
BOOST_AUTO_TEST_CASE(twoPartsInTurnBeforeSoundRequests)
{
  for (auto [entries, sound] :
       { std::pair<size_t, uint64_t>{ 2, 6 }, { 2, 60 }, { 6, 6 }, { 6, 60 }, { 60, 60 } }) {
    for (auto second : { 10100ms, 11500ms }) {
      Plan plan;
      plan.entries = entries;
      plan.soundPerSecond = sound;
      plan.soundFrom = 13s;
      plan.crashingPerSecond = 1;
      plan.crashingFrom = { 10s, second };
      check(plan);
    }
  }
}

// Guards against trials of a part that does crash endpoints, beside another part each time
// (BUDGET).
BOOST_AUTO_TEST_CASE(aPartThatCrashesBesideRareOnesWithoutSoundRequests)
{
  for (size_t entries : { 2, 6, 60 }) {
    for (uint64_t perSecond : { 1, 4, 40 }) {
      Plan plan;
      plan.entries = entries;
      plan.soundFrom = 20s;
      plan.duration = 30s;
      plan.isRareBeside = true;
      plan.crashingPerSecond = perSecond;
      plan.crashingFrom = { 5s, 10s };
      check(plan);
    }
  }
}
