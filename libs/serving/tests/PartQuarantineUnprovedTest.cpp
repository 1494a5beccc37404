#define BOOST_TEST_MODULE serving_part_quarantine_unproved
#include <array>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "serving/PartQuarantine.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

// Guards against a quarantine of the part that all requests share, where two parts crash endpoints
// in turn, each request two, and no sound request came before (LOST).
BOOST_AUTO_TEST_CASE(twoCrashingPartsLeaveAnUnprovedSharedPartAlone)
{
  constexpr PromptPart kShared = 1;
  constexpr std::array<PromptPart, 2> kCrashing{ 2, 3 };
  constexpr PromptPart kOther = 4;
  PartQuarantine quarantine;
  base::TimePoint now{ 1h };
  for (uint64_t crash = 0; crash < 20; ++crash) {
    uint64_t request = crash / 2;
    std::vector<PromptPart> parts{ kShared, kCrashing[request % 2] };
    now += 100ms;
    if (!quarantine.isQuarantined(parts, now)) {
      quarantine.recordCrash({ request, std::to_string(crash), parts }, now);
    }
  }
  BOOST_TEST(!quarantine.isQuarantined(std::array{ kShared, kOther }, now));
}

// Guards against the same where more parts crash endpoints in turn, one each, as long as their
// crashes are too few to quarantine a part whatever it stands beside (LOST).
BOOST_AUTO_TEST_CASE(severalCrashingPartsLeaveAnUnprovedSharedPartAlone)
{
  constexpr PromptPart kShared = 1;
  constexpr PromptPart kOther = 9;
  for (uint64_t count = 3; count < PartQuarantineOptions().crashesIfUnclear; ++count) {
    PartQuarantine quarantine;
    base::TimePoint now{ 1h };
    for (uint64_t crash = 0; crash < count; ++crash) {
      now += 100ms;
      quarantine.recordCrash({ crash, std::to_string(crash), { kShared, 2 + crash } }, now);
    }
    BOOST_TEST_CONTEXT(count << " parts")
    {
      BOOST_TEST(!quarantine.isQuarantined(std::array{ kShared, kOther }, now));
      BOOST_TEST(quarantine.admit(std::array{ kShared, kOther }, now));
      BOOST_TEST(quarantine.isQuarantined(std::array{ kShared, PromptPart(2) }, now));
    }
  }
}

namespace {

constexpr PromptPart kShared = 1;
const base::TimePoint kStart{ 1h };

/** Two requests, of which the first crashed two endpoints; each holds the shared part and its own.
 */
PartQuarantine unclearQuarantine()
{
  PartQuarantine quarantine;
  quarantine.recordCrash({ 1, "a", { kShared, 2 } }, kStart);
  quarantine.recordCrash({ 1, "b", { kShared, 2 } }, kStart);
  quarantine.recordCrash({ 2, "c", { kShared, 3 } }, kStart);
  return quarantine;
}

} // namespace

// Guards against many requests that are sent on with a part which may crash endpoints.
BOOST_AUTO_TEST_CASE(requestsWithoutTheOtherPartsAreLetThroughOneAtATime)
{
  auto quarantine = unclearQuarantine();
  std::array sound{ kShared, PromptPart(4) };
  BOOST_TEST(!quarantine.admit(std::array{ kShared, PromptPart(2) }, kStart));
  BOOST_TEST(!quarantine.admit(std::array{ kShared, PromptPart(3) }, kStart));
  BOOST_TEST(quarantine.admit(sound, kStart));
  BOOST_TEST(!quarantine.admit(sound, kStart + 10ms));
  BOOST_TEST(!quarantine.isQuarantined(sound, kStart + 10ms));
  BOOST_TEST(quarantine.recordProof(sound, kStart + 20ms) == std::vector{ kShared });
  BOOST_TEST(quarantine.admit(sound, kStart + 30ms));
  BOOST_TEST(quarantine.admit(sound, kStart + 30ms));
}

// Guards against endpoints that crash on, as the shared part is the cause (BUDGET).
BOOST_AUTO_TEST_CASE(furtherCrashesQuarantineTheSharedPartAlone)
{
  auto quarantine = unclearQuarantine();
  size_t crashes = 3;
  for (uint64_t i = 0; i < 30; ++i) {
    std::array parts{ kShared, PromptPart(100 + i) };
    auto now = kStart + i * 100ms;
    if (quarantine.admit(parts, now)) {
      ++crashes;
      quarantine.recordCrash({ 10 + i, std::to_string(i), { kShared, 100 + i } }, now);
    }
  }
  BOOST_TEST(crashes <= PartQuarantineOptions().crashesIfUnclear);
  BOOST_TEST(quarantine.isQuarantined(std::array{ kShared }, kStart + 3s));
}

// Guards against a third crashing part that is let through and has the shared one quarantined.
BOOST_AUTO_TEST_CASE(oneMoreCrashLeavesTheDoubt)
{
  auto quarantine = unclearQuarantine();
  quarantine.recordCrash({ 3, "d", { kShared, 5 } }, kStart + 1s);
  BOOST_TEST(!quarantine.isQuarantined(std::array{ kShared, PromptPart(4) }, kStart + 1s));
  BOOST_TEST(quarantine.isQuarantined(std::array{ kShared, PromptPart(5) }, kStart + 1s));
}

// Guards against other processes that stop requests with the shared part because they were told of
// a quarantine that leaves doubt.
BOOST_AUTO_TEST_CASE(doubtfulQuarantinesAreNotTold)
{
  BOOST_TEST(unclearQuarantine().quarantined(9, kStart).empty());
}
