#define BOOST_TEST_MODULE loader_weight_news
#include <boost/test/unit_test.hpp>

#include <fcntl.h>

#include "WeightTableListener.h"

using namespace boragepitch;
using namespace boragepitch::tools;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  void receiveRow(const std::string& aKey, const std::string& aValue)
  {
    weightTable.onChanges({ { aKey, aValue } }, now);
  }
  void receiveDeclaration(uint64_t aVersion, base::Milliseconds aAt)
  {
    receiveRow(declaredKey("m", aVersion), writeDeclaredTime(aAt));
  }
  void receiveSetup()
  {
    receiveRow(setupKey("drafter"), writeWeightSetup({ "m", { "10.0.0.1", 80 }, "north-a", true }));
  }
  std::vector<uint64_t> versions() const
  {
    std::vector<uint64_t> found;
    for (const WeightTarget& target : weightTable.targets()) {
      found.push_back(target.version);
    }
    return found;
  }

  telemetry::EventLog log{ ::open("/dev/null", O_WRONLY | O_CLOEXEC), "loader-1" };
  WeightTableListener weightTable{ "drafter", log };
  base::TimePoint now{ 1h };
};

} // namespace

// Guards against loading weights before the setup of the loader's service is known, or for another
// service.
BOOST_FIXTURE_TEST_CASE(hasNoTargetsBeforeTheSetupIsKnown, Fixture)
{
  receiveDeclaration(2, 0ms);
  receiveRow(setupKey("other"), writeWeightSetup({ "m", { "10.0.0.1", 80 }, "north-a", true }));
  receiveRow(setupKey("drafter"), "{torn");
  BOOST_TEST(weightTable.targets().empty());
  receiveSetup();
  BOOST_TEST(versions() == std::vector<uint64_t>{ 2 }, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(targetsTheFirstVersionWhenNothingWasDeclared, Fixture)
{
  receiveSetup();
  BOOST_TEST(versions() == std::vector<uint64_t>{ 1 }, boost::test_tools::per_element());
}

// A snapshot of the table is sorted by key as text, so version 10 comes before version 9.
BOOST_FIXTURE_TEST_CASE(ordersVersionsByNumberWhateverTheOrderOfTheRows, Fixture)
{
  receiveSetup();
  receiveDeclaration(10, 0ms);
  receiveDeclaration(8, 0ms);
  receiveDeclaration(9, 0ms);
  std::vector<uint64_t> expected{ 10, 9 };
  BOOST_TEST(versions() == expected, boost::test_tools::per_element());
}

// Guards against a switch delay that is measured from a restart instead of from the declaration.
BOOST_FIXTURE_TEST_CASE(returnsTheTimeOfTheOldestDeclarationThatTheEngineLacks, Fixture)
{
  weightTable.onServiceTime(9000ms);
  receiveDeclaration(3, 8000ms);
  receiveDeclaration(2, 5000ms);
  BOOST_TEST((weightTable.oldestMissingDeclaredAt("m", 1, now) == now - 4s));
  BOOST_TEST((weightTable.oldestMissingDeclaredAt("m", 2, now) == now - 1s));
  BOOST_TEST((weightTable.oldestMissingDeclaredAt("m", 3, now) == now));
  BOOST_TEST((weightTable.oldestMissingDeclaredAt("other", 1, now) == now));
  receiveDeclaration(2, 8900ms);
  BOOST_TEST((weightTable.oldestMissingDeclaredAt("m", 1, now) == now - 4s));
}

// Guards against a switch delay that starts when a suspended loader reads the declaration.
BOOST_FIXTURE_TEST_CASE(countsADeclarationFromTheTimeOfItsAnswer, Fixture)
{
  weightTable.onServiceTime(5000ms);
  weightTable.onCallSucceeded(now);
  weightTable.onServiceTime(9000ms);
  now += 6s;
  receiveDeclaration(2, 8000ms);
  BOOST_TEST((weightTable.oldestMissingDeclaredAt("m", 1, now) == now - 3s));
}

// Guards against accepting a row that is not a valid manifest, and against a deletion that removes
// the last known value.
BOOST_FIXTURE_TEST_CASE(rejectsInvalidManifestsAndIgnoresDeletions, Fixture)
{
  receiveRow(manifestKey("m", "2"), "no manifest");
  BOOST_TEST(weightTable.manifest({ "m", 2 }) == nullptr);
  receiveSetup();
  receiveDeclaration(2, 0ms);
  weightTable.onChanges({ { declaredKey("m", 2), "", true }, { setupKey("drafter"), "", true } },
                        now);
  BOOST_TEST(versions() == std::vector<uint64_t>{ 2 }, boost::test_tools::per_element());
}
