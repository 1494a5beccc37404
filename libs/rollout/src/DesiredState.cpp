#include "rollout/DesiredState.h"

#include <algorithm>
#include <tuple>

#include "resources/Validate.h"

namespace boragepitch::rollout {

namespace {

using namespace resources;

bool contains(const std::vector<std::string>& aList, std::string_view aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

class Collector
{
public:
  Collector(const Snapshot& aSnapshot, std::string_view aEndpoint, DesiredState& aState)
    : mSnapshot(aSnapshot)
    , mEndpoint(aEndpoint)
    , mState(aState)
  {
  }

  void add(const Resource& aResource, const Serving& aServing)
  {
    const Resource* version = findModelVersion(mSnapshot, aServing.model, aServing.version);
    if (version == nullptr) {
      return; // Without its ModelVersion, a declared version cannot be fetched or verified.
    }
    Target target;
    target.serving = aResource.name;
    target.wanted = addManifest(*version, aServing.urgency, aResource.resourceVersion, true);
    for (const std::string& name : aServing.adapters) {
      const Resource* adapter = mSnapshot.find("ModelVersion", name);
      if (adapter != nullptr) {
        target.adapters.push_back(
          addManifest(*adapter, aServing.urgency, aResource.resourceVersion, true));
      }
    }
    applyRollout(aResource, aServing, target);
    addOtherVersions(aServing, aResource.resourceVersion);
    mState.targets.push_back(std::move(target));
  }

private:
  control::ServedModel addManifest(const Resource& aVersion,
                                   int aUrgency,
                                   uint64_t aDeclaredAt,
                                   bool aRequired)
  {
    const auto& spec = std::get<ModelVersion>(aVersion.spec);
    mState.manifests.push_back({ spec.manifest,
                                 spec.model,
                                 spec.version,
                                 spec.origin,
                                 spec.size,
                                 aUrgency,
                                 aDeclaredAt,
                                 aRequired });
    return { spec.model, spec.version, spec.manifest };
  }

  void applyRollout(const Resource& aResource, const Serving& aServing, Target& aTarget)
  {
    const auto* rollout = mSnapshot.spec<Rollout>("Rollout", aResource.name);
    if (rollout == nullptr || rollout->model != aServing.model) {
      return;
    }
    aTarget.rolloutFencing = rollout->fencing;
    bool isListed = contains(rollout->allowed, mEndpoint);
    uint64_t writtenAt = mSnapshot.find("Rollout", aResource.name)->resourceVersion;
    // Adapters can change while the version stays the same, so the Rollout must also be newer than
    // the declaration.
    if (rollout->version == aServing.version && writtenAt > aResource.resourceVersion) {
      aTarget.allowed = isListed;
      return;
    }
    const Resource* previous = findModelVersion(mSnapshot, rollout->model, rollout->version);
    if (previous != nullptr && isListed) {
      aTarget.fallback = addManifest(*previous, aServing.urgency, aResource.resourceVersion, false);
    }
  }

  /** Adds the newest other versions, so that a rollback to a stored one needs no transfer. */
  void addOtherVersions(const Serving& aServing, uint64_t aDeclaredAt)
  {
    constexpr size_t kMaxOtherVersions = 3;
    std::vector<const Resource*> others;
    mSnapshot.each<ModelVersion>([&](const Resource& aResource, const ModelVersion& aSpec) {
      if (aSpec.model == aServing.model && aSpec.version != aServing.version) {
        others.push_back(&aResource);
      }
    });
    std::stable_sort(
      others.begin(), others.end(), [](const Resource* aLeft, const Resource* aRight) {
        return aLeft->resourceVersion > aRight->resourceVersion;
      });
    for (size_t i = 0; i < std::min(others.size(), kMaxOtherVersions); ++i) {
      addManifest(*others[i], aServing.urgency, aDeclaredAt, false);
    }
  }

  const Snapshot& mSnapshot;
  std::string_view mEndpoint;
  DesiredState& mState;
};

void sortManifests(std::vector<WantedManifest>& aManifests)
{
  auto order = [](const WantedManifest& aOne) {
    return std::tuple(!aOne.required, -aOne.urgency, aOne.declaredAt);
  };
  std::stable_sort(
    aManifests.begin(), aManifests.end(), [&](const auto& aLeft, const auto& aRight) {
      return order(aLeft) < order(aRight);
    });
  std::vector<WantedManifest> unique;
  for (WantedManifest& wanted : aManifests) {
    bool isNew = std::none_of(unique.begin(), unique.end(), [&](const WantedManifest& aOther) {
      return aOther.manifest == wanted.manifest;
    });
    if (isNew) {
      unique.push_back(std::move(wanted));
    }
  }
  aManifests = std::move(unique);
}

} // namespace

DesiredState desiredState(const Snapshot& aSnapshot, std::string_view aEndpoint)
{
  DesiredState state;
  const auto* endpoint = aSnapshot.spec<Endpoint>("Endpoint", aEndpoint);
  if (endpoint == nullptr || endpoint->type != EndpointType::Model) {
    return state;
  }
  state.inService = isInService(aSnapshot, *endpoint);
  state.role = endpoint->role;
  state.honoursFencing = endpoint->honoursFencing;
  std::vector<std::pair<const Resource*, const Serving*>> servings;
  aSnapshot.each<Serving>([&](const Resource& aResource, const Serving& aServing) {
    if (covers(aSnapshot, aServing, aEndpoint, *endpoint)) {
      servings.emplace_back(&aResource, &aServing);
    }
  });
  std::stable_sort(servings.begin(), servings.end(), [](const auto& aLeft, const auto& aRight) {
    return std::pair(-aLeft.second->urgency, aLeft.first->resourceVersion) <
           std::pair(-aRight.second->urgency, aRight.first->resourceVersion);
  });
  Collector collector(aSnapshot, aEndpoint, state);
  for (const auto& [resource, serving] : servings) {
    collector.add(*resource, *serving);
  }
  sortManifests(state.manifests);
  return state;
}

Target targetOf(const Snapshot& aSnapshot, const Resource& aServing, std::string_view aEndpoint)
{
  DesiredState state;
  Collector(aSnapshot, aEndpoint, state).add(aServing, std::get<Serving>(aServing.spec));
  return state.targets.empty() ? Target{} : state.targets.front();
}

std::vector<WantedManifest> manifestsToHold(const DesiredState& aDesired,
                                            const std::vector<control::ServedModel>& aLoaded)
{
  constexpr int kHighestUrgency = 9;
  std::vector<WantedManifest> manifests = aDesired.manifests;
  for (const control::ServedModel& loaded : aLoaded) {
    auto known = std::find_if(manifests.begin(), manifests.end(), [&](const auto& aWanted) {
      return aWanted.manifest == loaded.manifest;
    });
    if (known != manifests.end()) {
      known->required = true;
    } else {
      manifests.push_back(
        { loaded.manifest, loaded.model, loaded.version, "", 0, kHighestUrgency, 0, true });
    }
  }
  sortManifests(manifests);
  return manifests;
}

} // namespace boragepitch::rollout
