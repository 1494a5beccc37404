#define BOOST_TEST_MODULE rollout_planner
#include <boost/test/unit_test.hpp>

#include "RolloutFixture.h"
#include "rollout/Planner.h"

using namespace boragepitch;
using namespace std::chrono_literals;
using test::Fleet;
using Names = std::vector<std::string>;

namespace {

constexpr auto kStart = base::TimePoint(1h);
constexpr auto kSettled = kStart + 1min; // After the first withdrawGrace of a planner.

/** Four endpoints that serve v1; v2 has a ModelVersion but is not declared. */
struct FourEndpoints : Fleet
{
  rollout::Planner planner;

  explicit FourEndpoints(int aMinAvailable = 50)
  {
    addVersion("v1");
    addVersion("v2");
    for (const char* name : { "e1", "e2", "e3", "e4" }) {
      addEndpoint(name, "atl");
      serve(name, "v1");
    }
    declare("v1", aMinAvailable);
    plan(kStart);
  }

  void plan(base::TimePoint aNow, uint64_t aFencing = 1)
  {
    commit(planner.plan(snapshot, nodes, aNow, aFencing));
  }

  void holdEverywhere(const std::string& aVersion)
  {
    for (const char* name : { "e1", "e2", "e3", "e4" }) {
      hold(name, aVersion);
    }
  }
};

} // namespace

// Guards against a first rollout in waves although no endpoint serves anything yet.
BOOST_AUTO_TEST_CASE(allMayServeAtOnceWhenNothingServes)
{
  Fleet fleet;
  fleet.addVersion("v1");
  for (const char* name : { "e1", "e2", "e3" }) {
    fleet.addEndpoint(name, "atl");
  }
  fleet.declare("v1", 100);
  rollout::Planner planner;
  fleet.commit(planner.plan(fleet.snapshot, fleet.nodes, kStart, 1));
  BOOST_TEST(fleet.allowed() == (Names{ "e1", "e2", "e3" }));
  BOOST_TEST(planner.plan(fleet.snapshot, fleet.nodes, kStart + 1s, 1).empty());
}

// Guards against permitting endpoints whose weights are incomplete, and against too large waves.
BOOST_AUTO_TEST_CASE(wavesOfHoldersKeepTheBound)
{
  FourEndpoints fleet;
  fleet.declare("v2", 50);
  fleet.plan(kSettled);
  BOOST_TEST(fleet.allowed().empty());
  fleet.hold("e3", "v2");
  fleet.plan(kSettled + 1s);
  BOOST_TEST(fleet.allowed() == Names{ "e3" });
  fleet.holdEverywhere("v2");
  fleet.plan(kSettled + 2s);
  BOOST_TEST(fleet.allowed() == (Names{ "e1", "e3" }));
  fleet.serve("e1", "v2");
  fleet.node("e1").state.cold = true;
  fleet.plan(kSettled + 3s);
  BOOST_TEST(fleet.allowed() == (Names{ "e1", "e3" })); // A cold endpoint does not count.
  fleet.node("e1").state.cold = false;
  fleet.plan(kSettled + 4s);
  BOOST_TEST(fleet.allowed() == (Names{ "e1", "e2", "e3" }));
}

// Guards against counting endpoints of a cordoned zone as available, and against not switching
// them.
BOOST_AUTO_TEST_CASE(cordonedEndpointsMoveFreelyAndDoNotCount)
{
  FourEndpoints fleet;
  fleet.addEndpoint("f1", "sav");
  fleet.addEndpoint("f2", "sav");
  fleet.serve("f1", "v1");
  fleet.serve("f2", "v1");
  fleet.put("sav", resources::Zone{ "region", false });
  fleet.declare("v2", 75);
  fleet.holdEverywhere("v2");
  fleet.hold("f1", "v2");
  fleet.plan(kSettled);
  BOOST_TEST(fleet.allowed() == (Names{ "e1", "f1" }));
}

// Guards against a rollout that continues after its declaration was reverted, and against endpoints
// at the previous version that must wait for permission.
BOOST_AUTO_TEST_CASE(returnsToThePreviousVersionInWaves)
{
  FourEndpoints fleet;
  fleet.declare("v2", 50);
  fleet.holdEverywhere("v2");
  fleet.plan(kSettled);
  BOOST_TEST(fleet.allowed() == (Names{ "e1", "e2" }));
  fleet.serve("e1", "v2"); // e2 has not used its permission when the declaration is reverted.
  fleet.plan(kSettled + 1s);
  fleet.declare("v1", 50);
  fleet.plan(kSettled + 2s);
  // e2 to e4 serve v1; e2 may still switch on the old permission, so only e3 and e4 count as
  // available and e1 must wait.
  BOOST_TEST(fleet.allowed() == (Names{ "e2", "e3", "e4" }));
  fleet.plan(kSettled + 13s);
  BOOST_TEST(fleet.allowed() == (Names{ "e1", "e2", "e3", "e4" }));
}

// Guards against one endpoint that never switches and blocks all others.
BOOST_AUTO_TEST_CASE(aStuckEndpointLosesItsPermission)
{
  FourEndpoints fleet(75);
  fleet.declare("v2", 75);
  fleet.holdEverywhere("v2");
  fleet.plan(kSettled);
  BOOST_TEST(fleet.allowed() == Names{ "e1" });
  fleet.plan(kSettled + 119s);
  BOOST_TEST(fleet.allowed() == Names{ "e1" });
  fleet.plan(kSettled + 121s);
  BOOST_TEST(fleet.allowed().empty());
  fleet.plan(kSettled + 132s);
  BOOST_TEST(fleet.allowed() == Names{ "e2" });
}

// Guards against permitting dead endpoints, and against switching the last serving ones after
// crashes.
BOOST_AUTO_TEST_CASE(crashesStopWavesButNotEndpointsWithoutModels)
{
  FourEndpoints fleet(75);
  fleet.declare("v2", 75);
  fleet.holdEverywhere("v2");
  fleet.node("e4").liveness = control::Liveness::Dead;
  fleet.plan(kSettled);
  BOOST_TEST(fleet.allowed().empty());
  fleet.node("e4").liveness = control::Liveness::Alive;
  fleet.node("e4").state.serving.clear();
  fleet.plan(kSettled + 1s);
  BOOST_TEST(fleet.allowed() == Names{ "e4" });
  fleet.serve("e4", "v2");
  fleet.plan(kSettled + 2s);
  BOOST_TEST(fleet.allowed() == (Names{ "e1", "e4" }));
}

// Guards against unused permissions that reduce availability further after a loss.
BOOST_AUTO_TEST_CASE(permissionsAreWithdrawnBelowTheBound)
{
  FourEndpoints fleet;
  fleet.declare("v2", 50);
  fleet.holdEverywhere("v2");
  fleet.plan(kSettled);
  BOOST_TEST(fleet.allowed() == (Names{ "e1", "e2" }));
  fleet.node("e3").state.cold = true;
  fleet.plan(kSettled + 1s);
  BOOST_TEST(fleet.allowed().empty());
}

// Guards against a replaced lease holder that overwrites its successor's decisions (F8).
BOOST_AUTO_TEST_CASE(aReplacedPlannerWritesNothing)
{
  FourEndpoints fleet;
  fleet.declare("v2", 50);
  fleet.holdEverywhere("v2");
  rollout::Planner successor;
  fleet.commit(successor.plan(fleet.snapshot, fleet.nodes, kSettled, 2));
  BOOST_TEST(fleet.planner.plan(fleet.snapshot, fleet.nodes, kSettled + 30s, 1).empty());
  // The successor waits until permissions that it does not know of have expired.
  BOOST_TEST(fleet.allowed().empty());
  fleet.commit(successor.plan(fleet.snapshot, fleet.nodes, kSettled + 11s, 2));
  BOOST_TEST(fleet.allowed() == (Names{ "e1", "e2" }));
}

// Guards against one model's switch that takes another model on the same endpoints below its bound.
BOOST_AUTO_TEST_CASE(modelsOnSharedEndpointsShareTheBound)
{
  FourEndpoints fleet(50);
  fleet.addVersion("w1", "other");
  for (const char* name : { "e1", "e2", "e3", "e4" }) {
    fleet.serve(name, "w1", "other");
  }
  fleet.declare("w1", 75, "other");
  fleet.declare("v2", 0);
  fleet.holdEverywhere("v2");
  fleet.plan(kSettled);
  BOOST_TEST(fleet.allowed() == Names{ "e1" });
}

// Guards against all endpoints loading new adapters at once with the permission for the version.
BOOST_AUTO_TEST_CASE(newAdaptersNeedNewPermissions)
{
  FourEndpoints fleet;
  fleet.put("tone-1",
            resources::ModelVersion{ "tone", "1", Fleet::manifestOf("t"), 10, "tone/1", "m" });
  fleet.put("m", resources::Serving{ "m", "v1", {}, {}, 50, 5, { "tone-1" } });
  fleet.holdEverywhere("t");
  fleet.plan(kSettled);
  BOOST_TEST(fleet.allowed() == (Names{ "e1", "e2" }));
}

// Guards against Rollouts that remain after their Serving was deleted.
BOOST_AUTO_TEST_CASE(removesRolloutsOfDeletedServings)
{
  FourEndpoints fleet;
  auto serving = *fleet.snapshot.find("Serving", "m");
  fleet.commit({ { resources::ChangeType::Remove, serving } });
  fleet.plan(kSettled);
  BOOST_TEST(fleet.snapshot.find("Rollout", "m") == nullptr);
}
