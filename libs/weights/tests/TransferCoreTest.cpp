#define BOOST_TEST_MODULE weights_transfer_core
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <deque>

#include "../src/Membership.h"
#include "../src/TransferCore.h"

using namespace boragepitch;
using namespace boragepitch::weights;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t kChunkSize = 8;

struct Blob
{
  std::vector<std::byte> bytes;
  std::shared_ptr<const Manifest> manifest;

  std::vector<std::byte> chunk(uint32_t aChunk) const
  {
    auto begin = bytes.begin() + static_cast<ptrdiff_t>(manifest->offsetOf(aChunk));
    return { begin, begin + manifest->sizeOf(aChunk) };
  }
};

Blob makeBlob(base::Rng& aRng)
{
  Blob blob;
  blob.bytes.resize(1 + base::uniformBelow(aRng, 400));
  for (std::byte& byte : blob.bytes) {
    byte = static_cast<std::byte>(aRng());
  }
  blob.manifest =
    std::make_shared<const Manifest>(Manifest::fromBytes("m", "v", kChunkSize, blob.bytes).value());
  return blob;
}

DistributorOptions options(Scheme aScheme)
{
  DistributorOptions options;
  options.scheme = aScheme;
  options.neighbours = 3;
  options.importersPerRegion = 2;
  options.importerTimeout = 300ms;
  options.avoidTime = 500ms;
  options.backoffCap = 500ms;
  return options;
}

/** A VM in the simulated fleet: its TransferCore and the chunks in its host. */
struct Node
{
  std::string id;
  std::string region;
  bool alive = true;
  std::unique_ptr<TransferCore> core;
  std::map<uint32_t, std::vector<std::byte>> host;
  std::set<std::pair<uint64_t, uint32_t>> requested; ///< (generation, chunk) in flight.
};

/**
 * Fleet without I/O. Each step picks a random event: an announcement (current or stale), a request,
 * a response (in any order, corrupt, broken or refused), a crash or a restart.
 */
class Simulation
{
public:
  Simulation(Scheme aScheme, uint64_t aSeed, bool aOriginChanges)
    : mRng(aSeed)
    , mScheme(aScheme)
    , mBlob(makeBlob(mRng))
    , mOriginChanges(aOriginChanges)
  {
    int count = 2 + base::uniformBelow(mRng, 7);
    for (int i = 0; i < count; ++i) {
      mNodes.push_back({ .id = "vm" + std::to_string(i), .region = "r" + std::to_string(i % 2) });
    }
    for (Node& node : mNodes) {
      restart(node);
    }
  }

  void run()
  {
    for (int step = 0; step < kFaultySteps; ++step) {
      mFaults = true;
      this->step();
    }
    mFaults = false;
    for (int step = 0; step < kMaxSteps && !finished(); ++step) {
      this->step();
    }
  }

  bool finished() const
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [this](const Node& aNode) {
      auto state = stateOf(aNode);
      return !aNode.alive || state == TransferState::Verifying ||
             state == TransferState::OriginChanged;
    });
  }

  /** Each VM ends with exactly the declared bytes or with OriginChanged; the host never holds other
   * bytes. */
  void check() const
  {
    for (const Node& node : mNodes) {
      for (const auto& [chunk, bytes] : node.host) {
        RC_ASSERT(mBlob.manifest->verifies(chunk, bytes));
      }
      const Task* task = node.core->find(mBlob.manifest->id());
      RC_ASSERT(task->own.count() <= node.host.size());
      if (!node.alive) {
        continue;
      }
      if (task->state == TransferState::Verifying) {
        RC_ASSERT(node.host.size() == mBlob.manifest->chunkCount());
      } else {
        RC_ASSERT(task->state == TransferState::OriginChanged && mOriginChanges);
        RC_ASSERT(task->error.has_value());
      }
    }
  }

private:
  static constexpr int kFaultySteps = 400;
  static constexpr int kMaxSteps = 60000;

  struct PendingRequest
  {
    Node* node;
    Assignment assignment;
  };

  TransferState stateOf(const Node& aNode) const
  {
    return aNode.core->find(mBlob.manifest->id())->state;
  }

  void restart(Node& aNode)
  {
    aNode.alive = true;
    aNode.host.clear();
    aNode.requested.clear();
    LocalVm localVm{ .id = aNode.id, .region = aNode.region, .originRegion = "r0" };
    aNode.core = std::make_unique<TransferCore>(options(mScheme), localVm);
    aNode.core->setWanted(
      { { .manifest = mBlob.manifest->id(), .originName = "m/v" } }, mNow, mRng);
    aNode.core->setManifest(mBlob.manifest->id(), mBlob.manifest);
    auto generation = aNode.core->find(mBlob.manifest->id())->generation;
    aNode.core->beginFetching(
      mBlob.manifest->id(), generation, Bitmap(mBlob.manifest->chunkCount()), mNow);
    refreshMembers();
  }

  void refreshMembers()
  {
    Members members;
    for (const Node& node : mNodes) {
      if (node.alive) {
        members[node.region].push_back(node.id);
      }
    }
    for (Node& node : mNodes) {
      if (node.alive && node.core) {
        node.core->setMembers(mBlob.manifest->id(), members, mNow);
      }
    }
  }

  bool oneIn(int aCount) { return base::uniformBelow(mRng, aCount) == 0; }
  Node& anyNode() { return mNodes[base::uniformBelow(mRng, mNodes.size())]; }

  void step()
  {
    mNow += base::Milliseconds(base::uniformBelow(mRng, 20));
    if (mFaults && oneIn(40)) {
      crashOrRestart();
    }
    switch (base::uniformBelow(mRng, 3)) {
      case 0:
        announce();
        break;
      case 1:
        request();
        break;
      default:
        respond();
        break;
    }
  }

  void crashOrRestart()
  {
    Node& node = anyNode();
    if (!node.alive) {
      restart(node);
      return;
    }
    node.alive = false;
    std::erase_if(mPendingRequests,
                  [&](const PendingRequest& aPending) { return aPending.node == &node; });
    refreshMembers();
  }

  void announce()
  {
    Node& to = anyNode();
    Node& from = anyNode();
    if (!to.alive || &to == &from) {
      return;
    }
    const auto& id = mBlob.manifest->id();
    if (!from.alive) {
      to.core->noteNoBitmap(id, from.id);
      return;
    }
    if (mFaults && oneIn(4) && mLastBitmap.size() == mBlob.manifest->chunkCount()) {
      to.core->noteBitmap(id, from.id, mLastBitmap, 0, false, mNow);
      return;
    }
    mLastBitmap = from.core->find(id)->own;
    to.core->noteBitmap(id, from.id, mLastBitmap, 0, false, mNow);
  }

  void request()
  {
    Node& node = anyNode();
    if (!node.alive) {
      return;
    }
    auto assignment = node.core->next(mNow, mRng);
    if (!assignment) {
      return;
    }
    RC_ASSERT(assignment->choice.chunk < mBlob.manifest->chunkCount());
    // A chunk is never requested twice at the same time.
    RC_ASSERT(node.requested.insert({ assignment->generation, assignment->choice.chunk }).second);
    mPendingRequests.push_back({ &node, *assignment });
  }

  void respond()
  {
    if (mPendingRequests.empty()) {
      return;
    }
    // Responses arrive in any order.
    auto index = static_cast<ptrdiff_t>(base::uniformBelow(mRng, mPendingRequests.size()));
    PendingRequest pending = mPendingRequests[index];
    mPendingRequests.erase(mPendingRequests.begin() + index);
    pending.node->requested.erase(
      { pending.assignment.generation, pending.assignment.choice.chunk });
    auto outcome = deliver(pending);
    pending.node->core->finish(pending.assignment, outcome, 20ms, kChunkSize, mNow, mRng);
  }

  FetchOutcome deliver(const PendingRequest& aPending)
  {
    uint32_t chunk = aPending.assignment.choice.chunk;
    auto bytes = mBlob.chunk(chunk);
    bool fromOrigin = aPending.assignment.choice.peer.empty();
    if (fromOrigin && mOriginChanges) {
      bytes[0] ^= std::byte{ 1 };
    } else if (!fromOrigin) {
      auto peer = std::find_if(mNodes.begin(), mNodes.end(), [&](const Node& aNode) {
        return aNode.id == aPending.assignment.choice.peer;
      });
      if (!peer->alive) {
        return FetchOutcome::Failed;
      }
      if (!peer->host.contains(chunk)) {
        return FetchOutcome::Missing;
      }
    }
    if (mFaults && oneIn(5)) {
      return oneIn(2) ? FetchOutcome::Failed : FetchOutcome::Busy;
    }
    // The origin never sends single corrupt chunks, which could add up to OriginChanged.
    if (mFaults && !fromOrigin && oneIn(5)) {
      bytes[0] ^= std::byte{ 1 };
    }
    if (!mBlob.manifest->verifies(chunk, bytes)) {
      return FetchOutcome::Corrupt;
    }
    aPending.node->host[chunk] = bytes;
    return FetchOutcome::Stored;
  }

  base::Rng mRng;
  Scheme mScheme;
  Blob mBlob;
  bool mOriginChanges;
  bool mFaults = false;
  base::TimePoint mNow = base::TimePoint{} + 1h;
  std::deque<Node> mNodes;
  std::vector<PendingRequest> mPendingRequests;
  Bitmap mLastBitmap;
};

struct CoreFixture
{
  CoreFixture()
    : rng(1)
    , core(options(Scheme::Swarm), LocalVm{ .id = "a", .region = "r0", .originRegion = "r0" })
  {
  }

  void begin(const Blob& aBlob)
  {
    core.setManifest(aBlob.manifest->id(), aBlob.manifest);
    core.setMembers(aBlob.manifest->id(), { { "r0", { "a" } } }, now);
    core.beginFetching(aBlob.manifest->id(),
                       core.find(aBlob.manifest->id())->generation,
                       Bitmap(aBlob.manifest->chunkCount()),
                       now);
  }

  base::Rng rng;
  base::TimePoint now = base::TimePoint{} + 1h;
  TransferCore core;
};

} // namespace

// Guards against sequences of crashes, corruption, stale bitmaps, refusals and reordered responses
// after which a VM never finishes, holds wrong bytes, or requests a chunk twice at the same time.
RC_BOOST_PROP(everyScheduleEndsWithTheDeclaredBytes, (uint64_t aSeed))
{
  for (Scheme scheme : { Scheme::Swarm, Scheme::Chain, Scheme::Trees, Scheme::Origin }) {
    Simulation simulation(scheme, aSeed, false);
    simulation.run();
    RC_ASSERT(simulation.finished());
    simulation.check();
  }
}

// Guards against reading from a changed origin forever, and against a host with chunks of two
// versions.
RC_BOOST_PROP(changedOriginEndsInATypedFailure, (uint64_t aSeed))
{
  Simulation simulation(Scheme::Swarm, aSeed, true);
  simulation.run();
  simulation.check();
}

// Guards against a less urgent or younger manifest that is fetched before a more urgent one.
BOOST_FIXTURE_TEST_CASE(urgencyThenAgeDecidesTheOrder, CoreFixture)
{
  Blob low = makeBlob(rng);
  Blob old = makeBlob(rng);
  Blob urgent = makeBlob(rng);
  core.setWanted({ { .manifest = low.manifest->id(), .urgency = 1, .since = now },
                   { .manifest = old.manifest->id(), .urgency = 1, .since = now - 1min },
                   { .manifest = urgent.manifest->id(), .urgency = 5, .since = now } },
                 now,
                 rng);
  for (const Blob* blob : { &low, &old, &urgent }) {
    begin(*blob);
  }
  now += 10s;
  auto first = core.next(now, rng);
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST((first->manifest->id() == urgent.manifest->id()));
  core.finish(*first, FetchOutcome::Cancelled, {}, 0, now, rng);
  core.setWanted({ { .manifest = low.manifest->id(), .urgency = 1, .since = now },
                   { .manifest = old.manifest->id(), .urgency = 1, .since = now - 1min } },
                 now,
                 rng);
  auto second = core.next(now, rng);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((second->manifest->id() == old.manifest->id()));
}

// Guards against a late result of a cancelled transfer that is counted for the transfer that
// follows it.
BOOST_FIXTURE_TEST_CASE(resultOfCancelledTransferIsDropped, CoreFixture)
{
  Blob blob = makeBlob(rng);
  TransferRequest wanted{ .manifest = blob.manifest->id(), .originName = "m/v" };
  core.setWanted({ wanted }, now, rng);
  begin(blob);
  now += 10s;
  auto assignment = core.next(now, rng);
  BOOST_REQUIRE(assignment.has_value());
  auto released = core.setWanted({}, now, rng);
  BOOST_TEST(released.size() == 1);
  BOOST_TEST(!core.isCurrent(blob.manifest->id(), assignment->generation));
  core.setWanted({ wanted }, now, rng);
  begin(blob);
  core.finish(*assignment, FetchOutcome::Stored, {}, 8, now, rng);
  BOOST_TEST(core.find(blob.manifest->id())->own.none());
  BOOST_TEST(core.origin().inFlight() == 0);
}

// Guards against chunks that still count as held after an engine restart lost them.
BOOST_FIXTURE_TEST_CASE(invalidateHostDropsHeldChunks, CoreFixture)
{
  Blob blob = makeBlob(rng);
  core.setWanted({ { .manifest = blob.manifest->id() } }, now, rng);
  begin(blob);
  Bitmap all(blob.manifest->chunkCount());
  for (uint32_t i = 0; i < all.size(); ++i) {
    all.set(i);
  }
  auto generation = core.find(blob.manifest->id())->generation;
  core.beginFetching(blob.manifest->id(), generation, all, now);
  core.noteComplete(blob.manifest->id(), generation);
  BOOST_TEST(core.held().size() == 1);
  core.invalidateHost(now);
  BOOST_TEST(core.held().empty());
  core.noteComplete(blob.manifest->id(), generation);
  BOOST_TEST(core.held().empty());
  BOOST_TEST(core.find(blob.manifest->id())->own.none());
}

// Guards against VMs that disagree on importers because they learned of each other's transfers at
// different times, and against importers that are dead, leaving or not agents.
BOOST_AUTO_TEST_CASE(membersFollowFromTheDeclaration)
{
  control::NodeTable nodes;
  auto add = [&](const std::string& aId, const std::string& aZone, const std::string& aEndpoint) {
    auto& node = nodes[aId];
    node.state.id = aId;
    node.state.zone = aZone;
    node.state.region = "r0";
    node.state.endpoint = aEndpoint;
    node.state.weightsAddress = { "127.0.0.1", 7003 };
    return &node;
  };
  add("a", "z1", "gpu-1");
  add("b", "z1", "cpu-1");
  add("c", "z2", "gpu-2");
  add("d", "z1", "gpu-3")->liveness = control::Liveness::Dead;
  add("e", "z1", "gpu-4")->state.phase = control::Phase::Leaving;
  add("f", "z1", "gpu-5")->state.kind = control::NodeKind::Entry;
  add("g", "z1", "gpu-6");
  TransferRequest wanted{ .zones = { "z1" }, .endpoints = { "gpu" } };
  nodes["c"].state.held = { wanted.manifest.toString() };
  Members expected{ { "r0", { "a", "c", "g" } } };
  BOOST_TEST((membersFor(nodes, wanted, "a", "r0") == expected));
  BOOST_TEST((holdersOf(nodes, wanted.manifest, "a") == std::vector<std::string>{ "c" }));
}
