#define BOOST_TEST_MODULE serving_part_quarantine_unproved
#include <array>

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
