#define BOOST_TEST_MODULE routing_claim
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <thread>

#include "routing/ClaimCore.h"
#include "routing/ClaimStore.h"
#include "support/FakeTable.h"

using namespace boragepitch;
using namespace boragepitch::routing;
using namespace std::chrono_literals;

namespace {

/** Simulates three entries, each with a ClaimCore, on one table with random faults. */
struct Simulation
{
  explicit Simulation(uint32_t aSeed)
    : rng(aSeed)
  {
    for (int i = 0; i < 3; ++i) {
      cores.emplace_back(8, 1e6, 1ms);
    }
  }

  void record(size_t aEntry, const std::vector<WriteResult>& aResults)
  {
    for (const WriteResult& result : aResults) {
      RC_ASSERT(results.emplace(result.id, result).second);
      if (result.outcome == WriteOutcome::Written) {
        owners[result.row.key].insert(std::to_string(aEntry) + "/" + std::to_string(result.id));
      }
    }
  }

  void step(size_t aEntry)
  {
    ClaimCore& core = cores[aEntry];
    now += 2ms;
    record(aEntry, core.expire(now));
    auto keys = core.keysToRead();
    if (!keys.empty()) {
      record(aEntry, core.onRowsRead(table.read(keys), now));
      return;
    }
    auto transaction = core.takeTransaction(now);
    if (!transaction.checks.empty()) {
      record(aEntry, core.onCommitted(table.commit(transaction), now));
    }
  }

  void fault()
  {
    switch (base::uniformBelow(rng, 8)) {
      case 0:
        table.loseAnswers = 1;
        break;
      case 1:
        table.loseTransactions = 1;
        break;
      case 2:
        table.failReads = 1;
        break;
      case 3:
        table.away = !table.away;
        break;
      default:
        break;
    }
  }

  base::Rng rng;
  test::FakeTable table;
  std::vector<ClaimCore> cores;
  base::TimePoint now{ 1h };
  std::map<uint64_t, WriteResult> results;
  std::map<std::string, std::set<std::string>> owners;
};

} // namespace

// Guards against two entries acquiring the same key, and against a claim that never gets a result,
// when entries compete for keys while transactions and their answers are lost, reads fail and the
// table is unavailable.
RC_BOOST_PROP(atMostOneClaimAcquiresAKey, (uint32_t aSeed))
{
  Simulation simulation(aSeed);
  uint64_t last = 0;
  for (int i = 0; i < 150; ++i) {
    size_t entry = base::uniformBelow<size_t>(simulation.rng, 3);
    if (i < 100) {
      uint64_t id = ++last;
      std::string key = "claim/w/" + std::to_string(base::uniformBelow(simulation.rng, 10));
      simulation.cores[entry].submit(
        { id, key, "claim " + std::to_string(id), 0, simulation.now + 1s });
      simulation.fault();
    } else {
      simulation.table.away = false;
    }
    simulation.step(entry);
  }
  for (int i = 0; i < 3000 && simulation.results.size() < last; ++i) {
    simulation.step(i % 3);
  }
  RC_ASSERT(simulation.results.size() == last);
  for (const auto& [key, owners] : simulation.owners) {
    RC_ASSERT(owners.size() <= 1);
    RC_ASSERT(simulation.table.history[key].size() == 1);
  }
}

// Guards against one transaction per claim, which would exceed the table's write rate.
BOOST_AUTO_TEST_CASE(claimsShareTransactions)
{
  test::FakeTable table;
  ClaimCore core(64, 1e6, 1ms);
  base::TimePoint now{ 1h };
  for (uint64_t i = 1; i <= 100; ++i) {
    core.submit({ i, "claim/w/" + std::to_string(i), "v", 0, now + 1s });
  }
  size_t written = 0;
  while (core.pending() > 0) {
    now += 1ms;
    written += core.onCommitted(table.commit(core.takeTransaction(now)), now).size();
  }
  BOOST_TEST(written == 100);
  BOOST_TEST(table.transactions.load() == 2);
}

// Guards against pruning a claim that changed, or one that was observed for less than the age.
BOOST_AUTO_TEST_CASE(prunesOnlyUnchangedRows)
{
  base::TimePoint now{ 1h };
  PruneCore prune(10min, 2);
  BOOST_TEST(prune.observe({ { "a", "x", 1 }, { "b", "x", 2 }, { "c", "x", 3 } }, now).empty());
  BOOST_TEST(prune.tracked() == 2);
  auto old = prune.observe({ { "a", "x", 1 }, { "b", "y", 4 } }, now + 11min);
  BOOST_REQUIRE(old.size() == 1);
  BOOST_TEST(old[0].key == "a");
  BOOST_TEST(old[0].version == 1);
}

// Guards against a stored response that is decoded differently, with arbitrary bytes in its body.
RC_BOOST_PROP(claimsSurviveEncoding, (const std::string& aBody, const std::string& aKey))
{
  Claim claim;
  claim.state = ClaimState::Done;
  claim.id = "id";
  claim.fingerprint = "f";
  claim.serviceResponse = { 201, "text/plain", aBody };
  auto read = decodeClaim({ claimKey("w", aKey), encodeClaim(claim), 7 });
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->serviceResponse.body == aBody && read->serviceResponse.status == 201 &&
            read->version == 7);
}

// Guards against two acquisitions of one key by concurrent threads of two entries, against a repeat
// that does not get the first answer, and against a released key that cannot be claimed again.
BOOST_AUTO_TEST_CASE(keyIsAcquiredOnceAndReplayed)
{
  test::FakeTable table;
  ClaimStore first(table, { .owner = "e1", .incarnation = "1", .transactionsPerSecond = 1000 });
  ClaimStore second(table, { .owner = "e2", .incarnation = "1", .transactionsPerSecond = 1000 });
  table.loseAnswers = 3;
  std::atomic<int> acquired{ 0 };
  std::vector<std::thread> threads;
  for (int i = 0; i < 16; ++i) {
    threads.emplace_back([&, i] {
      auto result = (i % 2 == 0 ? first : second).acquire("w", "k", "f", 20s);
      acquired += result && result->acquired ? 1 : 0;
      if (result && result->acquired) {
        (i % 2 == 0 ? first : second).finish("w", "k", result->claim, { 200, "t", "answer" }, 20s);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  BOOST_TEST(acquired.load() == 1);
  auto repeat = second.acquire("w", "k", "f", 20s);
  BOOST_REQUIRE(repeat);
  BOOST_TEST(!repeat->acquired);
  BOOST_TEST((repeat->claim.state == ClaimState::Done));
  BOOST_TEST(repeat->claim.serviceResponse.body == "answer");

  auto other = first.acquire("w", "k2", "f", 20s);
  BOOST_REQUIRE(other);
  BOOST_TEST(other->acquired);
  BOOST_TEST(first.release("w", "k2", other->claim, 20s));
  BOOST_TEST(second.acquire("w", "k2", "f", 20s)->acquired);
}

// Guards against running a call whose claim was not confirmed, and against a key that stays claimed
// after such a refusal.
BOOST_AUTO_TEST_CASE(unavailableTableRefusesClaims)
{
  test::FakeTable table;
  ClaimStore store(table, { .owner = "e", .incarnation = "1", .retryDelay = 5ms });
  table.away = true;
  auto refused = store.acquire("w", "k", "f", 50ms);
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().kind == base::ErrorKind::Unavailable));
  table.away = false;
  // A write that was in progress when the caller was refused may still succeed; it is taken back.
  auto claimed = store.acquire("w", "k", "f", 20s);
  for (int i = 0; i < 100 && !claimed->acquired; ++i) {
    std::this_thread::sleep_for(20ms);
    claimed = store.acquire("w", "k", "f", 20s);
  }
  BOOST_TEST(claimed->acquired);
}

// Guards against outcomes that are never removed, and against removing one too early.
BOOST_AUTO_TEST_CASE(prunerRemovesOldClaims)
{
  test::FakeTable table;
  base::TimePoint now{ 1h };
  auto put = [&](const std::string& aKey) {
    BOOST_REQUIRE(
      table.commit({ .id = "t", .checks = { { aKey, 0 } }, .puts = { { aKey, "v" } } }));
  };
  for (int i = 0; i < 300; ++i) {
    put("claim/w/" + std::to_string(i));
  }
  put("res/Zone/a");
  ClaimPruner pruner(table, 10min);
  auto sweep = [&] {
    size_t removed = 0;
    for (int i = 0; i < 20; ++i) {
      auto count = pruner.step(now);
      removed += count ? *count : 0;
    }
    return removed;
  };
  BOOST_TEST(sweep() == 0);
  now += 9min;
  put("claim/w/young");
  BOOST_TEST(sweep() == 0);
  now += 2min;
  BOOST_TEST(sweep() == 300);
  BOOST_TEST(table.scan("", "", 1000)->size() == 2);
}
