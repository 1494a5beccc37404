#define BOOST_TEST_MODULE rollout_availability
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <deque>
#include <random>

#include "RolloutFixture.h"
#include "base/Rng.h"
#include "rollout/DesiredState.h"
#include "rollout/Planner.h"

using namespace boragepitch;
using namespace std::chrono_literals;

namespace {

constexpr int kTickMs = 500;
constexpr int kMaxDelayTicks = 5; // Ticks until an agent or the planner learns of a change.
constexpr int kSettleTicks = 2 * kMaxDelayTicks + 4; // Ticks until all have learned of an event.

/** Actual state of one endpoint, which the planner sees with a delay. */
struct ActualEndpoint
{
  std::string name;
  std::string version; ///< Empty while it serves nothing.
  bool alive = true;
  int warmAtTick = 0;
  int switchEndsAt = 0; ///< Tick at which the switch ends; 0 if none is in progress.
  std::string nextVersion;
  uint64_t seenRevision = 0;
  bool stuck = false;
};

/** Simulates agents that follow permissions with different delays, and crash in between. */
class RolloutSimulation
{
public:
  explicit RolloutSimulation(uint64_t aSeed, bool aFaultFree)
    : mRng(aSeed)
    , mIsFaultFree(aFaultFree)
  {
    mCount = 3 + static_cast<int>(base::uniformBelow<unsigned>(mRng, 8));
    mMinAvailable = static_cast<int>(base::uniformBelow<unsigned>(mRng, 101));
    mFleet.addVersion("v1");
    mFleet.addVersion("v2");
    mFleet.addVersion("v3");
    for (int i = 0; i < mCount; ++i) {
      std::string name = "e" + std::to_string(i);
      mFleet.addEndpoint(name, i % 3 == 0 ? "atl" : i % 3 == 1 ? "sav" : "mcn");
      mEndpoints.push_back({ name, "v1" });
    }
    mFleet.declare("v1", mMinAvailable);
    recordSnapshot();
  }

  /** Runs the simulation; returns the first violation, or an empty string. */
  std::string run(int aTicks)
  {
    for (mTick = 1; mTick <= aTicks && mViolation.empty(); ++mTick) {
      if (!mIsFaultFree) {
        injectFault();
      } else if (mTick == 60) {
        mFleet.declare("v2", mMinAvailable);
      }
      advance();
      publish();
      if (mTick % 2 == 0) {
        mFleet.commit(mPlanner.plan(mFleet.snapshot, mFleet.nodes, now(), 1));
      }
      recordSnapshot();
    }
    return mViolation;
  }

  bool allServe(const std::string& aVersion) const
  {
    return std::all_of(mEndpoints.begin(), mEndpoints.end(), [&](const ActualEndpoint& aEndpoint) {
      return aEndpoint.version == aVersion;
    });
  }

  /** True if the bound allows at least one endpoint to switch. */
  bool hasRoom() const { return required(mCount) < mCount; }

private:
  bool oneIn(unsigned aCount) { return base::uniformBelow<unsigned>(mRng, aCount) == 0; }
  size_t randomIndex(size_t aCount) { return base::uniformBelow<size_t>(mRng, aCount); }
  base::TimePoint now() const { return base::TimePoint(1h) + mTick * kTickMs * 1ms; }
  int required(int aInService) const { return (aInService * mMinAvailable + 99) / 100; }

  bool isInService(const ActualEndpoint& aEndpoint) const
  {
    const auto* vm = mFleet.snapshot.spec<resources::Vm>("Vm", "vm-" + aEndpoint.name);
    return mFleet.snapshot.spec<resources::Zone>("Zone", vm->zone)->inService;
  }

  bool isWarm(const ActualEndpoint& aEndpoint) const
  {
    return aEndpoint.alive && !aEndpoint.version.empty() && aEndpoint.switchEndsAt == 0 &&
           mTick >= aEndpoint.warmAtTick;
  }

  void injectFault()
  {
    ActualEndpoint& endpoint = mEndpoints[randomIndex(mEndpoints.size())];
    if (oneIn(80)) {
      endpoint.alive = !endpoint.alive;
      endpoint.version = endpoint.alive ? endpoint.version : "";
      endpoint.switchEndsAt = 0;
      mLastFaultAt = mTick;
    }
    if (oneIn(150)) {
      endpoint.warmAtTick = mTick + 20; // Turns cold unexpectedly.
      mLastFaultAt = mTick;
    }
    if (oneIn(150)) {
      const char* zones[] = { "atl", "sav", "mcn" };
      const char* zone = zones[randomIndex(3)];
      bool inService = mFleet.snapshot.spec<resources::Zone>("Zone", zone)->inService;
      mFleet.put(zone, resources::Zone{ "region", !inService });
      mLastFaultAt = mTick;
    }
    if (oneIn(60)) {
      mFleet.declare("v" + std::to_string(1 + randomIndex(3)), mMinAvailable);
    }
    if (oneIn(200)) {
      endpoint.stuck = !endpoint.stuck;
    }
  }

  /** Keeps old snapshots, so that agents learn of permissions with different delays. */
  void recordSnapshot()
  {
    mSnapshots.push_back(mFleet.snapshot);
    if (mSnapshots.size() > kMaxDelayTicks) {
      mSnapshots.pop_front();
    }
  }

  void advance()
  {
    for (ActualEndpoint& endpoint : mEndpoints) {
      if (!endpoint.alive) {
        continue;
      }
      if (endpoint.switchEndsAt != 0 && mTick >= endpoint.switchEndsAt) {
        endpoint.version = endpoint.nextVersion;
        endpoint.switchEndsAt = 0;
        endpoint.warmAtTick = mTick + 6;
      }
      const resources::Snapshot& seen = mSnapshots[randomIndex(mSnapshots.size())];
      if (seen.revision() < endpoint.seenRevision) {
        continue; // A process adopts only a higher revision.
      }
      endpoint.seenRevision = seen.revision();
      followPermission(endpoint, seen);
    }
  }

  void followPermission(ActualEndpoint& aEndpoint, const resources::Snapshot& aSeen)
  {
    auto desired = rollout::desiredState(aSeen, aEndpoint.name);
    if (aEndpoint.switchEndsAt != 0 || desired.targets.empty() || aEndpoint.stuck) {
      return;
    }
    const rollout::Target& target = desired.targets.front();
    bool maySwitch = target.allowed || aEndpoint.version.empty();
    if (!maySwitch || target.wanted.version == aEndpoint.version || oneIn(2)) {
      return;
    }
    bool wasCounted = isWarm(aEndpoint) && isInService(aEndpoint);
    aEndpoint.nextVersion = target.wanted.version;
    aEndpoint.switchEndsAt = mTick + 4;
    if (wasCounted && mTick - mLastFaultAt > kSettleTicks) {
      checkBound(aEndpoint);
    }
  }

  void checkBound(const ActualEndpoint& aMoved)
  {
    int warm = 0;
    int inService = 0;
    for (const ActualEndpoint& endpoint : mEndpoints) {
      inService += isInService(endpoint) ? 1 : 0;
      warm += isInService(endpoint) && isWarm(endpoint) ? 1 : 0;
    }
    if (warm < required(inService)) {
      mViolation = aMoved.name + " moved at tick " + std::to_string(mTick) + ": " +
                   std::to_string(warm) + " warm, " + std::to_string(required(inService)) +
                   " required";
    }
  }

  /** Updates the planner's view of each endpoint at random times. */
  void publish()
  {
    for (const ActualEndpoint& endpoint : mEndpoints) {
      int& age = mAges[endpoint.name];
      if (++age < kMaxDelayTicks && !oneIn(3)) {
        continue;
      }
      age = 0;
      control::NodeEntry& entry = mFleet.node(endpoint.name);
      entry.liveness = endpoint.alive ? control::Liveness::Alive : control::Liveness::Dead;
      entry.state.serving.clear();
      if (!endpoint.version.empty() && endpoint.switchEndsAt == 0) {
        entry.state.serving.push_back(test::Fleet::served(endpoint.version));
      }
      entry.state.cold = mTick < endpoint.warmAtTick;
      entry.state.held = { test::Fleet::manifestOf("v1"),
                           test::Fleet::manifestOf("v2"),
                           test::Fleet::manifestOf("v3") };
    }
  }

  base::Rng mRng;
  bool mIsFaultFree;
  int mCount = 0;
  int mMinAvailable = 0;
  int mTick = 0;
  int mLastFaultAt = 0;
  test::Fleet mFleet;
  rollout::Planner mPlanner;
  std::vector<ActualEndpoint> mEndpoints;
  std::map<std::string, int> mAges;
  std::deque<resources::Snapshot> mSnapshots;
  std::string mViolation;
};

} // namespace

// Guards against planned switches that take a model below minAvailable under crashes, cordons,
// withdrawn declarations, delayed permissions and stuck endpoints.
RC_BOOST_PROP(plannedMovesKeepTheBound, (uint64_t aSeed))
{
  std::string violation = RolloutSimulation(aSeed, false).run(600);
  RC_ASSERT(violation == "");
}

// Guards against a planner that keeps the bound by never permitting a switch.
RC_BOOST_PROP(aRolloutWithoutFaultsCompletes, (uint64_t aSeed))
{
  RolloutSimulation simulation(aSeed, true);
  std::string violation = simulation.run(800);
  RC_ASSERT(violation == "");
  RC_ASSERT(simulation.allServe("v2") == simulation.hasRoom());
}
