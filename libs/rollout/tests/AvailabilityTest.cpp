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

constexpr int kTick = 500;   // Milliseconds.
constexpr int kMaxDelay = 5; // Ticks until an agent or the planner learns of a change.
constexpr int kSettledAfter = 2 * kMaxDelay + 4; // Ticks until all have learned of an event.

/** Actual state of one endpoint, which the planner sees with a delay. */
struct Real
{
  std::string name;
  std::string version; ///< Empty while it serves nothing.
  bool alive = true;
  int warmAt = 0;
  int finishesAt = 0; ///< Tick at which the switch ends; 0 if none is in progress.
  std::string next;
  uint64_t seenRevision = 0;
  bool stuck = false;
};

/** Simulates agents that follow permissions with different delays, and crash in between. */
class History
{
public:
  explicit History(uint64_t aSeed, bool aCalm)
    : mRng(aSeed)
    , mIsCalm(aCalm)
  {
    mCount = 3 + static_cast<int>(base::uniformBelow<unsigned>(mRng, 8));
    mMinAvailable = static_cast<int>(base::uniformBelow<unsigned>(mRng, 101));
    mFleet.addVersion("v1");
    mFleet.addVersion("v2");
    mFleet.addVersion("v3");
    for (int i = 0; i < mCount; ++i) {
      std::string name = "e" + std::to_string(i);
      mFleet.addEndpoint(name, i % 3 == 0 ? "atl" : i % 3 == 1 ? "sav" : "mcn");
      mReal.push_back({ name, "v1" });
    }
    mFleet.declare("v1", mMinAvailable);
    remember();
  }

  /** Runs the simulation; returns the first violation, or an empty string. */
  std::string run(int aTicks)
  {
    for (mTick = 1; mTick <= aTicks && mViolation.empty(); ++mTick) {
      if (!mIsCalm) {
        disturb();
      } else if (mTick == 60) {
        mFleet.declare("v2", mMinAvailable);
      }
      advance();
      publish();
      if (mTick % 2 == 0) {
        mFleet.commit(mPlanner.plan(mFleet.snapshot, mFleet.nodes, now(), 1));
      }
      remember();
    }
    return mViolation;
  }

  bool allServe(const std::string& aVersion) const
  {
    return std::all_of(
      mReal.begin(), mReal.end(), [&](const Real& aOne) { return aOne.version == aVersion; });
  }

  /** True if the bound allows at least one endpoint to switch. */
  bool hasRoom() const { return required(mCount) < mCount; }

private:
  bool oneIn(unsigned aCount) { return base::uniformBelow<unsigned>(mRng, aCount) == 0; }
  size_t any(size_t aCount) { return base::uniformBelow<size_t>(mRng, aCount); }
  base::TimePoint now() const { return base::TimePoint(1h) + mTick * kTick * 1ms; }
  int required(int aInService) const { return (aInService * mMinAvailable + 99) / 100; }

  bool isInService(const Real& aOne) const
  {
    const auto* vm = mFleet.snapshot.spec<resources::Vm>("Vm", "vm-" + aOne.name);
    return mFleet.snapshot.spec<resources::Zone>("Zone", vm->zone)->inService;
  }

  bool isWarm(const Real& aOne) const
  {
    return aOne.alive && !aOne.version.empty() && aOne.finishesAt == 0 && mTick >= aOne.warmAt;
  }

  void disturb()
  {
    Real& one = mReal[any(mReal.size())];
    if (oneIn(80)) {
      one.alive = !one.alive;
      one.version = one.alive ? one.version : "";
      one.finishesAt = 0;
      mDisturbedAt = mTick;
    }
    if (oneIn(150)) {
      one.warmAt = mTick + 20; // Turns cold unexpectedly.
      mDisturbedAt = mTick;
    }
    if (oneIn(150)) {
      const char* zones[] = { "atl", "sav", "mcn" };
      const char* zone = zones[any(3)];
      bool inService = mFleet.snapshot.spec<resources::Zone>("Zone", zone)->inService;
      mFleet.put(zone, resources::Zone{ "region", !inService });
      mDisturbedAt = mTick;
    }
    if (oneIn(60)) {
      mFleet.declare("v" + std::to_string(1 + any(3)), mMinAvailable);
    }
    if (oneIn(200)) {
      one.stuck = !one.stuck;
    }
  }

  /** Keeps old snapshots, so that agents learn of permissions with different delays. */
  void remember()
  {
    mSnapshots.push_back(mFleet.snapshot);
    if (mSnapshots.size() > kMaxDelay) {
      mSnapshots.pop_front();
    }
  }

  void advance()
  {
    for (Real& one : mReal) {
      if (!one.alive) {
        continue;
      }
      if (one.finishesAt != 0 && mTick >= one.finishesAt) {
        one.version = one.next;
        one.finishesAt = 0;
        one.warmAt = mTick + 6;
      }
      const resources::Snapshot& seen = mSnapshots[any(mSnapshots.size())];
      if (seen.revision() < one.seenRevision) {
        continue; // A process adopts only a higher revision.
      }
      one.seenRevision = seen.revision();
      follow(one, seen);
    }
  }

  void follow(Real& aOne, const resources::Snapshot& aSeen)
  {
    auto desired = rollout::desiredState(aSeen, aOne.name);
    if (aOne.finishesAt != 0 || desired.targets.empty() || aOne.stuck) {
      return;
    }
    const rollout::Target& target = desired.targets.front();
    bool maySwitch = target.allowed || aOne.version.empty();
    if (!maySwitch || target.wanted.version == aOne.version || oneIn(2)) {
      return;
    }
    bool wasCounted = isWarm(aOne) && isInService(aOne);
    aOne.next = target.wanted.version;
    aOne.finishesAt = mTick + 4;
    if (wasCounted && mTick - mDisturbedAt > kSettledAfter) {
      checkBound(aOne);
    }
  }

  void checkBound(const Real& aMoved)
  {
    int warm = 0;
    int inService = 0;
    for (const Real& one : mReal) {
      inService += isInService(one) ? 1 : 0;
      warm += isInService(one) && isWarm(one) ? 1 : 0;
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
    for (const Real& one : mReal) {
      int& age = mAges[one.name];
      if (++age < kMaxDelay && !oneIn(3)) {
        continue;
      }
      age = 0;
      control::NodeEntry& entry = mFleet.node(one.name);
      entry.liveness = one.alive ? control::Liveness::Alive : control::Liveness::Dead;
      entry.state.serving.clear();
      if (!one.version.empty() && one.finishesAt == 0) {
        entry.state.serving.push_back(test::Fleet::served(one.version));
      }
      entry.state.cold = mTick < one.warmAt;
      entry.state.held = { test::Fleet::manifestOf("v1"),
                           test::Fleet::manifestOf("v2"),
                           test::Fleet::manifestOf("v3") };
    }
  }

  base::Rng mRng;
  bool mIsCalm;
  int mCount = 0;
  int mMinAvailable = 0;
  int mTick = 0;
  int mDisturbedAt = 0;
  test::Fleet mFleet;
  rollout::Planner mPlanner;
  std::vector<Real> mReal;
  std::map<std::string, int> mAges;
  std::deque<resources::Snapshot> mSnapshots;
  std::string mViolation;
};

} // namespace

// Guards against planned switches that take a model below minAvailable under crashes, cordons,
// withdrawn declarations, delayed permissions and stuck endpoints.
RC_BOOST_PROP(plannedMovesKeepTheBound, (uint64_t aSeed))
{
  std::string violation = History(aSeed, false).run(600);
  RC_ASSERT(violation == "");
}

// Guards against a planner that keeps the bound by never permitting a switch.
RC_BOOST_PROP(aCalmRolloutEnds, (uint64_t aSeed))
{
  History history(aSeed, true);
  std::string violation = history.run(800);
  RC_ASSERT(violation == "");
  RC_ASSERT(history.allServe("v2") == history.hasRoom());
}
