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
  bool holds = false;    ///< The manifests of model and adapters are complete on its VM.
  bool atTarget = false; ///< Serves exactly the declared manifests.
  bool listed = false;   ///< In the allowed list of the stored Rollout, if that is current.
  bool allowed = false;  ///< In the allowed list to be written.

  bool isWarm() const { return served != nullptr && !endpoint->agent->state.cold; }
  /** Ready, but serving no version of the model: a switch reduces no availability. */
  bool isFree() const { return endpoint->agent != nullptr && served == nullptr; }
};

/** One Serving and the endpoints that it covers. */
struct Work
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
    return static_cast<uint64_t>(std::count_if(members.begin(), members.end(), counts));
  }

  static bool counts(const Member& aMember)
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
struct Planner::Round
{
  Planner& planner;
  const Snapshot& snapshot;
  const control::NodeTable& nodes;
  base::TimePoint now;
  uint64_t fencing;
  std::map<std::string, EndpointView> endpoints;
  std::vector<Work> works;

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

  void collectWorks()
  {
    snapshot.each<Serving>([&](const Resource& aResource, const Serving& aServing) {
      const Resource* version = findModelVersion(snapshot, aServing.model, aServing.version);
      if (version == nullptr) {
        return;
      }
      Work work;
      work.resource = &aResource;
      work.serving = &aServing;
      addWanted(work, *version);
      work.rollout = snapshot.find("Rollout", aResource.name);
      addMembers(work);
      works.push_back(std::move(work));
    });
    std::stable_sort(works.begin(), works.end(), [](const Work& aLeft, const Work& aRight) {
      return std::pair(-aLeft.serving->urgency, aLeft.resource->resourceVersion) <
             std::pair(-aRight.serving->urgency, aRight.resource->resourceVersion);
    });
  }

  void addWanted(Work& aWork, const Resource& aVersion) const
  {
    const auto& spec = std::get<ModelVersion>(aVersion.spec);
    aWork.wanted.push_back({ spec.model, spec.version, spec.manifest });
    for (const std::string& name : aWork.serving->adapters) {
      if (const auto* adapter = snapshot.spec<ModelVersion>("ModelVersion", name)) {
        aWork.wanted.push_back({ adapter->model, adapter->version, adapter->manifest });
      }
    }
  }

  void addMembers(Work& aWork)
  {
    uint64_t inService = 0;
    for (auto& [name, endpoint] : endpoints) {
      if (!covers(snapshot, *aWork.serving, name, *endpoint.spec)) {
        continue;
      }
      inService += endpoint.inService ? 1 : 0;
      aWork.members.push_back(makeMember(aWork, endpoint));
    }
    auto percent = static_cast<uint64_t>(aWork.serving->minAvailable);
    aWork.required = (inService * percent + kPercent - 1) / kPercent;
  }

  /** True if the stored Rollout belongs to the current declaration. */
  static bool isCurrent(const Work& aWork)
  {
    const Rollout* rollout = aWork.rolloutSpec();
    return rollout != nullptr && rollout->model == aWork.serving->model &&
           rollout->version == aWork.serving->version &&
           aWork.rollout->resourceVersion > aWork.resource->resourceVersion;
  }

  static Member makeMember(const Work& aWork, EndpointView& aEndpoint)
  {
    Member member;
    member.endpoint = &aEndpoint;
    const Rollout* rollout = aWork.rolloutSpec();
    member.listed =
      rollout != nullptr && isCurrent(aWork) && contains(rollout->allowed, aEndpoint.name);
    if (aEndpoint.agent == nullptr) {
      return member;
    }
    const control::NodeState& state = aEndpoint.agent->state;
    member.served = servedOf(*aEndpoint.agent, aWork.serving->model);
    member.holds = std::all_of(aWork.wanted.begin(), aWork.wanted.end(), [&](const auto& aOne) {
      return contains(state.held, aOne.manifest);
    });
    member.atTarget = std::all_of(aWork.wanted.begin(), aWork.wanted.end(), [&](const auto& aOne) {
      return std::find(state.serving.begin(), state.serving.end(), aOne) != state.serving.end();
    });
    return member;
  }

  Memory& memoryOf(const Work& aWork, const Member& aMember)
  {
    Memory& memory = planner.mMemory[{ aWork.resource->name, aMember.endpoint->name }];
    if (memory.declaredAt != aWork.resource->resourceVersion) {
      // The agent may use the old permission until it learns of the new declaration.
      if (memory.allowed && !memory.used) {
        memory.withdrawnAt = now;
      }
      memory.declaredAt = aWork.resource->resourceVersion;
      memory.allowed = false;
      memory.used = false;
      memory.timesStuck = 0;
    }
    if (aMember.listed && !memory.allowed) {
      memory.allowed = true;
      memory.allowedAt = now;
    }
    memory.used = memory.used || (memory.allowed && aMember.atTarget);
    return memory;
  }

  bool isWithdrawnRecently(const Memory& aMemory) const
  {
    return aMemory.withdrawnAt != base::TimePoint{} &&
           now - aMemory.withdrawnAt < planner.mOptions.withdrawGrace;
  }

  /** Marks endpoints with an unused permission, or one withdrawn recently, as moving. */
  void markMoving(Work& aWork)
  {
    for (Member& member : aWork.members) {
      Memory& memory = memoryOf(aWork, member);
      if ((member.listed && !member.atTarget) || isWithdrawnRecently(memory)) {
        member.endpoint->moving = true;
      }
    }
  }

  void withdraw(Work& aWork, Member& aMember)
  {
    Memory& memory = memoryOf(aWork, aMember);
    memory.allowed = false;
    memory.withdrawnAt = now;
    aMember.allowed = false;
    aMember.endpoint->moving = true;
  }

  /** Keeps the earlier permissions, except those of stuck endpoints and of endpoints that no longer
   * have the manifests. */
  void keepPermissions(Work& aWork)
  {
    for (Member& member : aWork.members) {
      if (!member.listed) {
        continue;
      }
      Memory& memory = memoryOf(aWork, member);
      bool isPending = member.served != nullptr && !member.atTarget && member.endpoint->inService;
      bool isStuck = isPending && now - memory.allowedAt >= planner.mOptions.stuckAfter;
      member.allowed = true;
      if (isStuck) {
        ++memory.timesStuck;
      }
      if (isStuck || (isPending && !member.holds)) {
        withdraw(aWork, member);
      }
    }
  }

  /** Crashes may have taken availability below the bound; withdraws unused permissions, which would
   * reduce it further. */
  void withdrawBelowBound(Work& aWork)
  {
    for (Member& member : aWork.members) {
      bool isPending = member.allowed && member.served != nullptr && !member.atTarget;
      if (isPending && member.endpoint->inService && aWork.available() < aWork.required) {
        withdraw(aWork, member);
      }
    }
  }

  void permitWithoutLoss(Work& aWork)
  {
    for (Member& member : aWork.members) {
      bool takesNothing =
        member.atTarget || member.isFree() || (member.holds && isOutOfService(member));
      if (!member.allowed && takesNothing && leavesOthersServing(aWork, member)) {
        permit(aWork, member);
      }
    }
  }

  static bool isOutOfService(const Member& aMember)
  {
    return aMember.endpoint->agent != nullptr && !aMember.endpoint->inService;
  }

  /** True if the other models on the endpoint can spare it: a switch drains the whole endpoint. */
  bool leavesOthersServing(const Work& aWork, const Member& aMember) const
  {
    if (aMember.endpoint->moving || !aMember.endpoint->inService || aMember.atTarget) {
      return true;
    }
    return std::all_of(works.begin(), works.end(), [&](const Work& aOther) {
      return &aOther == &aWork || !isServedBy(aOther, aMember) ||
             (!isStarting() && aOther.available() > aOther.required);
    });
  }

  static bool isServedBy(const Work& aWork, const Member& aMember)
  {
    return std::any_of(aWork.members.begin(), aWork.members.end(), [&](const Member& aOther) {
      return aOther.endpoint == aMember.endpoint && Work::counts(aOther);
    });
  }

  void permit(Work& aWork, Member& aMember)
  {
    Memory& memory = memoryOf(aWork, aMember);
    memory.allowed = true;
    memory.used = aMember.atTarget;
    memory.allowedAt = now;
    aMember.allowed = true;
    if (!aMember.atTarget) {
      aMember.endpoint->moving = true;
    }
  }

  /** True while agents may still use permissions withdrawn by an earlier lease holder. */
  bool isStarting() const { return now - planner.mStarted < planner.mOptions.withdrawGrace; }

  /** Permits as many serving endpoints as the bound allows; previously stuck ones come last. */
  void permitWave(Work& aWork)
  {
    if (isStarting()) {
      return;
    }
    std::vector<Member*> candidates;
    for (Member& member : aWork.members) {
      bool mayGo = !member.allowed && member.holds && member.served != nullptr &&
                   !isWithdrawnRecently(memoryOf(aWork, member));
      if (mayGo) {
        candidates.push_back(&member);
      }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [&](Member* aLeft, Member* aRight) {
      return memoryOf(aWork, *aLeft).timesStuck < memoryOf(aWork, *aRight).timesStuck;
    });
    for (Member* member : candidates) {
      // A cold endpoint adds to availability once it is warm, so it also stays while the bound is
      // missed.
      uint64_t needed = aWork.required + (Work::counts(*member) ? 1 : 0);
      if (aWork.available() >= needed && leavesOthersServing(aWork, *member)) {
        permit(aWork, *member);
      }
    }
  }

  void write(const Work& aWork, std::vector<Change>& aChanges) const
  {
    Rollout wanted{ aWork.serving->model, aWork.serving->version, fencing, {} };
    for (const Member& member : aWork.members) {
      if (member.allowed) {
        wanted.allowed.push_back(member.endpoint->name);
      }
    }
    const Rollout* stored = aWork.rolloutSpec();
    if (stored != nullptr && isCurrent(aWork) && stored->allowed == wanted.allowed) {
      return;
    }
    Resource resource{ "Rollout", aWork.resource->name, 0, wanted };
    if (aWork.rollout == nullptr) {
      aChanges.push_back({ ChangeType::Create, std::move(resource) });
    } else {
      resource.resourceVersion = aWork.rollout->resourceVersion;
      aChanges.push_back({ ChangeType::Replace, std::move(resource) });
    }
  }

  void removeOrphans(std::vector<Change>& aChanges) const
  {
    snapshot.each<Rollout>([&](const Resource& aResource, const Rollout&) {
      if (snapshot.find("Serving", aResource.name) == nullptr) {
        aChanges.push_back({ ChangeType::Remove, aResource });
      }
    });
  }

  void forgetOld()
  {
    std::erase_if(planner.mMemory, [&](const auto& aEntry) {
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
    collectWorks();
    forgetOld();
    for (Work& work : works) {
      markMoving(work);
    }
    for (Work& work : works) {
      keepPermissions(work);
      withdrawBelowBound(work);
    }
    for (Work& work : works) {
      permitWithoutLoss(work);
      permitWave(work);
      write(work, changes);
    }
    removeOrphans(changes);
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
    mStarted = aNow;
  }
  return Round{ *this, aSnapshot, aNodes, aNow, aFencing, {}, {} }.run();
}

} // namespace boragepitch::rollout
