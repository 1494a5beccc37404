#define BOOST_TEST_MODULE controlCores
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "../src/ConfigMerge.h"
#include "../src/Freshness.h"
#include "../src/NodeMerge.h"
#include "../src/Schedule.h"
#include "ControlSupport.h"

using namespace boragepitch;
using namespace boragepitch::control;
using base::Milliseconds;
using base::TimePoint;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

LogEntry entry(uint64_t aRevision)
{
  auto changed = test::zone("z" + std::to_string(aRevision % 3), "r", aRevision % 2 == 0);
  changed.resourceVersion = aRevision;
  bool deleted = aRevision % 5 == 0;
  auto resource = deleted ? nullptr : std::make_shared<const resources::Resource>(changed);
  return { aRevision, "t", { { "Zone", changed.name, resource } } };
}

std::map<std::string, uint64_t> versions(const resources::Snapshot& aSnapshot)
{
  std::map<std::string, uint64_t> found;
  for (const auto& [key, resource] : aSnapshot.all()) {
    found[key.second] = resource->resourceVersion;
  }
  return found;
}

std::shared_ptr<const resources::Snapshot> snapshotAt(uint64_t aRevision)
{
  ConfigMerge merge;
  for (uint64_t i = 1; i <= aRevision; ++i) {
    merge.adopt({ entry(i) });
  }
  return merge.snapshot();
}

std::map<std::string, std::tuple<uint64_t, uint64_t, Liveness>> heads(const NodeMerge& aMerge)
{
  std::map<std::string, std::tuple<uint64_t, uint64_t, Liveness>> found;
  for (const auto& [id, item] : aMerge.table()) {
    found[id] = { item.state.incarnation, item.state.sequence, item.liveness };
  }
  return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration)

// Guards against reverted, skipped or mixed revisions with reordered, lost or duplicated messages.
RC_BOOST_PROP(neverReverts, (const std::vector<std::pair<uint8_t, bool>>& aMessages))
{
  ConfigMerge merge;
  uint64_t highest = 0;
  for (auto [number, whole] : aMessages) {
    uint64_t revision = number % 30;
    if (whole) {
      merge.adopt(snapshotAt(revision));
    } else if (revision > 0) {
      merge.adopt({ entry(revision), entry(revision + 1) });
    }
    RC_ASSERT(merge.revision() >= highest);
    highest = merge.revision();
    RC_ASSERT(versions(*merge.snapshot()) == versions(*snapshotAt(highest)));
    for (uint64_t base = 0; base < highest; ++base) {
      auto entries = merge.entriesAfter(base, 100);
      if (entries) {
        RC_ASSERT(entries->front().revision == base + 1);
        RC_ASSERT(entries->back().revision == highest);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(records)

// Guards against processes that end with different records after receiving the same records in a
// different order, with duplicates and stale copies.
RC_BOOST_PROP(convergeInAnyOrder, ())
{
  using RecordUpdate = std::tuple<int, int, int, int>;
  auto update = rc::gen::tuple(
    rc::gen::inRange(1, 6), rc::gen::inRange(1, 4), rc::gen::inRange(1, 5), rc::gen::inRange(0, 3));
  auto updates = *rc::gen::container<std::vector<RecordUpdate>>(update);
  std::vector<RecordUpdate> shuffled = updates;
  base::Rng rng(*rc::gen::arbitrary<uint64_t>());
  std::shuffle(shuffled.begin(), shuffled.end(), rng);
  for (size_t i = 0; i < updates.size() / 2; ++i) {
    shuffled.push_back(updates[base::uniformBelow(rng, updates.size())]);
  }
  // Both start with an alive record of every process.
  NodeMerge left(test::node(0), {});
  NodeMerge right(test::node(0), {});
  auto mergeAll = [](NodeMerge& aMerge, const std::vector<RecordUpdate>& aUpdates) {
    for (int id = 1; id < 6; ++id) {
      aMerge.merge(test::node(id), Liveness::Alive, kStart);
    }
    for (auto [id, incarnation, sequence, liveness] : aUpdates) {
      NodeState state = test::node(id);
      state.incarnation = incarnation;
      state.sequence = sequence;
      auto before = aMerge.find(state.id)->state;
      aMerge.merge(state, static_cast<Liveness>(liveness), kStart);
      RC_ASSERT(!supersedes(before, aMerge.find(state.id)->state));
    }
    aMerge.tick(kStart + Milliseconds(3000));
  };
  mergeAll(left, updates);
  mergeAll(right, shuffled);
  RC_ASSERT(heads(left) == heads(right));
  RC_ASSERT(left.digest() == right.digest());
}

// Guards against a live process that stays suspect or dead, and against a refutation that peers
// ignore.
RC_BOOST_PROP(areRefutedByTheirProcess, (uint8_t aSequence, bool aDead, bool aOtherStart))
{
  NodeMerge self(test::node(0), {});
  uint64_t incarnation = aOtherStart ? 7 : 1;
  RecordHead claim{ "node-0", incarnation, aSequence, aDead ? Liveness::Dead : Liveness::Suspect };
  self.mergeHead(claim, kStart);
  RC_ASSERT(self.find("node-0")->liveness == Liveness::Alive);
  NodeMerge other(test::node(1), {});
  NodeState stale = test::node(0);
  stale.incarnation = incarnation;
  stale.sequence = aSequence;
  other.merge(stale, Liveness::Suspect, kStart);
  other.merge(self.self(), Liveness::Alive, kStart);
  RC_ASSERT(other.find("node-0")->liveness == Liveness::Alive);
}

// Guards against wrong timeouts of suspicion, death and removal, and against a suspicion timeout
// for a process that announced its leaving.
BOOST_AUTO_TEST_CASE(passThroughSuspicionToDeath)
{
  NodeMerge merge(test::node(0), {});
  merge.merge(test::node(1), Liveness::Alive, kStart);
  NodeState leaving = test::node(2);
  leaving.phase = Phase::Leaving;
  merge.merge(leaving, Liveness::Alive, kStart);
  BOOST_TEST(merge.reportUnreachable("node-1", kStart));
  BOOST_TEST(merge.reportUnreachable("node-2", kStart));
  BOOST_TEST(!merge.reportUnreachable("node-0", kStart));
  BOOST_TEST((merge.find("node-1")->liveness == Liveness::Suspect));
  BOOST_TEST((merge.find("node-2")->liveness == Liveness::Dead));
  merge.tick(kStart + Milliseconds(2999));
  BOOST_TEST((merge.find("node-1")->liveness == Liveness::Suspect));
  merge.tick(kStart + Milliseconds(3000));
  BOOST_TEST((merge.find("node-1")->liveness == Liveness::Dead));
  merge.tick(kStart + Milliseconds(40000));
  BOOST_TEST((merge.find("node-1") == nullptr));
  // A dead record from a peer does not bring the removed record back.
  BOOST_TEST(!merge.merge(test::node(1), Liveness::Dead, kStart + Milliseconds(40000)));
}

// Guards against processes declared dead at once after a partition heals.
BOOST_AUTO_TEST_CASE(treatAReportedDeathAsASuspicion)
{
  NodeMerge merge(test::node(0), {});
  merge.merge(test::node(1), Liveness::Alive, kStart);
  merge.mergeHead({ "node-1", 1, 1, Liveness::Dead }, kStart);
  BOOST_TEST((merge.find("node-1")->liveness == Liveness::Suspect));
  merge.restartTimers(kStart + Milliseconds(2900));
  merge.tick(kStart + Milliseconds(3100));
  BOOST_TEST((merge.find("node-1")->liveness == Liveness::Suspect));
}

// Guards against records of deleted VMs that are never removed, and against removing VMs that the
// lagging list does not show yet.
BOOST_AUTO_TEST_CASE(followTheVmListAfterTheGracePeriod)
{
  NodeMerge merge(test::node(0), {});
  NodeState one = test::node(1);
  NodeState two = test::node(2);
  merge.merge(one, Liveness::Alive, kStart);
  merge.merge(two, Liveness::Alive, kStart);
  merge.setListedHosts({ one.controlAddress.host }, kStart);
  merge.setListedHosts({}, kStart);
  merge.tick(kStart + Milliseconds(59000));
  BOOST_TEST((merge.find("node-1") != nullptr));
  merge.tick(kStart + Milliseconds(60000));
  BOOST_TEST((merge.find("node-1") == nullptr));
  BOOST_TEST((merge.find("node-2") != nullptr)); // Never listed yet.
  BOOST_TEST(!merge.merge(one, Liveness::Alive, kStart + Milliseconds(60000)));
  merge.setListedHosts({ one.controlAddress.host }, kStart + Milliseconds(61000));
  BOOST_TEST(merge.merge(one, Liveness::Alive, kStart + Milliseconds(61000)));
}

// Guards against fields lost in the JSON form.
BOOST_AUTO_TEST_CASE(keepEveryFieldInJson)
{
  NodeState state = test::node(3);
  state.kind = NodeKind::Entry;
  state.phase = Phase::Leaving;
  state.dataAddress = { "10.0.0.4", 7002 };
  state.weightsAddress = { "10.0.0.4", 7003 };
  state.endpoint = "e";
  state.held = { "m1", "m2" };
  state.fetching = { "m3" };
  state.originChanged = { "m4" };
  state.serving = { { "model", "1", "m1" } };
  state.instance = "boot";
  state.cold = false;
  state.coldLimit = 2;
  state.warmLimit = 9;
  state.suspects = { { "f", "c" } };
  auto decoded = decodeNode(encodeNode(state));
  BOOST_REQUIRE(decoded);
  BOOST_TEST(encodeNode(*decoded) == encodeNode(state));
  BOOST_TEST((decoded->serving == state.serving));
  BOOST_TEST((decoded->suspects == state.suspects));
  BOOST_TEST((decoded->weightsAddress == state.weightsAddress));
  BOOST_TEST(decoded->warmLimit == 9);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(freshness)

// Guards against evidence that looks younger after relaying: with any delays, the time that a
// process derives from the ages is never later than the actual store read.
RC_BOOST_PROP(agesNeverShrinkByRelaying, (const std::vector<std::tuple<uint8_t, uint8_t>>& aHops))
{
  TimePoint now = kStart;
  std::vector<Freshness> processes(2, Freshness("r", Milliseconds(3000)));
  processes[0].storeRead(now);
  int at = 0;
  for (auto [before, after] : aHops) {
    TimePoint sent = now;
    now += std::chrono::microseconds(7 * before + 1);
    EvidenceAges ages = decodeAges(encodeAges(processes[at].ages(now))).value();
    now += std::chrono::microseconds(11 * after + 1);
    Freshness next("r", Milliseconds(3000));
    next.peerAnswered("r", ages, sent);
    if (!ages.store) {
      return;
    }
    RC_ASSERT(now - *next.ages(now).store <= kStart);
    at = 1 - at;
    processes[at] = next;
  }
}

// Guards against an isolated process that counts as fresh, and against a miscounted majority.
BOOST_AUTO_TEST_CASE(needsTheStoreOrAMajorityOfRegions)
{
  Freshness freshness("a", Milliseconds(3000));
  freshness.setRegions({ "a", "b", "c", "d", "e" });
  BOOST_TEST(!freshness.isFresh(kStart));
  freshness.peerAnswered("a", {}, kStart);
  freshness.peerAnswered("b", {}, kStart);
  BOOST_TEST(!freshness.isFresh(kStart));
  freshness.peerAnswered("b", { {}, { { "c", Milliseconds(1000) } } }, kStart);
  BOOST_TEST(freshness.isFresh(kStart + Milliseconds(1999)));
  BOOST_TEST(!freshness.isFresh(kStart + Milliseconds(2000)));
  freshness.storeRead(kStart + Milliseconds(1500));
  BOOST_TEST(freshness.isFresh(kStart + Milliseconds(4499)));
  BOOST_TEST(!freshness.isFresh(kStart + Milliseconds(4500)));
}

// Guards against using old evidence after a pause, or answers to requests sent before its end.
BOOST_AUTO_TEST_CASE(ignoresEarlierEvidenceAfterAPause)
{
  Freshness freshness("a", Milliseconds(3000));
  freshness.storeRead(kStart);
  freshness.invalidate(kStart + Milliseconds(2100));
  BOOST_TEST(!freshness.isFresh(kStart + Milliseconds(2200)));
  BOOST_TEST(!freshness.ages(kStart + Milliseconds(2200)).store.has_value());
  freshness.peerAnswered("a", {}, kStart + Milliseconds(2000));
  BOOST_TEST(!freshness.isFresh(kStart + Milliseconds(2200)));
  freshness.peerAnswered("a", {}, kStart + Milliseconds(2150));
  BOOST_TEST(freshness.isFresh(kStart + Milliseconds(2200)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(schedules)

// Guards against a fleet that exceeds its read budget, and against too long poll periods.
BOOST_AUTO_TEST_CASE(shareTheBudget)
{
  PollSchedule schedule(40, Milliseconds(16000));
  BOOST_TEST(base::toMilliseconds(schedule.period(3)) == 500);
  BOOST_TEST(base::toMilliseconds(schedule.period(330)) == 8250);
  BOOST_TEST(base::toMilliseconds(schedule.period(930)) == 16000);
}

// Guards against VM list reads whose bandwidth grows with the fleet.
BOOST_AUTO_TEST_CASE(readALongVmListLessOften)
{
  base::Rng rng(3);
  for (int i = 0; i < 200; ++i) {
    auto small = base::toMilliseconds(vmListDelay(Milliseconds(10000), 15, rng));
    BOOST_TEST(small >= 7500);
    BOOST_TEST(small <= 12500);
    auto large = base::toMilliseconds(vmListDelay(Milliseconds(10000), 930, rng));
    BOOST_TEST(large >= 69750);
    BOOST_TEST(large <= 116250);
  }
}

// Guards against a burst of reads when the store recovers from an outage.
BOOST_AUTO_TEST_CASE(spreadReadsAfterAnOutage)
{
  constexpr int kNodes = 930;
  constexpr int kOutageMs = 300000;
  base::Rng rng(7);
  std::vector<PollSchedule> fleet(kNodes, PollSchedule(40, Milliseconds(16000)));
  std::map<int, int> readsBySecond;
  for (int ms = 0; ms < kOutageMs + 60000; ms += 50) {
    TimePoint now = kStart + Milliseconds(ms);
    for (PollSchedule& schedule : fleet) {
      if (!schedule.isDue(now)) {
        continue;
      }
      ++readsBySecond[ms / 1000];
      if (ms < kOutageMs) {
        schedule.failed(kNodes, now, rng);
      } else {
        schedule.succeeded(kNodes, now, rng);
      }
    }
  }
  int maxReads = 0;
  for (int second = kOutageMs / 1000 - 60; second < kOutageMs / 1000 + 60; ++second) {
    maxReads = std::max(maxReads, readsBySecond[second]);
  }
  BOOST_TEST_MESSAGE("most reads in one second around the return: " << maxReads);
  BOOST_TEST(maxReads <= 200);
}

// Guards against pushes that go mostly to other regions.
BOOST_AUTO_TEST_CASE(pushHalfIntoTheOwnZone)
{
  NodeTable table;
  for (int i = 0; i < 60; ++i) {
    table[test::node(i).id].state = test::node(i);
  }
  table["node-3"].liveness = Liveness::Dead;
  base::Rng rng(1);
  for (int i = 0; i < 100; ++i) {
    auto peers = choosePushPeers(table, test::node(0), 4, rng);
    BOOST_REQUIRE(peers.size() == 4);
    BOOST_TEST(std::set<std::string>(peers.begin(), peers.end()).size() == 4);
    auto inOwnZone = std::count_if(peers.begin(), peers.end(), [&](const std::string& aId) {
      BOOST_TEST((aId != "node-0" && aId != "node-3"));
      return table[aId].state.zone == "zone-0";
    });
    BOOST_TEST(inOwnZone == 2);
  }
}

// Guards against undetected pauses, and against normal ticks reported as pauses.
BOOST_AUTO_TEST_CASE(detectPauses)
{
  PauseDetector detector{ Milliseconds(2000) };
  BOOST_TEST(!detector.tick(kStart).has_value());
  BOOST_TEST(!detector.tick(kStart + Milliseconds(2000)).has_value());
  BOOST_TEST(detector.tick(kStart + Milliseconds(4001)).has_value());
  BOOST_TEST(!detector.tick(kStart + Milliseconds(4100)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
