#define BOOST_TEST_MODULE serving_part_quarantine_spread
#include <algorithm>
#include <deque>

#include <boost/test/unit_test.hpp>

#include "base/Rng.h"
#include "serving/PartQuarantine.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

namespace {

constexpr PromptPart kCrashing = 2;
const base::TimePoint kStart{ 1h };

bool holds(const PartQuarantine& aQuarantine, PromptPart aPart, base::TimePoint aNow)
{
  return aQuarantine.isQuarantined({ &aPart, 1 }, aNow);
}

void crash(PartQuarantine& aQuarantine,
           uint64_t aRequest,
           const std::string& aEndpoint,
           base::TimePoint aNow)
{
  aQuarantine.recordCrash({ aRequest, aEndpoint, { kCrashing } }, aNow);
}

} // namespace

// Guards against many requests at one endpoint whose crashes leave no room for those of others.
BOOST_AUTO_TEST_CASE(crashesOfManyRequestsAtOneEndpointHideNoOthers)
{
  PartQuarantine quarantine;
  for (uint64_t i = 0; i < 30; ++i) {
    crash(quarantine, i, "a", kStart);
  }
  crash(quarantine, 1, "b", kStart + 1s);
  BOOST_TEST(!holds(quarantine, kCrashing, kStart + 1s));
  crash(quarantine, 2, "c", kStart + 1s);
  BOOST_TEST(holds(quarantine, kCrashing, kStart + 1s));
}

// Guards against a quarantine without end: processes whose quarantines end at slightly different
// times take it over from each other again.
BOOST_AUTO_TEST_CASE(aQuarantineThatIsToldWithDelayEndsEverywhere)
{
  struct Told
  {
    base::TimePoint at;
    size_t to;
    QuarantinedParts part;
  };
  const PartQuarantineOptions options;
  base::Rng rng(3);
  std::vector<PartQuarantine> entries(20);
  std::deque<Told> underway;
  for (uint64_t i = 0; i < 3; ++i) {
    crash(entries[0], i, std::to_string(i), kStart);
  }
  auto end = kStart + base::Duration(options.duration) + 10s;
  base::TimePoint lastHeld;
  for (auto now = kStart; now < end + 60s; now += 10ms) {
    for (size_t from = 0; from < entries.size(); ++from) {
      // Each tells three others a second.
      if ((now - kStart) % 1s != from * 50ms) {
        continue;
      }
      for (const auto& part : entries[from].quarantined(9, now)) {
        for (int copy = 0; copy < 3; ++copy) {
          // The receiver is sometimes suspended.
          auto delay = base::uniformBelow(rng, 100) == 0 ? 2000ms : 20ms;
          underway.push_back({ now + delay, base::uniformBelow(rng, entries.size()), part });
        }
      }
    }
    std::erase_if(underway, [&](const Told& aTold) {
      if (aTold.at > now) {
        return false;
      }
      entries[aTold.to].adopt(aTold.part, now);
      return true;
    });
    if (std::any_of(entries.begin(), entries.end(), [&](const auto& aEntry) {
          return holds(aEntry, kCrashing, now);
        })) {
      lastHeld = now;
    }
  }
  BOOST_TEST_MESSAGE("held for " << (lastHeld - kStart) / 1ms << " ms");
  BOOST_TEST((lastHeld < end));
}

// Guards against a sound part that is quarantined by one coincidence after the other: a request
// that gets past its beginning takes back what the quarantine before rested on.
BOOST_AUTO_TEST_CASE(aDisprovedQuarantineDoesNotMakeThePartSuspect)
{
  PartQuarantine quarantine;
  for (uint64_t i = 0; i < 3; ++i) {
    crash(quarantine, i, std::to_string(i), kStart);
  }
  BOOST_TEST(holds(quarantine, kCrashing, kStart));
  quarantine.recordProof({ &kCrashing, 1 }, kStart + 1s);
  crash(quarantine, 7, "x", kStart + 4s);
  BOOST_TEST(!holds(quarantine, kCrashing, kStart + 4s));
}

// Guards against parts that other processes are never told of because many are in quarantine.
BOOST_AUTO_TEST_CASE(eachPartInQuarantineIsTold)
{
  constexpr PromptPart kParts = 40;
  PartQuarantine quarantine;
  PartQuarantine later;
  for (PromptPart part = 0; part < kParts; ++part) {
    for (uint64_t i = 0; i < 3; ++i) {
      quarantine.recordCrash({ 10 * part + i, std::to_string(i), { part } }, kStart);
    }
  }
  for (int round = 0; round < 8; ++round) {
    for (const auto& part : quarantine.quarantined(12, kStart + 1s)) {
      later.adopt(part, kStart + 1s);
    }
  }
  BOOST_TEST(later.quarantined(kParts, kStart + 1s).size() == kParts);
}
