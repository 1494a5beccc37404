#define BOOST_TEST_MODULE serving_part_quarantine
#include <boost/test/unit_test.hpp>

#include "base/Rng.h"
#include "serving/PartQuarantine.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

namespace {

constexpr PromptPart kShared = 1; ///< In all requests of the route.
constexpr PromptPart kCrashing = 2;
constexpr PromptPart kOther = 3;

struct Quarantine : PartQuarantine
{
  using PartQuarantine::PartQuarantine;
  bool holds(PromptPart aPart, base::TimePoint aNow) const
  {
    return isQuarantined({ &aPart, 1 }, aNow);
  }
  void prove(PromptPart aPart, base::TimePoint aBegunAt) { recordProof({ &aPart, 1 }, aBegunAt); }
  /** Records a crash as the entry does that sees it. */
  void crash(uint64_t aRequest,
             const std::string& aEndpoint,
             std::vector<PromptPart> aParts,
             base::TimePoint aNow)
  {
    recordCrash({ aRequest, aEndpoint, unproved(aParts, aNow) }, aNow);
  }
};

const base::TimePoint kStart{ 1h };

} // namespace

// Guards against requests that crash one endpoint after the other because they share a part of
// their prompt and nothing else (BUDGET).
BOOST_AUTO_TEST_CASE(quarantinesAPartThatCrashesEndpointsInDifferentRequests)
{
  Quarantine quarantine;
  quarantine.crash(1, "a", { kShared, kCrashing }, kStart);
  quarantine.prove(kShared, kStart + 10ms);
  quarantine.crash(1, "b", { kShared, kCrashing }, kStart + 20ms);
  BOOST_TEST(!quarantine.holds(kCrashing, kStart + 20ms));
  quarantine.prove(kShared, kStart + 30ms);
  quarantine.crash(2, "c", { kShared, kCrashing }, kStart + 40ms);
  BOOST_TEST(quarantine.holds(kCrashing, kStart + 40ms));
  BOOST_TEST(!quarantine.holds(kShared, kStart + 40ms));
}

// Two such parts, one after the other.
BOOST_AUTO_TEST_CASE(quarantinesASecondPart)
{
  Quarantine quarantine;
  for (uint64_t i = 0; i < 3; ++i) {
    quarantine.crash(i, "a" + std::to_string(i), { kCrashing }, kStart);
    quarantine.crash(10 + i, "b" + std::to_string(i), { kOther }, kStart + 9s);
  }
  BOOST_TEST(quarantine.holds(kCrashing, kStart + 9s));
  BOOST_TEST(quarantine.holds(kOther, kStart + 9s));
}

// Guards against a quarantine of sound requests because endpoints crash by chance, or many are
// killed at once, while these requests wait there.
BOOST_AUTO_TEST_CASE(crashesByChanceQuarantineNoSoundPart)
{
  base::Rng rng(7);
  Quarantine quarantine;
  base::TimePoint now = kStart;
  constexpr uint64_t kParts = 40;
  uint64_t crashes = 0;
  for (uint64_t request = 0; request < 20000; ++request) {
    now += 5ms;
    PromptPart own = 100 + base::uniformBelow(rng, kParts);
    // One request in twelve waits at an endpoint that crashes.
    if (base::uniformBelow(rng, 12) == 0) {
      quarantine.crash(request, "e" + std::to_string(++crashes), { kShared, own }, now);
    } else {
      quarantine.recordProof(std::array{ kShared, own }, now);
    }
    BOOST_REQUIRE(!quarantine.holds(kShared, now));
  }
  BOOST_TEST(crashes > 1000U);
  size_t wrong = quarantine.quarantined(kParts, now).size();
  BOOST_TEST(wrong == 0U);
}

// One request that is sent again and again to endpoints that crash by chance is no evidence.
BOOST_AUTO_TEST_CASE(aSingleRequestQuarantinesNothing)
{
  Quarantine quarantine;
  for (int i = 0; i < 6; ++i) {
    quarantine.crash(1, "e" + std::to_string(i), { kOther }, kStart);
  }
  BOOST_TEST(!quarantine.holds(kOther, kStart));
}

// Many requests that wait at one endpoint which crashes are no evidence.
BOOST_AUTO_TEST_CASE(aSingleEndpointQuarantinesNothing)
{
  Quarantine quarantine;
  for (uint64_t i = 0; i < 30; ++i) {
    quarantine.crash(i, "e", { kOther }, kStart);
  }
  BOOST_TEST(!quarantine.holds(kOther, kStart));
}

// A wrong quarantine ends by itself, and the next one of the part lasts longer.
BOOST_AUTO_TEST_CASE(quarantinesEnd)
{
  const PartQuarantineOptions options;
  Quarantine quarantine;
  for (uint64_t i = 0; i < 3; ++i) {
    quarantine.crash(i, "a" + std::to_string(i), { kCrashing }, kStart);
  }
  auto end = kStart + base::Duration(options.duration);
  BOOST_TEST(quarantine.holds(kCrashing, end - 1ms));
  BOOST_TEST(!quarantine.holds(kCrashing, end));
  quarantine.crash(9, "z", { kCrashing }, end + 1s);
  BOOST_TEST(quarantine.holds(kCrashing, end + 1s + 2 * base::Duration(options.duration) - 1ms));
}

// Guards against a part that becomes harmful although requests with it were sound before.
BOOST_AUTO_TEST_CASE(earlierProofsDoNotProtectAPart)
{
  Quarantine quarantine;
  quarantine.prove(kCrashing, kStart);
  for (uint64_t i = 0; i < 3; ++i) {
    quarantine.crash(i, "a" + std::to_string(i), { kCrashing }, kStart + 2s);
  }
  BOOST_TEST(quarantine.holds(kCrashing, kStart + 2s));
}

// Guards against records that cannot hold crashes of as many endpoints as the conviction of a part
// needs that sound requests contained shortly before.
BOOST_AUTO_TEST_CASE(aPartThatTurnsHarmfulIsFoundBesidePartsWithoutProof)
{
  Quarantine quarantine;
  quarantine.prove(kCrashing, kStart);
  auto now = kStart + 2s;
  for (uint64_t i = 0; i < 16; ++i) {
    // Two requests at each endpoint; each has another part that no request proved.
    quarantine.crash(i, "e" + std::to_string(i / 2), { kCrashing, 1000 + i }, now);
  }
  BOOST_TEST(quarantine.holds(kCrashing, now));
}

// Guards against a quarantine of the part that all requests share because no sound one came before
// the crashes (LOST): only requests with all parts of the same crashes are stopped.
BOOST_AUTO_TEST_CASE(partsOfTheSameCrashesStopOnlyRequestsWithAllOfThem)
{
  Quarantine quarantine;
  for (uint64_t i = 0; i < 12; ++i) {
    quarantine.crash(i, "e" + std::to_string(i), { kShared, kCrashing }, kStart);
  }
  BOOST_TEST(quarantine.isQuarantined(std::array{ kShared, kCrashing }, kStart));
  BOOST_TEST(quarantine.isQuarantined(std::array{ kShared, kOther, kCrashing }, kStart));
  BOOST_TEST(!quarantine.isQuarantined(std::array{ kShared, kOther }, kStart));
  BOOST_TEST(!quarantine.isQuarantined(std::array{ kOther, kCrashing }, kStart));
}

// Guards against a quarantine of the part that all requests share because requests with two other
// parts crash endpoints in turn before a sound one comes (LOST).
BOOST_AUTO_TEST_CASE(partsThatCrashEndpointsInTurnLeaveTheSharedOneAlone)
{
  Quarantine quarantine;
  for (uint64_t i = 0; i < 12; ++i) {
    std::vector<PromptPart> parts{ kShared, i % 2 == 0 ? kCrashing : kOther };
    if (!quarantine.isQuarantined(parts, kStart)) {
      quarantine.crash(i, "e" + std::to_string(i), parts, kStart);
    }
  }
  BOOST_TEST(!quarantine.holds(kShared, kStart));
  BOOST_TEST(quarantine.isQuarantined(std::array{ kShared, kCrashing }, kStart));
  BOOST_TEST(quarantine.isQuarantined(std::array{ kShared, kOther }, kStart));
}

BOOST_AUTO_TEST_CASE(aProofLeavesTheOtherPartsOfTheSameCrashesInQuarantine)
{
  Quarantine quarantine;
  for (uint64_t i = 0; i < 3; ++i) {
    quarantine.crash(i, "e" + std::to_string(i), { kShared, kCrashing }, kStart);
  }
  quarantine.recordProof(std::array{ kShared, kOther }, kStart + 1s);
  BOOST_TEST(quarantine.isQuarantined(std::array{ kOther, kCrashing }, kStart + 1s));
  BOOST_TEST(!quarantine.holds(kShared, kStart + 1s));
}

// Guards against a crashing part that goes on beside other parts than in its first crashes: it may
// crash three more endpoints.
BOOST_AUTO_TEST_CASE(crashesWithoutTheOtherPartsQuarantineAPartAlone)
{
  Quarantine quarantine;
  for (uint64_t i = 0; i < 6; ++i) {
    PromptPart beside = i < 3 ? kShared : 100 + i;
    quarantine.crash(i, "e" + std::to_string(i), { beside, kCrashing }, kStart + i * 1s);
  }
  BOOST_TEST(quarantine.holds(kCrashing, kStart + 6s));
  BOOST_TEST(!quarantine.holds(kShared, kStart + 6s));
}

// Guards against a crashing part that crashes three endpoints beside each other part, first or last
// in the prompt, as no sound request tells them apart (BUDGET).
BOOST_AUTO_TEST_CASE(aPartThatCrashesBesideOnePartAfterTheOtherIsQuarantinedAlone)
{
  constexpr size_t kAllowed = 5 + 3;
  for (bool isFirst : { true, false }) {
    Quarantine quarantine;
    size_t crashes = 0;
    for (uint64_t i = 0; i < 60; ++i) {
      auto now = kStart + i * 500ms;
      std::vector<PromptPart> parts{ kCrashing, 100 + i / 6 };
      if (!isFirst) {
        std::swap(parts[0], parts[1]);
      }
      if (!quarantine.isQuarantined(parts, now)) {
        ++crashes;
        quarantine.crash(i, "e" + std::to_string(i), parts, now);
      }
    }
    BOOST_TEST(crashes <= kAllowed);
    BOOST_TEST(quarantine.holds(kCrashing, kStart + 30s));
  }
}

// The same with other parts in any order, few or many, and a first part that all requests share.
BOOST_AUTO_TEST_CASE(aPartThatCrashesBesideOthersInAnyOrderIsStopped)
{
  constexpr size_t kAllowed = 5 + 3;
  for (uint64_t others : { 1, 2, 3, 5, 10, 100 }) {
    for (uint64_t seed = 1; seed <= 40; ++seed) {
      base::Rng rng(seed);
      Quarantine quarantine;
      size_t crashes = 0;
      for (uint64_t i = 0; i < 100; ++i) {
        auto now = kStart + i * 250ms;
        std::vector<PromptPart> parts{ kShared, kCrashing, 100 + base::uniformBelow(rng, others) };
        if (!quarantine.isQuarantined(parts, now)) {
          ++crashes;
          quarantine.crash(i, "e" + std::to_string(i), parts, now);
        }
      }
      BOOST_TEST(crashes <= kAllowed);
      BOOST_TEST(!quarantine.holds(kShared, kStart + 25s));
    }
  }
}

// Guards against a crashing part that is forgotten with a wrong quarantine of another part.
BOOST_AUTO_TEST_CASE(theEndOfAWrongQuarantineLeavesTheOthers)
{
  Quarantine quarantine;
  for (uint64_t i = 0; i < 3; ++i) {
    quarantine.crash(i, "a" + std::to_string(i), { kShared, kCrashing }, kStart);
  }
  for (uint64_t i = 0; i < 3; ++i) {
    quarantine.crash(10 + i, "b" + std::to_string(i), { kShared, 100 + i }, kStart + 1s);
  }
  BOOST_TEST(quarantine.holds(kShared, kStart + 1s));
  quarantine.prove(kShared, kStart + 2s);
  BOOST_TEST(!quarantine.holds(kShared, kStart + 2s));
  BOOST_TEST(quarantine.holds(kCrashing, kStart + 2s));
}

// What another process has proved, or not, does not widen a quarantine that is told.
BOOST_AUTO_TEST_CASE(otherProcessesTakeOverPartsThatAreQuarantinedTogether)
{
  Quarantine quarantine;
  for (uint64_t i = 0; i < 3; ++i) {
    quarantine.crash(i, "e" + std::to_string(i), { kShared, kCrashing }, kStart);
  }
  auto now = kStart + 2s;
  auto told = quarantine.quarantined(9, now);
  BOOST_REQUIRE(told.size() == 1U);
  Quarantine later;
  BOOST_TEST(later.adopt(told[0], now).empty());
  BOOST_TEST(later.isQuarantined(std::array{ kShared, kCrashing }, now));
  BOOST_TEST(!later.holds(kShared, now));
  BOOST_TEST(!later.holds(kCrashing, now));
  Quarantine busy;
  busy.prove(kShared, kStart + 1s);
  BOOST_TEST(busy.adopt(told[0], now) == std::vector{ kShared });
  BOOST_TEST(busy.holds(kCrashing, now));
}

// Guards against entries that start later, or that the evidence did not reach.
BOOST_AUTO_TEST_CASE(otherProcessesTakeOverAQuarantine)
{
  Quarantine quarantine;
  for (uint64_t i = 0; i < 3; ++i) {
    quarantine.crash(i, "a" + std::to_string(i), { kCrashing }, kStart + i * 1s);
  }
  auto now = kStart + 5s;
  auto told = quarantine.quarantined(9, now);
  BOOST_REQUIRE(told.size() == 1U);
  BOOST_TEST((told[0].evidenceAge == 5s));
  Quarantine later;
  BOOST_TEST(later.adopt(told[0], now).empty());
  BOOST_TEST(later.holds(kCrashing, now + told[0].left - 1ms));
  BOOST_TEST(!later.holds(kCrashing, now + told[0].left));
}

// Guards against an entry with little traffic that has a sound part quarantined everywhere.
BOOST_AUTO_TEST_CASE(newerProofsContradictAQuarantine)
{
  Quarantine wrong;
  for (uint64_t i = 0; i < 3; ++i) {
    wrong.crash(i, "a" + std::to_string(i), { kShared }, kStart);
  }
  Quarantine busy;
  busy.prove(kShared, kStart + 1s);
  auto now = kStart + 2s;
  BOOST_TEST(busy.adopt(wrong.quarantined(9, now).at(0), now) == std::vector{ kShared });
  BOOST_TEST(!busy.holds(kShared, now));
  wrong.prove(kShared, now);
  BOOST_TEST(!wrong.holds(kShared, now));
}

// Guards against memory that grows with the number of parts.
BOOST_AUTO_TEST_CASE(recordsAreBounded)
{
  PartQuarantineOptions options;
  options.maxParts = 100;
  Quarantine quarantine(options);
  for (uint64_t i = 0; i < 3; ++i) {
    quarantine.crash(i, "a" + std::to_string(i), { kCrashing }, kStart);
  }
  for (uint64_t i = 0; i < 10000; ++i) {
    quarantine.prove(1000 + i, kStart + i * 1ms);
    quarantine.crash(i, "x", { 100000 + i }, kStart + i * 1ms);
    BOOST_REQUIRE(quarantine.size() <= options.maxParts);
  }
  BOOST_TEST(quarantine.holds(kCrashing, kStart + 11s));
}

// Guards against an exception, which ends the process, for a prompt whose parts displace each
// other.
BOOST_AUTO_TEST_CASE(aPromptWithMorePartsThanAreRemembered)
{
  for (size_t maxParts : { 2, 10, 99, 100 }) {
    PartQuarantineOptions options;
    options.maxParts = maxParts;
    Quarantine quarantine(options);
    std::vector<PromptPart> parts;
    for (PromptPart part = 0; part < 100; ++part) {
      parts.push_back(1000 + part);
    }
    for (uint64_t i = 0; i < 12; ++i) {
      parts.push_back(2000 + i % 2);
      BOOST_CHECK_NO_THROW(quarantine.crash(i, "e" + std::to_string(i), parts, kStart + i * 2s));
      parts.pop_back();
    }
    BOOST_TEST(quarantine.size() <= options.maxParts + 1);
  }
}

// Guards against crashes that are forgotten because requests with many other parts are sound.
BOOST_AUTO_TEST_CASE(proofsOfManyPartsDisplaceNoCrashes)
{
  PartQuarantineOptions options;
  options.maxParts = 100;
  Quarantine quarantine(options);
  for (uint64_t i = 0; i < 3; ++i) {
    quarantine.crash(i, "e" + std::to_string(i), { kCrashing }, kStart + i * 1s);
    for (uint64_t j = 0; j < 500; ++j) {
      quarantine.prove(1000 + 500 * i + j, kStart + i * 1s + j * 1ms);
    }
  }
  BOOST_TEST(quarantine.size() <= options.maxParts);
  BOOST_TEST(quarantine.holds(kCrashing, kStart + 3s));
}

// Guards against a second request that is let through after a quarantine because another process
// tells of the quarantine shortly before it ends there (BUDGET).
BOOST_AUTO_TEST_CASE(aQuarantineThatIsToldAfterItsEndAllowsNoFurtherTrial)
{
  const PartQuarantineOptions options;
  Quarantine quarantine;
  for (uint64_t i = 0; i < 3; ++i) {
    quarantine.crash(i, "a" + std::to_string(i), { kCrashing }, kStart);
  }
  auto told = quarantine.quarantined(9, kStart).at(0);
  auto end = kStart + base::Duration(options.duration);
  BOOST_TEST(quarantine.admit(std::array{ kCrashing }, end));
  told.left = 5ms;
  quarantine.adopt(told, end + 1ms);
  BOOST_TEST(!quarantine.admit(std::array{ kCrashing }, end + 10ms));
}

// Guards against quarantines that grow longer without a further crash because other processes tell
// of them shortly before they end there.
BOOST_AUTO_TEST_CASE(aQuarantineThatIsToldAfterItsEndIsNoFurtherOne)
{
  const PartQuarantineOptions options;
  Quarantine quarantine;
  for (uint64_t i = 0; i < 3; ++i) {
    quarantine.crash(i, "a" + std::to_string(i), { kCrashing }, kStart);
  }
  auto end = kStart + base::Duration(options.duration);
  for (auto late : { 1ms, 11ms, 21ms }) {
    base::Milliseconds age = options.duration + late;
    quarantine.adopt({ { kCrashing }, age, 5ms }, end + late);
  }
  quarantine.crash(9, "z", { kCrashing }, end + 1s);
  BOOST_TEST(!quarantine.holds(kCrashing, end + 1s + 2 * base::Duration(options.duration)));
}
