#define BOOST_TEST_MODULE serving_version_schedule
#include <boost/test/unit_test.hpp>

#include "serving/VersionSchedule.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

// Guards against a newer declaration that delays the enforcement of an older one, in whatever order
// an entry learns of them (VERSION on hoopline).
BOOST_AUTO_TEST_CASE(supersededVersionsAreEnforcedAtTheirOwnTime)
{
  const base::TimePoint start{ 1h };
  VersionSchedule schedule;
  BOOST_TEST(schedule.required(start) == 0U);
  BOOST_TEST(!schedule.next(start));
  BOOST_TEST(schedule.declare(3, start + 9s));
  BOOST_TEST(schedule.declare(2, start + 7s));
  BOOST_TEST(schedule.newest() == 3U);
  BOOST_TEST(schedule.next(start)->version == 2U);
  BOOST_TEST((schedule.next(start)->at == start + 7s));
  BOOST_TEST(schedule.required(start + 7s - 1ms) == 0U);
  BOOST_TEST(schedule.required(start + 7s) == 2U);
  BOOST_TEST(schedule.next(start + 7s)->version == 3U);
  BOOST_TEST(schedule.required(start + 9s) == 3U);
  BOOST_TEST(!schedule.next(start + 9s));
}

// A version that is enforced earlier than an older one replaces it.
BOOST_AUTO_TEST_CASE(olderVersionsThatAreDueLaterDoNotMatter)
{
  const base::TimePoint start{ 1h };
  VersionSchedule schedule;
  schedule.declare(2, start + 7s);
  schedule.declare(3, start + 5s);
  BOOST_TEST(schedule.next(start)->version == 3U);
  BOOST_TEST(schedule.required(start + 7s) == 3U);
}

// Guards against an enforcement that is put off by later evidence.
BOOST_AUTO_TEST_CASE(enforcementOnlyMovesToAnEarlierTime)
{
  const base::TimePoint start{ 1h };
  VersionSchedule schedule;
  schedule.declare(2, start + 7s);
  BOOST_TEST(!schedule.declare(2, start + 8s));
  BOOST_TEST(schedule.declare(2, start + 6s));
  BOOST_TEST(schedule.required(start + 6s) == 2U);
}

// Guards against memory that grows with the number of versions.
BOOST_AUTO_TEST_CASE(scheduleIsBounded)
{
  const base::TimePoint start{ 1h };
  VersionSchedule schedule;
  for (uint64_t version = 1; version <= 1000; ++version) {
    schedule.declare(version, start);
  }
  BOOST_TEST(schedule.required(start) == 1000U);
  BOOST_TEST(schedule.size() <= 64U);
}
