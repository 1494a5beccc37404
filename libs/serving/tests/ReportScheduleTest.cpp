#define BOOST_TEST_MODULE serving_report_schedule
#include <boost/test/unit_test.hpp>

#include "serving/PeerMessage.h"
#include "serving/ReportSchedule.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  ReportAudience read(int aRunning, int aQueued, bool aSwitching = false)
  {
    LoadReport report;
    report.address = "10.0.0.1:80";
    report.running = aRunning;
    report.queued = aQueued;
    report.isSwitching = aSwitching;
    latest = report;
    return schedule.audience(report, encode(report), now);
  }

  ReportSchedule schedule{ ReportIntervals() };
  std::optional<LoadReport> latest;
  base::TimePoint now{ 1h };
};

} // namespace

// Guards against datagrams that grow with engines times entries: 138 engines told each of 21
// entries 6.7 times a second. Only the few users of an engine hear of each change.
BOOST_FIXTURE_TEST_CASE(mostReportsGoToTheUsersOnly, Fixture)
{
  int users = 0;
  int everyone = 0;
  for (int i = 0; i < 100; ++i, now += 150ms) {
    auto audience = read(i % 8, 3);
    users += audience == ReportAudience::Users ? 1 : 0;
    everyone += audience == ReportAudience::Everyone ? 1 : 0;
  }
  BOOST_TEST(users + everyone == 100);
  BOOST_TEST(everyone == 20); // 15 s of 750 ms.
}

// Guards against entries that go on sending to an engine that loads other weights, and against late
// news of its return.
BOOST_FIXTURE_TEST_CASE(everyoneHearsOfASwitchAtOnce, Fixture)
{
  read(4, 0);
  now += 100ms;
  BOOST_TEST((read(4, 0, true) == ReportAudience::Everyone));
  BOOST_TEST(schedule.nextRead(latest).count() == 40);
  now += 40ms;
  BOOST_TEST((read(3, 0, true) == ReportAudience::Users));
  now += 40ms;
  BOOST_TEST((read(0, 0, false) == ReportAudience::Everyone));
}

BOOST_FIXTURE_TEST_CASE(unchangedReportsAreRepeatedBeforeTheyExpire, Fixture)
{
  read(4, 0);
  now += 300ms;
  BOOST_TEST((read(4, 0) == ReportAudience::Nobody));
  now += 300ms;
  BOOST_TEST((read(4, 0) != ReportAudience::Nobody));
}

// An idle fleet reads half as often as one under overload; an engine that does not answer is asked
// again soon.
BOOST_FIXTURE_TEST_CASE(quietEnginesAreReadLessOften, Fixture)
{
  read(7, 0);
  BOOST_TEST(schedule.nextRead(latest).count() == 300);
  read(8, 1);
  BOOST_TEST(schedule.nextRead(latest).count() == 150);
  latest->queued = 0;
  latest->switchesSoon = true;
  BOOST_TEST(schedule.nextRead(latest).count() == 150);
  BOOST_TEST(schedule.nextRead(std::nullopt).count() == 150);
}
