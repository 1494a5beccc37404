#define BOOST_TEST_MODULE rollout_status
#include <boost/test/unit_test.hpp>

#include "RolloutFixture.h"
#include "rollout/DesiredState.h"
#include "rollout/Status.h"

using namespace boragepitch;
using namespace boragepitch::rollout;
using test::Fleet;

namespace {

struct TwoEndpoints : Fleet
{
  TwoEndpoints()
  {
    addVersion("v1");
    addVersion("v2");
    addEndpoint("e1", "atl");
    addEndpoint("e2", "sav");
    serve("e1", "v1");
    serve("e2", "v1");
    declare("v2", 50);
  }

  void permit(const std::vector<std::string>& aEndpoints)
  {
    put("m", resources::Rollout{ "m", "v2", 1, aEndpoints });
  }

  resources::Condition condition(const std::string& aKind,
                                 const std::string& aName,
                                 const std::string& aType) const
  {
    StatusReader reader(snapshot, nodes);
    for (const auto& one : reader.conditionsOf(*snapshot.find(aKind, aName))) {
      if (one.type == aType) {
        return one;
      }
    }
    return {};
  }
};

} // namespace

// Guards against a status that does not show why a Serving is not complete.
BOOST_FIXTURE_TEST_CASE(completeNamesTheObstacle, TwoEndpoints)
{
  BOOST_TEST(condition("Serving", "m", "Complete").reason == "FetchingWeights");
  hold("e1", "v2");
  hold("e2", "v2");
  BOOST_TEST(condition("Serving", "m", "Complete").reason == "WaitingForWave");
  permit({ "e1", "e2" });
  BOOST_TEST(condition("Serving", "m", "Complete").reason == "Switching");
  serve("e1", "v2");
  auto half = condition("Serving", "m", "Complete");
  BOOST_TEST(!half.status);
  BOOST_TEST(half.done == 1);
  BOOST_TEST(half.total == 2);
  node("e2").liveness = control::Liveness::Dead;
  BOOST_TEST(condition("Serving", "m", "Complete").reason == "EndpointsUnreachable");
  put("sav", resources::Zone{ "region", false });
  auto complete = condition("Serving", "m", "Complete");
  BOOST_TEST(complete.status);
  BOOST_TEST(complete.total == 1);
  put("atl", resources::Zone{ "region", false });
  BOOST_TEST(condition("Serving", "m", "Complete").reason == "NoEndpoints");
  BOOST_TEST(condition("Zone", "atl", "InService").reason == "Cordoned");
}

// Guards against a minAvailable that silently blocks every update.
BOOST_FIXTURE_TEST_CASE(availableTellsWhenNothingMayMove, TwoEndpoints)
{
  BOOST_TEST(condition("Serving", "m", "Available").reason == "EnoughWarm");
  declare("v2", 100);
  BOOST_TEST(condition("Serving", "m", "Available").reason == "NoRoomToMove");
  node("e1").state.cold = true;
  auto few = condition("Serving", "m", "Available");
  BOOST_TEST(few.reason == "TooFewWarm");
  BOOST_TEST(!few.status);
  BOOST_TEST(few.done == 1);
}

// Guards against using the old record of an agent that has restarted.
BOOST_FIXTURE_TEST_CASE(newerRecordsOfAnEndpointWin, TwoEndpoints)
{
  control::NodeState restarted = node("e1").state;
  restarted.id = "agent-e1-again";
  restarted.incarnation = 7;
  restarted.serving.clear();
  nodes[restarted.id] = { restarted, control::Liveness::Alive };
  AgentIndex index(nodes);
  BOOST_TEST(index.find("e1")->state.incarnation == 7);
  nodes.at(restarted.id).liveness = control::Liveness::Dead;
  BOOST_TEST(AgentIndex(nodes).find("e1")->state.incarnation == 0);
}

// Guards against applying a permission for an earlier declaration to the current one, and against
// previous versions that are evicted or fetched again.
BOOST_FIXTURE_TEST_CASE(desiredStateFollowsTheNewestDeclaration, TwoEndpoints)
{
  BOOST_TEST(!desiredState(snapshot, "e1").targets.front().allowed);
  permit({ "e1" });
  DesiredState permitted = desiredState(snapshot, "e1");
  BOOST_TEST(permitted.targets.front().allowed);
  BOOST_TEST(!desiredState(snapshot, "e2").targets.front().allowed);
  BOOST_REQUIRE(permitted.manifests.size() == 2);
  BOOST_TEST(permitted.manifests[0].version == "v2");
  BOOST_TEST(permitted.manifests[0].required);
  BOOST_TEST(permitted.manifests[1].version == "v1");
  BOOST_TEST(!permitted.manifests[1].required);
  auto toHold = manifestsToHold(permitted, { Fleet::served("v1") });
  BOOST_TEST(toHold[1].required);
  declare("v2", 60); // The Rollout is now older than the declaration.
  DesiredState declaredAgain = desiredState(snapshot, "e1");
  BOOST_TEST(!declaredAgain.targets.front().allowed);
  BOOST_TEST(declaredAgain.targets.front().fallback.version == "v2");
  BOOST_TEST(desiredState(snapshot, "absent").targets.empty());
}
