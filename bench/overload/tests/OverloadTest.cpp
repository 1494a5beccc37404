#define BOOST_TEST_MODULE overload
#include <boost/test/unit_test.hpp>

#include <cmath>

#include "EngineSim.h"
#include "Simulation.h"

using namespace boragepitch;
using namespace boragepitch::overload;

namespace {

Result play(Pattern aPattern, double aLoad, const PolicyFactory& aPolicy, size_t aEntries = 4)
{
  auto profile = usualEngine();
  WorkloadOptions options;
  options.pattern = aPattern;
  options.load = aLoad;
  options.lengthMs = 12000;
  options.entries = aEntries;
  return simulate(profile, makeWorkload(profile, options), options, aPolicy);
}

} // namespace

// Guards against a simulated engine that is faster than its profile.
BOOST_AUTO_TEST_CASE(engineTimesMatchItsProfile)
{
  auto profile = usualEngine();
  EngineSim engine(profile, 32);
  BOOST_REQUIRE(engine.add({ 1, 957, 18 }));
  double elapsed = 0;
  int events = 0;
  bool done = false;
  while (!engine.isIdle()) {
    elapsed += engine.beginPass();
    for (const EngineEvent& event : engine.endPass()) {
      ++events;
      done = event.isLast;
    }
  }
  BOOST_TEST(done);
  BOOST_TEST(events == 3);
  // 30 ms and a little to read the prompt, 18 steps of 7.4 ms and a little.
  BOOST_TEST(elapsed > 30 + 18 * 7.4);
  BOOST_TEST(elapsed < 32 + 18 * 7.6);
}

// Guards against work beyond the slots, and against requests that are lost in the queue.
BOOST_AUTO_TEST_CASE(engineRunsNoMoreThanItsSlots)
{
  auto profile = usualEngine();
  EngineSim engine(profile, 32);
  int taken = 0;
  for (uint64_t id = 1; id <= 60; ++id) {
    taken += engine.add({ id, 100, 60 }) ? 1 : 0;
  }
  BOOST_TEST(taken == 32);
  engine.remove(3);
  int ended = 0;
  while (!engine.isIdle()) {
    engine.beginPass();
    BOOST_TEST(engine.running() <= profile.slots);
    for (const EngineEvent& event : engine.endPass()) {
      ended += event.isLast ? 1 : 0;
    }
  }
  BOOST_TEST(ended == 31);
}

// Guards against a bound below what a policy reaches.
BOOST_AUTO_TEST_CASE(noPolicyBeatsTheBound)
{
  auto profile = usualEngine();
  for (Pattern pattern : allPatterns()) {
    WorkloadOptions options;
    options.pattern = pattern;
    options.load = 1.7;
    options.lengthMs = 8000;
    auto workload = makeWorkload(profile, options);
    double bound = offlineBound(profile, workload, options);
    for (const auto& policy : allPolicies()) {
      Result result = simulate(profile, workload, options, *policy);
      BOOST_TEST(result.worthInTime <= bound, toString(pattern) << " " << policy->name());
      BOOST_TEST(result.requests == result.inTime + result.late + result.refused + result.left);
    }
  }
}

// Guards against results that depend on anything but the seed.
BOOST_AUTO_TEST_CASE(runsAreDeterministic)
{
  auto policy = currentPolicy();
  Result first = play(Pattern::Burst, 1.2, *policy);
  Result second = play(Pattern::Burst, 1.2, *policy);
  BOOST_TEST(first.worthInTime == second.worthInTime);
  BOOST_TEST(first.refused == second.refused);
}

// Below capacity nearly everything is in time, whatever the pattern of arrivals.
BOOST_AUTO_TEST_CASE(answersInTimeBelowCapacity)
{
  auto policy = currentPolicy();
  for (Pattern pattern :
       { Pattern::Steady, Pattern::Burst, Pattern::Shift, Pattern::HotKey, Pattern::RetryAbuse }) {
    Result result = play(pattern, 0.8, *policy);
    BOOST_TEST(result.worthInTime >= 0.95 * result.worthOwed, toString(pattern));
  }
}

// Many entries before many engines, beyond capacity: entries that all choose the cheapest engine
// from reports of the same age crowd it, and a quarter of the answers came late.
BOOST_AUTO_TEST_CASE(manyEntriesDoNotCrowdTheSameEngines)
{
  constexpr double kMaxLateShare = 0.05;
  auto profile = usualEngine();
  WorkloadOptions options;
  options.load = 1.2;
  options.lengthMs = 4000;
  options.entries = 21;
  options.engines = 138;
  for (Pattern pattern : { Pattern::Steady, Pattern::Burst }) {
    options.pattern = pattern;
    auto workload = makeWorkload(profile, options);
    Result result = simulate(profile, workload, options, *currentPolicy());
    Result without = simulate(profile, workload, options, *policyWithoutSubsets());
    BOOST_TEST(result.late <= kMaxLateShare * result.requests, toString(pattern));
    BOOST_TEST(result.worthInTime > without.worthInTime, toString(pattern));
  }
}

// Overload: refusing at once what would be late serves more than taking everything.
BOOST_AUTO_TEST_CASE(beatsTheBaselinesUnderOverload)
{
  auto policies = allPolicies();
  for (Pattern pattern : allPatterns()) {
    double module = play(pattern, 1.7, *policies.back()).worthInTime;
    for (size_t i = 0; i + 1 < policies.size(); ++i) {
      BOOST_TEST(module > play(pattern, 1.7, *policies[i]).worthInTime,
                 toString(pattern) << " " << policies[i]->name());
    }
  }
}

// Several entries without shared state reach nearly the result of a single entry.
BOOST_AUTO_TEST_CASE(severalEntriesLoseLittle)
{
  auto policy = currentPolicy();
  double one = play(Pattern::Steady, 1.2, *policy, 1).worthInTime;
  double six = play(Pattern::Steady, 1.2, *policy, 6).worthInTime;
  BOOST_TEST(six >= 0.9 * one);
}

// Overload: large prompts are refused more often than others, but not starved.
BOOST_AUTO_TEST_CASE(servesLargePromptsHalfAsOften)
{
  auto policy = currentPolicy();
  for (double load : { 1.2, 1.7 }) {
    Result result = play(Pattern::Steady, load, *policy);
    double all = static_cast<double>(result.inTime) / result.requests;
    double largest = static_cast<double>(result.largestInTime) / result.largest;
    BOOST_TEST(largest >= 0.5 * all, load);
  }
}
