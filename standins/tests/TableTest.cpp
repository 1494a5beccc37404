#define BOOST_TEST_MODULE standins_table
#include <boost/test/unit_test.hpp>

#include "table/TableStore.h"

using namespace boragepitch::standin;

// Guards against a transaction that commits in part or on a stale version.
BOOST_AUTO_TEST_CASE(staleCheckChangesNothing)
{
  TableStore store;
  auto created = store.commit({ .checks = { { "a", 0 } }, .puts = { { "a", "1" } } });
  BOOST_REQUIRE(created.committed);
  auto stale = store.commit({ .checks = { { "a", 0 } }, .puts = { { "a", "2" }, { "b", "2" } } });
  BOOST_TEST(!stale.committed);
  BOOST_TEST_REQUIRE(stale.conflicts.size() == 1);
  BOOST_TEST(stale.conflicts[0].second == created.version);
  BOOST_TEST(store.read({ "b" }).rows.empty());
  BOOST_TEST(store.read({ "a" }).rows.at(0).value == "1");
}

// Guards against a row that is deleted and created again with a version that it had before.
BOOST_AUTO_TEST_CASE(versionsNeverRepeat)
{
  TableStore store;
  auto first = store.commit({ .puts = { { "a", "1" } } });
  store.commit({ .deletes = { "a" } });
  auto second = store.commit({ .checks = { { "a", 0 } }, .puts = { { "a", "1" } } });
  BOOST_TEST(second.committed);
  BOOST_TEST(second.version > first.version);
}

// Guards against pages that repeat or leave out rows.
BOOST_AUTO_TEST_CASE(scanContinuesAfterTheLastKey)
{
  TableStore store;
  store.commit({ .puts = { { "p/1", "" }, { "p/2", "" }, { "p/3", "" }, { "q/1", "" } } });
  auto page = store.scan("p/", "", 2);
  BOOST_TEST_REQUIRE(page.rows.size() == 2);
  auto rest = store.scan("p/", page.rows.back().key, 2);
  BOOST_TEST_REQUIRE(rest.rows.size() == 1);
  BOOST_TEST(rest.rows[0].key == "p/3");
}
