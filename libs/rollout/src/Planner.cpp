#include "rollout/Planner.h"

#include <algorithm>
#include <set>

#include "Agents.h"
#include "resources/Validate.h"

namespace boragepitch::rollout {

namespace {

using namespace resources;

/** The planner's view of one endpoint. */
struct EndpointView
{
  std::string name;
  const Endpoint* spec = nullptr;
  bool inService = false;
  const control::NodeEntry* agent = nullptr; ///< Null if the endpoint is not ready.
  bool moving = false;                       ///< May stop serving at any time, to switch.
};

/** One endpoint covered by one Serving. */
struct Member
{
  EndpointView* endpoint = nullptr;
  const control::ServedModel* served = nullptr;
  bool hasManifests = false; ///< The manifests of model and adapters are complete on its VM.
  bool atTarget = false;     ///< Serves exactly the declared manifests.
  bool listed = false;       ///< In the allowed list of the stored Rollout, if that is current.
  bool allowed = false;      ///< In the allowed list to be written.

  bool isWarm() const { return served != nullptr && !endpoint->agent->state.cold; }
  /** Ready, but serving no version of the model: a switch reduces no availability. */
  bool servesNothing() const { return endpoint->agent != nullptr && served == nullptr; }
};

/** One Serving and the endpoints that it covers. */
struct ServingPlan
{
  const Resource* resource = nullptr;
  const Serving* serving = nullptr;
  std::vector<control::ServedModel> wanted; ///< The model version first, then the adapters.
  const Resource* rollout = nullptr;
  std::vector<Member> members;
  uint64_t required = 0;

  const Rollout* rolloutSpec() const
  {
    return rollout == nullptr ? nullptr : std::get_if<Rollout>(&rollout->spec);
  }

  uint64_t available() const
  {
    return static_cast<uint64_t>(std::count_if(members.begin(), members.end(), countsAsAvailable));
  }

  static bool countsAsAvailable(const Member& aMember)
  {
    return aMember.endpoint->inService && !aMember.endpoint->moving && aMember.isWarm();
  }
};

bool contains(const std::vector<std::string>& aList, const std::string& aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

constexpr int kPercent = 100;

} // namespace

/** State of one call of plan(). */
struct Planner::Pass
{
  Planner& planner;
  const Snapshot& snapshot;
  const control::NodeTable& nodes;
  base::TimePoint now;
  uint64_t fencing;
  std::map<std::string, EndpointView> endpoints;
  std::vector<ServingPlan> servingPlans;

  bool isReplaced() const
  {
    bool replaced = false;
    snapshot.each<Rollout>([&](const Resource&, const Rollout& aRollout) {
      replaced = replaced || aRollout.fencing > fencing;
    });
    return replaced;
  }

  void collectEndpoints()
  {
    AgentIndex agents(nodes);
    snapshot.each<Endpoint>([&](const Resource& aResource, const Endpoint& aSpec) {
      if (aSpec.type != EndpointType::Model) {
        return;
      }
      const control::NodeEntry* agent = agents.find(aResource.name);
      endpoints[aResource.name] = {
        aResource.name, &aSpec, isInService(snapshot, aSpec), isReady(agent) ? agent : nullptr
      };
    });
  }

  void collectServings()
  {
    snapshot.each<Serving>([&](const Resource& aResource, const Serving& aServing) {
      const Resource* version = findModelVersion(snapshot, aServing.model, aServing.version);
      if (version == nullptr) {
        return;
      }
      ServingPlan servingPlan;
      servingPlan.resource = &aResource;
      servingPlan.serving = &aServing;
      addWanted(servingPlan, *version);
      servingPlan.rollout = snapshot.find("Rollout", aResource.name);
      addMembers(servingPlan);
      servingPlans.push_back(std::move(servingPlan));
    });
    std::stable_sort(servingPlans.begin(),
                     servingPlans.end(),
                     [](const ServingPlan& aLeft, const ServingPlan& aRight) {
                       return std::pair(-aLeft.serving->urgency, aLeft.resource->resourceVersion) <
                              std::pair(-aRight.serving->urgency, aRight.resource->resourceVersion);
                     });
  }

  void addWanted(ServingPlan& aServingPlan, const Resource& aVersion) const
  {
    const auto& spec = std::get<ModelVersion>(aVersion.spec);
    aServingPlan.wanted.push_back({ spec.model, spec.version, spec.manifest });
    for (const std::string& name : aServingPlan.serving->adapters) {
      if (const auto* adapter = snapshot.spec<ModelVersion>("ModelVersion", name)) {
        aServingPlan.wanted.push_back({ adapter->model, adapter->version, adapter->manifest });
      }
    }
  }

  void addMembers(ServingPlan& aServingPlan)
  {
    uint64_t inService = 0;
    for (auto& [name, endpoint] : endpoints) {
      if (!covers(snapshot, *aServingPlan.serving, name, *endpoint.spec)) {
        continue;
      }
      inService += endpoint.inService ? 1 : 0;
      aServingPlan.members.push_back(makeMember(aServingPlan, endpoint));
    }
    auto percent = static_cast<uint64_t>(aServingPlan.serving->minAvailable);
    aServingPlan.required = (inService * percent + kPercent - 1) / kPercent;
  }

  /** True if the stored Rollout belongs to the current declaration. */
  static bool isCurrent(const ServingPlan& aServingPlan)
  {
    const Rollout* rollout = aServingPlan.rolloutSpec();
    return rollout != nullptr && rollout->model == aServingPlan.serving->model &&
           rollout->version == aServingPlan.serving->version &&
           aServingPlan.rollout->resourceVersion > aServingPlan.resource->resourceVersion;
  }

  static Member makeMember(const ServingPlan& aServingPlan, EndpointView& aEndpoint)
  {
    Member member;
    member.endpoint = &aEndpoint;
    const Rollout* rollout = aServingPlan.rolloutSpec();
    member.listed =
      rollout != nullptr && isCurrent(aServingPlan) && contains(rollout->allowed, aEndpoint.name);
    if (aEndpoint.agent == nullptr) {
      return member;
    }
    const control::NodeState& state = aEndpoint.agent->state;
    member.served = servedOf(*aEndpoint.agent, aServingPlan.serving->model);
    member.hasManifests =
      std::all_of(aServingPlan.wanted.begin(), aServingPlan.wanted.end(), [&](const auto& aOne) {
        return contains(state.held, aOne.manifest);
      });
    member.atTarget =
      std::all_of(aServingPlan.wanted.begin(), aServingPlan.wanted.end(), [&](const auto& aOne) {
        return std::find(state.serving.begin(), state.serving.end(), aOne) != state.serving.end();
      });
    return member;
  }

  PermissionState& permissionOf(const ServingPlan& aServingPlan, const Member& aMember)
  {
    PermissionState& permission =
      planner.mPermissions[{ aServingPlan.resource->name, aMember.endpoint->name }];
    if (permission.declaredAt != aServingPlan.resource->resourceVersion) {
      // The agent may use the old permission until it learns of the new declaration.
      if (permission.allowed && !permission.used) {
        permission.withdrawnAt = now;
      }
      permission.declaredAt = aServingPlan.resource->resourceVersion;
      permission.allowed = false;
      permission.used = false;
      permission.timesStuck = 0;
    }
    if (aMember.listed && !permission.allowed) {
      permission.allowed = true;
      permission.allowedAt = now;
    }
    permission.used = permission.used || (permission.allowed && aMember.atTarget);
    return permission;
  }

  bool isWithdrawnRecently(const PermissionState& aPermission) const
  {
    return aPermission.withdrawnAt != base::TimePoint{} &&
           now - aPermission.withdrawnAt < planner.mOptions.withdrawGrace;
  }

  /** Marks endpoints with an unused permission, or one withdrawn recently, as moving. */
  void markMoving(ServingPlan& aServingPlan)
  {
    for (Member& member : aServingPlan.members) {
      PermissionState& permission = permissionOf(aServingPlan, member);
      if ((member.listed && !member.atTarget) || isWithdrawnRecently(permission)) {
        member.endpoint->moving = true;
      }
    }
  }

  void withdraw(ServingPlan& aServingPlan, Member& aMember)
  {
    PermissionState& permission = permissionOf(aServingPlan, aMember);
    permission.allowed = false;
    permission.withdrawnAt = now;
    aMember.allowed = false;
    aMember.endpoint->moving = true;
  }

  /** Keeps the earlier permissions, except those of stuck endpoints and of endpoints that no longer
   * have the manifests. */
  void keepPermissions(ServingPlan& aServingPlan)
  {
    for (Member& member : aServingPlan.members) {
      if (!member.listed) {
        continue;
      }
      PermissionState& permission = permissionOf(aServingPlan, member);
      bool isPending = member.served != nullptr && !member.atTarget && member.endpoint->inService;
      bool isStuck = isPending && now - permission.allowedAt >= planner.mOptions.stuckTimeout;
      member.allowed = true;
      if (isStuck) {
        ++permission.timesStuck;
      }
      if (isStuck || (isPending && !member.hasManifests)) {
        withdraw(aServingPlan, member);
      }
    }
  }

  /** Crashes may have taken availability below the bound; withdraws unused permissions, which would
   * reduce it further. */
  void withdrawBelowBound(ServingPlan& aServingPlan)
  {
    for (Member& member : aServingPlan.members) {
      bool isPending = member.allowed && member.served != nullptr && !member.atTarget;
      if (isPending && member.endpoint->inService &&
          aServingPlan.available() < aServingPlan.required) {
        withdraw(aServingPlan, member);
      }
    }
  }

  void permitWithoutLoss(ServingPlan& aServingPlan)
  {
    for (Member& member : aServingPlan.members) {
      bool keepsAvailability = member.atTarget || member.servesNothing() ||
                               (member.hasManifests && isOutOfService(member));
      if (!member.allowed && keepsAvailability && keepsOtherModelsAvailable(aServingPlan, member)) {
        permit(aServingPlan, member);
      }
    }
  }

  static bool isOutOfService(const Member& aMember)
  {
    return aMember.endpoint->agent != nullptr && !aMember.endpoint->inService;
  }

  /** True if the other models on the endpoint can spare it: a switch drains the whole endpoint. */
  bool keepsOtherModelsAvailable(const ServingPlan& aServingPlan, const Member& aMember) const
  {
    if (aMember.endpoint->moving || !aMember.endpoint->inService || aMember.atTarget) {
      return true;
    }
    return std::all_of(servingPlans.begin(), servingPlans.end(), [&](const ServingPlan& aOther) {
      return &aOther == &aServingPlan || !isServedBy(aOther, aMember) ||
             (!isInStartupGrace() && aOther.available() > aOther.required);
    });
  }

  static bool isServedBy(const ServingPlan& aServingPlan, const Member& aMember)
  {
    return std::any_of(
      aServingPlan.members.begin(), aServingPlan.members.end(), [&](const Member& aOther) {
        return aOther.endpoint == aMember.endpoint && ServingPlan::countsAsAvailable(aOther);
      });
  }

  void permit(ServingPlan& aServingPlan, Member& aMember)
  {
    PermissionState& permission = permissionOf(aServingPlan, aMember);
    permission.allowed = true;
    permission.used = aMember.atTarget;
    permission.allowedAt = now;
    aMember.allowed = true;
    if (!aMember.atTarget) {
      aMember.endpoint->moving = true;
    }
  }

  /** True while agents may still use permissions withdrawn by an earlier lease holder. */
  bool isInStartupGrace() const
  {
    return now - planner.mStartedAt < planner.mOptions.withdrawGrace;
  }

  /** Permits as many serving endpoints as the bound allows; previously stuck ones come last. */
  void permitWave(ServingPlan& aServingPlan)
  {
    if (isInStartupGrace()) {
      return;
    }
    std::vector<Member*> candidates;
    for (Member& member : aServingPlan.members) {
      bool isCandidate = !member.allowed && member.hasManifests && member.served != nullptr &&
                         !isWithdrawnRecently(permissionOf(aServingPlan, member));
      if (isCandidate) {
        candidates.push_back(&member);
      }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [&](Member* aLeft, Member* aRight) {
      return permissionOf(aServingPlan, *aLeft).timesStuck <
             permissionOf(aServingPlan, *aRight).timesStuck;
    });
    for (Member* member : candidates) {
      // A cold endpoint adds to availability once it is warm, so it also stays while the bound is
      // missed.
      uint64_t needed = aServingPlan.required + (ServingPlan::countsAsAvailable(*member) ? 1 : 0);
      if (aServingPlan.available() >= needed && keepsOtherModelsAvailable(aServingPlan, *member)) {
        permit(aServingPlan, *member);
      }
    }
  }

  void write(const ServingPlan& aServingPlan, std::vector<Change>& aChanges) const
  {
    Rollout wanted{ aServingPlan.serving->model, aServingPlan.serving->version, fencing, {} };
    for (const Member& member : aServingPlan.members) {
      if (member.allowed) {
        wanted.allowed.push_back(member.endpoint->name);
      }
    }
    const Rollout* stored = aServingPlan.rolloutSpec();
    if (stored != nullptr && isCurrent(aServingPlan) && stored->allowed == wanted.allowed) {
      return;
    }
    Resource resource{ "Rollout", aServingPlan.resource->name, 0, wanted };
    if (aServingPlan.rollout == nullptr) {
      aChanges.push_back({ ChangeType::Create, std::move(resource) });
    } else {
      resource.resourceVersion = aServingPlan.rollout->resourceVersion;
      aChanges.push_back({ ChangeType::Replace, std::move(resource) });
    }
  }

  void removeOrphanedRollouts(std::vector<Change>& aChanges) const
  {
    snapshot.each<Rollout>([&](const Resource& aResource, const Rollout&) {
      if (snapshot.find("Serving", aResource.name) == nullptr) {
        aChanges.push_back({ ChangeType::Remove, aResource });
      }
    });
  }

  void pruneState()
  {
    std::erase_if(planner.mPermissions, [&](const auto& aEntry) {
      return !endpoints.contains(aEntry.first.second) ||
             snapshot.find("Serving", aEntry.first.first) == nullptr;
    });
  }

  std::vector<Change> run()
  {
    std::vector<Change> changes;
    if (isReplaced()) {
      return changes;
    }
    collectEndpoints();
    collectServings();
    pruneState();
    for (ServingPlan& servingPlan : servingPlans) {
      markMoving(servingPlan);
    }
    for (ServingPlan& servingPlan : servingPlans) {
      keepPermissions(servingPlan);
      withdrawBelowBound(servingPlan);
    }
    for (ServingPlan& servingPlan : servingPlans) {
      permitWithoutLoss(servingPlan);
      permitWave(servingPlan);
      write(servingPlan, changes);
    }
    removeOrphanedRollouts(changes);
    return changes;
  }
};

Planner::Planner(PlannerOptions aOptions)
  : mOptions(aOptions)
{
}

std::vector<Change> Planner::plan(const Snapshot& aSnapshot,
                                  const control::NodeTable& aNodes,
                                  base::TimePoint aNow,
                                  uint64_t aFencing)
{
  if (!mHasStarted) {
    mHasStarted = true;
    mStartedAt = aNow;
  }
  return Pass{ *this, aSnapshot, aNodes, aNow, aFencing, {}, {} }.run();
}

} // namespace boragepitch::rollout
