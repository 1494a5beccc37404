#define BOOST_TEST_MODULE loader_entry_notices
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <fcntl.h>

#include "EntryNotices.h"
#include "WeightRows.h"
#include "serving/PeerMessage.h"

using namespace boragepitch;
using namespace boragepitch::tools;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  Fixture()
  {
    weightTable.onChanges(
      { { setupKey("drafter"), writeWeightSetup({ "m", { "10.0.0.1", 80 }, "z", true }) } }, now);
  }

  void receiveNotice(const std::string& aEntry, std::map<std::string, uint64_t> aVersions)
  {
    serving::EntryNotice notice{ { aEntry, "north" }, { "10.0.0.9", 90 }, std::move(aVersions) };
    notices.receive(serving::encode(notice), now);
  }
  void receiveDeclaration(uint64_t aVersion)
  {
    weightTable.onChanges({ { declaredKey("m", aVersion), writeDeclaredTime(0ms) } }, now);
  }
  void pass(base::Milliseconds aTime)
  {
    now += aTime;
    notices.step(now);
  }

  base::TimePoint now{ 1h };
  telemetry::EventLog log{ ::open("/dev/null", O_WRONLY | O_CLOEXEC), "loader-1" };
  LoaderFleet fleet{ "loader-1", { "north-a", "north", "drafter", {} }, "10.0.0.3:80", {}, log };
  WeightTableListener weightTable{ "drafter", log };
  int refreshes = 0;
  EntryNotices notices{ fleet, weightTable, log, [this] { ++refreshes; } };
};

} // namespace

// Guards against a version that a loader misses for the rest of a long wait, because its connection
// to the store went silent.
BOOST_FIXTURE_TEST_CASE(refreshesTheFeedWhenAnAnnouncedVersionIsOverdue, Fixture)
{
  receiveNotice("entry-1", { { "m", 2 } });
  pass(100ms);
  BOOST_TEST(refreshes == 0);
  receiveNotice("entry-2", { { "m", 2 } });
  pass(400ms);
  BOOST_TEST(refreshes == 1);
  pass(2s);
  BOOST_TEST(refreshes == 1);
}

// Guards against a call to the store for each notice of a version that the feed has delivered, and
// for models of other services.
BOOST_FIXTURE_TEST_CASE(leavesAFeedAloneThatDelivers, Fixture)
{
  receiveNotice("entry-1", { { "m", 2 }, { "other", 5 } });
  receiveDeclaration(2);
  pass(1s);
  receiveNotice("entry-2", { { "m", 2 } });
  pass(1s);
  BOOST_TEST(refreshes == 0);
}

// Guards against an entry that joins and gets no load reports until the table of nodes is read.
BOOST_FIXTURE_TEST_CASE(reportsToAnEntryThatAnnouncesItself, Fixture)
{
  BOOST_TEST(fleet.reportTargets().empty());
  receiveNotice("entry-1", {});
  receiveNotice("entry-1", {});
  BOOST_REQUIRE(fleet.reportTargets().size() == 1U);
  BOOST_TEST(fleet.reportTargets().front().address.toString() == "10.0.0.9:90");
  BOOST_TEST(fleet.reportTargets().front().usesEngine);
}

// Guards against memory that forged announcements take without limit.
BOOST_FIXTURE_TEST_CASE(boundsTheEntriesThatAnnounceThemselves, Fixture)
{
  for (int i = 0; i < 1100; ++i) {
    fleet.addEntry("entry-" + std::to_string(i), { "north", { "10.0.0.9", 90 } });
  }
  BOOST_TEST(fleet.reportTargets().size() == 1000U);
}

// Guards against datagrams of other kinds and malformed ones.
RC_BOOST_FIXTURE_PROP(ignoresForeignDatagrams, Fixture, (const std::string& aText))
{
  notices.receive(aText, now);
  notices.receive(serving::encode(serving::LoadReport{ .address = "10.0.0.1:1" }), now);
  notices.receive(R"({"kind":"entry","name":"e","region":"r","address":"x","weights":{}})", now);
  notices.receive(
    R"({"kind":"entry","name":"e","region":"r","address":"10.0.0.1:1","weights":{"m":-1}})", now);
  pass(1s);
  RC_ASSERT(fleet.reportTargets().empty());
  RC_ASSERT(refreshes == 0);
}
