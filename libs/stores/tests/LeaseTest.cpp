#define BOOST_TEST_MODULE platformLease
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <deque>
#include <thread>

#include "stores/Lease.h"
#include "support/MemoryTable.h"

using namespace boragepitch;
using base::Milliseconds;
using base::TimePoint;

namespace {

constexpr Milliseconds kDuration{ 900 };

/** One process with its own clock rate, whose calls may be lost, delayed or interrupted by pauses.
 */
struct Process
{
  Process(int aIndex, double aRate)
    : keeper({ "planner", "process-" + std::to_string(aIndex), kDuration })
    , rate(aRate)
  {
  }

  TimePoint clock(int64_t aTrueMs) const
  {
    return TimePoint(std::chrono::hours(1)) +
           std::chrono::microseconds(int64_t(double(aTrueMs) * 1000 * rate));
  }

  stores::LeaseKeeper keeper;
  double rate;
  std::optional<stores::Transaction> sent; ///< Planned, not yet at the table.
};

struct World
{
  test::MemoryTable table;
  std::vector<Process> processes;
  std::deque<stores::Transaction> late; ///< Given up by the sender, may still reach the table.
  int64_t now = 0;
  uint64_t highestFencing = 0;
  int lastHolder = -1;

  void read(Process& aProcess)
  {
    auto rows = table.read({ aProcess.keeper.rowKey() }).value();
    aProcess.keeper.observe(rows.empty() ? std::nullopt : std::optional(rows.front()),
                            aProcess.clock(now));
  }

  void act(Process& aProcess, int aAction)
  {
    switch (aAction) {
      case 0:
        read(aProcess);
        break;
      case 1:
        if (!aProcess.sent) {
          aProcess.sent = aProcess.keeper.plan(aProcess.clock(now));
        }
        break;
      case 2:
      case 3:
        deliver(aProcess, aAction == 3);
        break;
      case 4: // The request is delayed in the network and its sender gives up.
        if (aProcess.sent) {
          late.push_back(*aProcess.sent);
          aProcess.sent.reset();
        }
        break;
      default:
        if (!late.empty()) {
          (void)table.commit(late.front());
          late.pop_front();
        }
    }
  }

  void deliver(Process& aProcess, bool aLoseAnswer)
  {
    if (!aProcess.sent) {
      return;
    }
    table.loseAnswers = aLoseAnswer ? 1 : 0;
    auto answer = table.commit(*aProcess.sent);
    table.loseAnswers = 0;
    aProcess.keeper.handleAnswer(*aProcess.sent, answer, aProcess.clock(now));
    aProcess.sent.reset();
  }

  void checkInvariants()
  {
    int holders = 0;
    for (int i = 0; i < int(processes.size()); ++i) {
      const auto& process = processes[i];
      uint64_t fencing = process.keeper.fencing(process.clock(now));
      if (fencing == 0) {
        continue;
      }
      ++holders;
      RC_ASSERT(fencing >= highestFencing);
      RC_ASSERT(fencing > highestFencing || i == lastHolder);
      highestFencing = fencing;
      lastHolder = i;
    }
    RC_ASSERT(holders <= 1);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(keeper)

// Guards against two holders at once and against fencing numbers that do not increase, with pauses
// at any step, lost and late requests, lost answers and clock rates that differ by a tenth.
RC_BOOST_PROP(hasOneHolderAtATime, ())
{
  World world;
  world.processes.emplace_back(0, 0.95);
  world.processes.emplace_back(1, 1.0);
  world.processes.emplace_back(2, 1.05);
  auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
    300,
    rc::gen::tuple(
      rc::gen::inRange(0, 3),
      rc::gen::weightedElement<int>({ { 6, 0 }, { 6, 1 }, { 6, 2 }, { 2, 3 }, { 1, 4 }, { 2, 5 } }),
      rc::gen::weightedOneOf<int>(
        { { 8, rc::gen::inRange(0, 60) }, { 1, rc::gen::inRange(0, 1500) } })));
  for (auto [process, action, pause] : steps) {
    world.now += pause;
    world.checkInvariants();
    world.act(world.processes[process], action);
    world.checkInvariants();
  }
  RC_CLASSIFY(world.highestFencing == 0, "never held");
  RC_CLASSIFY(world.highestFencing > 1, "changed hands");
}

// Guards against a lease that no process takes over after its holder crashed.
RC_BOOST_PROP(isTakenOverAfterTheHolderDies, ())
{
  World world;
  world.processes.emplace_back(0, 1.0);
  world.processes.emplace_back(1, 1.0);
  auto step = [&](int aIndex) {
    Process& process = world.processes[aIndex];
    world.read(process);
    process.sent = process.keeper.plan(process.clock(world.now));
    world.deliver(process, false);
  };
  step(0);
  RC_ASSERT(world.processes[0].keeper.holds(world.processes[0].clock(world.now)));
  int pause = *rc::gen::inRange(1, 300);
  for (int64_t end = world.now + 3 * kDuration.count(); world.now < end; world.now += pause) {
    step(1);
    world.checkInvariants();
  }
  RC_ASSERT(world.processes[1].keeper.fencing(world.processes[1].clock(world.now - pause)) == 2);
}

// Guards against a fencing number that restarts after its row was deleted or damaged.
BOOST_AUTO_TEST_CASE(neverLowersTheFencingNumber)
{
  stores::LeaseKeeper keeper({ "planner", "a", kDuration });
  TimePoint now{ std::chrono::hours(1) };
  stores::LeaseRow row{ "b", 7, kDuration, "token" };
  keeper.observe(stores::Row{ "lease/planner", stores::encodeLeaseRow(row), 5 }, now);
  BOOST_TEST(!keeper.plan(now + kDuration / 2).has_value());
  keeper.observe(std::nullopt, now);
  auto taken = keeper.plan(now);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST(stores::decodeLeaseRow(taken->puts.front().value)->fencing == 8);
  keeper.observe(stores::Row{ "lease/planner", "damaged", 9 }, now);
  BOOST_TEST(!keeper.plan(now + 10 * kDuration).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(runner)

namespace {

template<typename Condition>
bool eventually(Condition aCondition)
{
  for (int i = 0; i < 3000; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return false;
}

std::unique_ptr<stores::LeaseRunner> makeRunner(test::MemoryTable& aTable,
                                                const base::Clock& aClock,
                                                const std::string& aOwner)
{
  return stores::LeaseRunner::Builder()
    .table(aTable)
    .clock(aClock)
    .lease({ "planner", aOwner, Milliseconds(300) })
    .build();
}

/** Real time plus a jump that the test sets, as after a pause. */
class JumpingClock final : public base::Clock
{
public:
  TimePoint now() const override
  {
    return std::chrono::steady_clock::now() + Milliseconds(jump.load());
  }
  std::atomic<int> jump{ 0 };
};

} // namespace

// Guards against a holder that still writes when its deadline passed during a pause, and against
// the table accepting such a write when the holder checked its deadline before the pause.
BOOST_AUTO_TEST_CASE(fencesAPausedHolder)
{
  test::MemoryTable table;
  JumpingClock clock;
  auto first = makeRunner(table, clock, "first");
  first->start();
  BOOST_REQUIRE(eventually([&] { return first->holds(); }));
  BOOST_TEST(eventually([&] {
    return first->fencedCommit({ "t1", {}, { { "row", "first" } }, {} }).has_value();
  }));
  auto stale = table.read({ "lease/planner" }).value().front();
  table.setDown(true); // Renewals fail from here on.
  clock.jump = 5000;
  BOOST_TEST(!first->holds());
  auto refused = first->fencedCommit({ "t2", {}, { { "row", "late" } }, {} });
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().kind == base::ErrorKind::Unavailable));
  first->stop();
  table.setDown(false);

  auto second = makeRunner(table, clock, "second");
  second->start();
  BOOST_REQUIRE(eventually([&] { return second->holds(); }));
  BOOST_TEST(second->fencing() == 2);
  auto late =
    table.commit({ "t3", { { "lease/planner", stale.version } }, { { "row", "x" } }, {} });
  BOOST_TEST(!late.has_value());
  BOOST_TEST(table.read({ "row" }).value().front().value == "first");
  second->stop();
}

// Guards against a next holder that must wait for the whole duration after an orderly stop.
BOOST_AUTO_TEST_CASE(releasesAtStop)
{
  test::MemoryTable table;
  base::SteadyClock clock;
  auto first = makeRunner(table, clock, "first");
  first->start();
  BOOST_REQUIRE(eventually([&] { return first->holds(); }));
  first->stop();
  auto row = stores::decodeLeaseRow(table.read({ "lease/planner" }).value().front().value);
  BOOST_TEST(row->owner.empty());
  BOOST_TEST(row->fencing == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(epochs)

// Guards against repeated or decreasing epochs when answers or requests are lost.
RC_BOOST_PROP(riseUnderLostAnswers, (const std::vector<uint8_t>& aFaults))
{
  test::MemoryTable table;
  stores::EpochIssuer issuer(table, "agent");
  uint64_t last = 0;
  for (uint8_t fault : aFaults) {
    table.loseAnswers = fault % 3;
    table.dropRequests = (fault / 3) % 3;
    uint64_t reported = fault % 5 == 0 ? last + fault : 0;
    auto epoch = issuer.issue("endpoint-1", reported);
    RC_ASSERT(epoch.has_value());
    RC_ASSERT(*epoch > last);
    RC_ASSERT(*epoch > reported);
    last = *epoch;
  }
}

// Guards against an epoch that is issued while the store is down.
BOOST_AUTO_TEST_CASE(failWhileTheStoreIsDown)
{
  test::MemoryTable table;
  stores::EpochIssuer issuer(table, "agent");
  table.down = true;
  BOOST_TEST(!issuer.issue("endpoint-1").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
