#define BOOST_TEST_MODULE loader_fleet
#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include "LoaderFleet.h"

using namespace boragepitch;
using namespace boragepitch::tools;
using namespace std::chrono_literals;

namespace {

stores::RowChange entry(const std::string& aName, int aPort)
{
  return { kEntryPrefix + aName, writeEntryRow({ "north", { "10.0.0.1", aPort } }) };
}

stores::RowChange loader(const std::string& aName)
{
  return { kLoaderPrefix + aName,
           writeLoaderRow({ "north-a", "north", "drafter", { "10.0.0.3", 91 } }) };
}

} // namespace

// Guards against engines whose reports stop for some entries, and a transfer that loses its peers,
// because the store came back from a copy from before they registered.
BOOST_AUTO_TEST_CASE(keepsProgramsThatARestoredTableLacks)
{
  telemetry::EventLog log{ ::open("/dev/null", O_WRONLY | O_CLOEXEC), "loader-1" };
  LoaderFleet fleet{ "loader-1", { "north-a", "north", "drafter", {} }, "10.0.0.3:80", {}, log };
  base::TimePoint now{ 1h };
  fleet.onSnapshot({ entry("a", 1), entry("b", 2), loader("loader-1"), loader("loader-2") }, now);
  fleet.onRestored(now);
  fleet.onSnapshot({ entry("a", 1) }, now);
  BOOST_TEST(fleet.reportTargets().size() == 2U);
  BOOST_TEST(fleet.nodes()->size() == 2U);
  BOOST_TEST(fleet.rank().second == 2U);
  BOOST_REQUIRE(fleet.wakeAt().has_value());
  fleet.onChanges({ loader("loader-2") }, now + 1s);
  fleet.onCallSucceeded(*fleet.wakeAt());
  BOOST_TEST(fleet.reportTargets().size() == 1U);
  BOOST_TEST(fleet.nodes()->size() == 2U);
  BOOST_TEST(!fleet.wakeAt().has_value());
  fleet.onSnapshot({ entry("a", 1) }, now + 10s);
  BOOST_TEST(fleet.nodes()->size() == 1U);
}
