#define BOOST_TEST_MODULE loader_weight_news
#include <boost/test/unit_test.hpp>

#include <fcntl.h>

#include "WeightNews.h"

using namespace boragepitch;
using namespace boragepitch::tools;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  void take(const std::string& aKey, const std::string& aValue)
  {
    news.onChanges({ { aKey, aValue } }, now);
  }
  void declare(uint64_t aVersion, base::Milliseconds aAt)
  {
    take(declaredKey("m", aVersion), writeDeclaredTime(aAt));
  }
  void setUp()
  {
    take(setupKey("drafter"), writeWeightSetup({ "m", { "10.0.0.1", 80 }, "north-a", true }));
  }
  std::vector<uint64_t> versions() const
  {
    std::vector<uint64_t> found;
    for (const WeightTarget& target : news.targets()) {
      found.push_back(target.version);
    }
    return found;
  }

  telemetry::EventLog log{ ::open("/dev/null", O_WRONLY | O_CLOEXEC), "loader-1" };
  WeightNews news{ "drafter", log };
  base::TimePoint now{ 1h };
};

} // namespace

// Guards against loading weights before the setup of the loader's service is known, or for another
// service.
BOOST_FIXTURE_TEST_CASE(wantsNothingBeforeTheSetupIsKnown, Fixture)
{
  declare(2, 0ms);
  take(setupKey("other"), writeWeightSetup({ "m", { "10.0.0.1", 80 }, "north-a", true }));
  take(setupKey("drafter"), "{torn");
  BOOST_TEST(news.targets().empty());
  setUp();
  BOOST_TEST(versions() == std::vector<uint64_t>{ 2 }, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(wantsTheFirstVersionWhenNothingWasDeclared, Fixture)
{
  setUp();
  BOOST_TEST(versions() == std::vector<uint64_t>{ 1 }, boost::test_tools::per_element());
}

// A snapshot of the table is sorted by key as text, so version 10 comes before version 9.
BOOST_FIXTURE_TEST_CASE(ordersVersionsByNumberWhateverTheOrderOfTheRows, Fixture)
{
  setUp();
  declare(10, 0ms);
  declare(8, 0ms);
  declare(9, 0ms);
  std::vector<uint64_t> expected{ 10, 9 };
  BOOST_TEST(versions() == expected, boost::test_tools::per_element());
}

// Guards against a switch delay that is measured from a restart instead of from the declaration.
BOOST_FIXTURE_TEST_CASE(countsFromTheOldestDeclarationThatTheEngineLacks, Fixture)
{
  news.onServiceTime(9000ms);
  declare(3, 8000ms);
  declare(2, 5000ms);
  BOOST_TEST((news.overdueSince("m", 1, now) == now - 4s));
  BOOST_TEST((news.overdueSince("m", 2, now) == now - 1s));
  BOOST_TEST((news.overdueSince("m", 3, now) == now));
  BOOST_TEST((news.overdueSince("other", 1, now) == now));
  declare(2, 8900ms);
  BOOST_TEST((news.overdueSince("m", 1, now) == now - 4s));
}

// Guards against a manifest under the key of another version, and against a deletion that removes
// what is in force.
BOOST_FIXTURE_TEST_CASE(keepsOnlyManifestsOfTheirName, Fixture)
{
  take(manifestKey("m", "2"), "no manifest");
  BOOST_TEST(news.manifest({ "m", 2 }) == nullptr);
  setUp();
  declare(2, 0ms);
  news.onChanges({ { declaredKey("m", 2), "", true }, { setupKey("drafter"), "", true } }, now);
  BOOST_TEST(versions() == std::vector<uint64_t>{ 2 }, boost::test_tools::per_element());
}
