#define BOOST_TEST_MODULE router_odd_node_rows
#include <boost/test/unit_test.hpp>

#include "support/OddJson.h"
#include "tools/node/NodeRows.h"
#include "tools/node/WeightRows.h"

using namespace boragepitch;

namespace {

/** Reads every odd variant of aSound. None may throw; one whose root, or whose field aRequired, is
 * odd must be rejected. */
template<typename Read>
void checkOdd(const std::string& aSound, const std::string& aRequired, Read aRead)
{
  BOOST_REQUIRE(aRead(aSound).has_value());
  for (const test::OddText& text : test::oddTexts(aSound)) {
    BOOST_TEST_CONTEXT(text.path << " = " << text.odd)
    {
      bool isRead = false;
      BOOST_CHECK_NO_THROW(isRead = aRead(text.text).has_value());
      BOOST_TEST((!isRead || (!text.path.empty() && text.path != aRequired)));
    }
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(oddRowsOfEntriesAreRejected)
{
  checkOdd(tools::writeEntryRow({ "north", { "10.0.0.9", 7000 } }), "peers", tools::readEntryRow);
}

BOOST_AUTO_TEST_CASE(oddRowsOfLoadersAreRejected)
{
  checkOdd(tools::writeLoaderRow({ "north-a", "north", "s", { "10.0.0.9", 7000 } }),
           "weights",
           tools::readLoaderRow);
}

BOOST_AUTO_TEST_CASE(oddWeightSetupsAreRejected)
{
  checkOdd(tools::writeWeightSetup({ "m", { "10.0.0.9", 7000 }, "north-a", true }),
           "origin",
           tools::readWeightSetup);
}

BOOST_AUTO_TEST_CASE(oddDeclaredTimesAreRejected)
{
  BOOST_REQUIRE(tools::readDeclaredRow("declared/m/2", "5").has_value());
  for (const std::string& odd : test::oddValues()) {
    if (odd != "-1") {
      BOOST_TEST(!tools::readDeclaredRow("declared/m/2", odd).has_value());
    }
    BOOST_TEST(!tools::readDeclaredRow("declared/m/" + odd, "5").has_value());
  }
}
