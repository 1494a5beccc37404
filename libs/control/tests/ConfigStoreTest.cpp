#define BOOST_TEST_MODULE controlConfigStore
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <thread>

#include "ControlSupport.h"
#include "control/ConfigStore.h"
#include "support/MemoryTable.h"

using namespace boragepitch;
using base::ErrorKind;
using base::Milliseconds;
using control::Declaration;
using control::DeclarationKind;

namespace {

std::unique_ptr<control::ConfigStore> makeStore(stores::TableClient& aTable,
                                                const std::string& aOwner,
                                                Milliseconds aDeadline = Milliseconds(10000))
{
  return control::ConfigStore::Builder()
    .table(aTable)
    .codec(test::zoneCodec())
    .owner(aOwner)
    .deadline(aDeadline)
    .retention(20)
    .build();
}

Declaration create(const std::string& aName, bool aInService = true)
{
  return { DeclarationKind::Create, test::zone(aName, "r", aInService), 0 };
}

Declaration replace(const std::string& aName, bool aInService, uint64_t aVersion)
{
  return { DeclarationKind::Replace, test::zone(aName, "r", aInService), aVersion };
}

/** Forwards calls to a table; runs a hook once before the next commit or scan. */
class HookedTable final : public stores::TableClient
{
public:
  explicit HookedTable(stores::TableClient& aTable)
    : table(aTable)
  {
  }
  base::Result<uint64_t> commit(const stores::Transaction& aTransaction) override
  {
    if (beforeCommit) {
      std::exchange(beforeCommit, nullptr)();
    }
    return table.commit(aTransaction);
  }
  base::Result<std::vector<stores::Row>> read(const std::vector<std::string>& aKeys) override
  {
    return table.read(aKeys);
  }
  base::Result<std::vector<stores::Row>> scan(std::string_view aPrefix,
                                              std::string_view aAfter,
                                              size_t aLimit) override
  {
    if (beforeScan) {
      std::exchange(beforeScan, nullptr)();
    }
    return table.scan(aPrefix, aAfter, aLimit);
  }

  stores::TableClient& table;
  std::function<void()> beforeCommit;
  std::function<void()> beforeScan;
};

} // namespace

BOOST_AUTO_TEST_SUITE(commits)

// Guards against a commit that does not update row, revision and log together.
BOOST_AUTO_TEST_CASE(writeRowRevisionAndLog)
{
  test::MemoryTable table;
  auto store = makeStore(table, "a");
  BOOST_TEST(store->revision().value() == 0);
  auto entry = store->commit({ create("z1"), create("z2") });
  BOOST_REQUIRE(entry);
  BOOST_TEST(entry->revision == 1);
  BOOST_TEST(store->revision().value() == 1);
  BOOST_TEST(store->read("Zone", "z1")->resourceVersion == 1);
  BOOST_TEST(store->commit({ replace("z1", false, 1) })->revision == 2);
  Declaration remove{ DeclarationKind::Delete, test::zone("z2", ""), 1 };
  BOOST_TEST(store->commit({ remove })->revision == 3);
  BOOST_TEST((store->read("Zone", "z2").error().kind == ErrorKind::NotFound));
  auto entries = store->entriesAfter(1, 100).value();
  BOOST_REQUIRE(entries.size() == 2);
  BOOST_TEST(entries[0].changes[0].resource->resourceVersion == 2);
  BOOST_TEST((entries[1].changes[0].resource == nullptr));
  auto snapshot = store->load().value();
  BOOST_TEST(snapshot->revision() == 3);
  BOOST_TEST(!snapshot->spec<resources::Zone>("Zone", "z1")->inService);
}

// Guards against lost updates: a change based on an old resourceVersion must be rejected.
BOOST_AUTO_TEST_CASE(refuseOldVersions)
{
  test::MemoryTable table;
  auto store = makeStore(table, "a");
  BOOST_REQUIRE(store->commit({ create("z1") }));
  BOOST_TEST((store->commit({ create("z1") }).error().kind == ErrorKind::Conflict));
  BOOST_REQUIRE(store->commit({ replace("z1", false, 1) }));
  auto late = store->commit({ replace("z1", true, 1) });
  BOOST_TEST((late.error().kind == ErrorKind::Conflict));
  BOOST_TEST(late.error().field == "Zone/z1");
  BOOST_TEST((store->commit({ replace("z9", true, 1) }).error().kind == ErrorKind::NotFound));
  BOOST_TEST((store->commit({}).error().kind == ErrorKind::Invalid));
  BOOST_TEST((store->commit({ create("z3"), create("z3") }).error().kind == ErrorKind::Invalid));
  // A batch with one invalid change has no effect.
  BOOST_TEST(!store->commit({ create("z4"), replace("z1", true, 1) }).has_value());
  BOOST_TEST(store->revision().value() == 2);
}

// Guards against conflicts between concurrent changes to different resources.
BOOST_AUTO_TEST_CASE(passWhenAnotherResourceChangedInBetween)
{
  test::MemoryTable table;
  HookedTable hooked(table);
  auto store = makeStore(hooked, "a");
  auto other = makeStore(table, "b");
  hooked.beforeCommit = [&] { BOOST_TEST(other->commit({ create("z2") }).has_value()); };
  BOOST_TEST(store->commit({ create("z1") })->revision == 2);
  hooked.beforeCommit = [&] { BOOST_TEST(other->commit({ replace("z1", false, 2) }).has_value()); };
  BOOST_TEST((store->commit({ replace("z1", true, 2) }).error().kind == ErrorKind::Conflict));
  BOOST_TEST(!std::get<resources::Zone>(store->read("Zone", "z1")->spec).inService);
}

// Guards against a log that grows without bound, and against unnoticed gaps in it.
BOOST_AUTO_TEST_CASE(pruneTheLog)
{
  test::MemoryTable table;
  auto store = makeStore(table, "a");
  for (int i = 0; i < 50; ++i) {
    BOOST_REQUIRE(store->commit({ create("z" + std::to_string(i)) }));
  }
  BOOST_TEST(table.rowCount("log/") == 20);
  BOOST_TEST((store->entriesAfter(10, 100).error().kind == ErrorKind::NotFound));
  BOOST_TEST(store->entriesAfter(30, 100)->size() == 20);
  BOOST_TEST(store->entriesAfter(50, 100)->empty());
}

// Guards against a snapshot that mixes revisions when changes are committed during the scan.
BOOST_AUTO_TEST_CASE(loadOneRevision)
{
  test::MemoryTable table;
  HookedTable hooked(table);
  auto store = makeStore(hooked, "a");
  auto other = makeStore(table, "b");
  BOOST_REQUIRE(store->commit({ create("z1"), create("z2") }));
  hooked.beforeScan = [&] {
    BOOST_REQUIRE(other->commit({ replace("z1", false, 1), replace("z2", false, 1) }));
    BOOST_REQUIRE(other->commit({ { DeclarationKind::Delete, test::zone("z2", ""), 2 } }));
  };
  auto snapshot = store->load().value();
  BOOST_TEST(snapshot->revision() == 3);
  BOOST_TEST(snapshot->all().size() == 1);
  BOOST_TEST(!snapshot->spec<resources::Zone>("Zone", "z1")->inService);
}

// Guards against wrong outcomes after lost answers and requests, also with a concurrent writer.
RC_BOOST_PROP(findTheOutcomeAfterLostAnswers, ())
{
  // Few faults per case, because each takes real backoff time.
  size_t count = *rc::gen::inRange<size_t>(0, 8);
  auto faults = *rc::gen::container<std::vector<uint8_t>>(count, rc::gen::arbitrary<uint8_t>());
  test::MemoryTable table;
  HookedTable hooked(table);
  auto store = makeStore(hooked, "a");
  auto other = makeStore(table, "b");
  int number = 0;
  for (uint8_t fault : faults) {
    ++number;
    std::string name = "z" + std::to_string(number);
    uint64_t before = store->revision().value();
    if ((fault & 4U) != 0) {
      hooked.beforeCommit = [&] { RC_ASSERT(other->commit({ create("o" + name) }).has_value()); };
    }
    bool bothFail = (fault & 3U) == 3U;
    table.loseAnswers = bothFail || (fault & 1U) != 0 ? 1 : 0;
    table.dropRequests = bothFail || (fault & 2U) != 0 ? 1 : 0;
    // If the other writer commits first, it hits the faults; its outcome is checked as well.
    auto entry = store->commit({ create(name) });
    RC_ASSERT(entry.has_value());
    RC_ASSERT(store->read("Zone", name)->resourceVersion == entry->revision);
    RC_ASSERT(store->revision().value() >= before + 1);
    RC_ASSERT(store->revision().value() <= before + 2);
    hooked.beforeCommit = nullptr;
    table.loseAnswers = 0;
    table.dropRequests = 0;
  }
}

// Guards against a false outcome, and an endless wait, if the store stays unreachable.
BOOST_AUTO_TEST_CASE(reportAnUnknownOutcome)
{
  test::MemoryTable table;
  auto store = makeStore(table, "a", Milliseconds(300));
  table.loseAnswers = 1;
  table.downAfterLoss = true;
  BOOST_TEST((store->commit({ create("z1") }).error().kind == ErrorKind::UnknownOutcome));
  BOOST_TEST((store->commit({ create("z2") }).error().kind == ErrorKind::Unavailable));
}

// Guards against lost updates and false acknowledgements with concurrent writers and lost answers.
BOOST_AUTO_TEST_CASE(keepEveryAcknowledgedChangeOfConcurrentWriters)
{
  constexpr int kWriters = 6;
  constexpr int kChanges = 15;
  test::MemoryTable table;
  table.loseAnswers = 12;
  std::vector<std::thread> writers;
  std::vector<std::vector<std::string>> acknowledged(kWriters);
  for (int writer = 0; writer < kWriters; ++writer) {
    writers.emplace_back([&, writer] {
      auto store = makeStore(table, "w" + std::to_string(writer), Milliseconds(60000));
      for (int i = 0; i < kChanges; ++i) {
        std::string name = "z" + std::to_string(writer) + "-" + std::to_string(i);
        if (store->commit({ create(name) })) {
          acknowledged[writer].push_back(name);
        }
      }
    });
  }
  for (std::thread& writer : writers) {
    writer.join();
  }
  auto snapshot = makeStore(table, "reader")->load().value();
  size_t count = 0;
  for (const auto& names : acknowledged) {
    for (const std::string& name : names) {
      BOOST_TEST((snapshot->find("Zone", name) != nullptr));
      ++count;
    }
  }
  BOOST_TEST(count == snapshot->all().size());
  BOOST_TEST(snapshot->revision() == count);
}

BOOST_AUTO_TEST_SUITE_END()
