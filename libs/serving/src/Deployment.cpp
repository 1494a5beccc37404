#include "serving/Deployment.h"

#include <algorithm>

namespace boragepitch::serving {

std::string_view toString(CallKind aKind)
{
  switch (aKind) {
    case CallKind::Idempotent:
      return "idempotent";
    case CallKind::Mutating:
      return "mutating";
    case CallKind::Streaming:
      return "streaming";
  }
  return "mutating";
}

bool allowsRegion(const Regions& aRegions, std::string_view aRegion)
{
  return aRegions.empty() || std::find(aRegions.begin(), aRegions.end(), aRegion) != aRegions.end();
}

Deployment& Deployment::Builder::result()
{
  if (!mResult) {
    mResult = std::make_shared<Deployment>();
  }
  return *mResult;
}

Deployment::Builder& Deployment::Builder::version(uint64_t aVersion)
{
  result().mVersion = aVersion;
  return *this;
}

Deployment::Builder& Deployment::Builder::addRoute(Route aRoute)
{
  result().mRoutes.push_back(std::make_unique<Route>(std::move(aRoute)));
  return *this;
}

Deployment::Builder& Deployment::Builder::addService(Service aService)
{
  std::string name = aService.name;
  result().mServices.insert_or_assign(std::move(name), std::move(aService));
  return *this;
}

Deployment::Builder& Deployment::Builder::requireKeys()
{
  result().mRequiresKeys = true;
  return *this;
}

Deployment::Builder& Deployment::Builder::addWorkspace(Workspace aWorkspace,
                                                       const std::vector<std::string>& aKeys)
{
  Deployment& deployment = result();
  deployment.mWorkspaces.push_back(std::make_unique<Workspace>(std::move(aWorkspace)));
  for (const std::string& key : aKeys) {
    deployment.mByKey.insert_or_assign(key, deployment.mWorkspaces.back().get());
  }
  return *this;
}

Deployment::Builder& Deployment::Builder::limits(CallerLimits aLimits)
{
  result().mLimits = aLimits;
  return *this;
}

std::shared_ptr<const Deployment> Deployment::Builder::build()
{
  Deployment& deployment = result();
  for (const auto& route : deployment.mRoutes) {
    deployment.mByHost[route->host].push_back(route.get());
  }
  std::map<std::string_view, int> priorities;
  for (const auto& route : deployment.mRoutes) {
    for (const auto& part : route->services) {
      auto first = priorities.emplace(part.service, route->priority).first;
      if (first->second != route->priority) {
        deployment.mPrioritized.insert(part.service);
      }
      auto& target = deployment.mTargets[part.service]
                       .emplace(route->priority, route->latencyTarget)
                       .first->second;
      target = std::min(target, route->latencyTarget);
    }
  }
  for (auto& [host, routes] : deployment.mByHost) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* aLeft, const Route* aRight) {
      return aLeft->pathPrefix.size() > aRight->pathPrefix.size();
    });
  }
  rankPriorities(deployment);
  return std::exchange(mResult, nullptr);
}

void Deployment::Builder::rankPriorities(Deployment& aDeployment)
{
  std::set<int> ofWorkspaces;
  for (const auto& workspace : aDeployment.mWorkspaces) {
    if (workspace->priority) {
      ofWorkspaces.insert(*workspace->priority);
    }
  }
  auto& ranks = aDeployment.mRanks;
  for (const auto& route : aDeployment.mRoutes) {
    ranks[{ route->priority, route->priority }] = 0;
    for (int priority : ofWorkspaces) {
      ranks[{ priority, route->priority }] = 0;
    }
  }
  constexpr size_t kRanks = kPriorityCount - 1;
  size_t index = 0;
  for (auto& [pair, rank] : ranks) {
    rank = 1 + static_cast<int>(ranks.size() <= kRanks ? index : index * kRanks / ranks.size());
    ++index;
  }
}

const Route* Deployment::match(std::string_view aHost, std::string_view aPath) const
{
  auto found = mByHost.find(aHost);
  if (found == mByHost.end()) {
    return nullptr;
  }
  for (const Route* route : found->second) {
    if (aPath.starts_with(route->pathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

const Service* Deployment::service(std::string_view aName) const
{
  auto found = mServices.find(aName);
  return found == mServices.end() ? nullptr : &found->second;
}

bool Deployment::hasSeveralPriorities(std::string_view aService) const
{
  return mPrioritized.contains(aService);
}

int Deployment::rankOf(const Route& aRoute, const Workspace* aWorkspace) const
{
  int first =
    aWorkspace != nullptr && aWorkspace->priority ? *aWorkspace->priority : aRoute.priority;
  return mRanks.at({ first, aRoute.priority });
}

std::optional<base::Milliseconds> Deployment::urgentTarget(std::string_view aService,
                                                           const Route& aRoute) const
{
  auto found = mTargets.find(aService);
  std::optional<base::Milliseconds> shortest;
  if (found != mTargets.end()) {
    for (const auto& [priority, target] : found->second) {
      if (priority < aRoute.priority) {
        shortest = std::min(shortest.value_or(target), target);
      }
    }
  }
  return shortest;
}

bool Deployment::mayMoveStreams(std::string_view aService) const
{
  auto servesIt = [&](const Route& aRoute) {
    return std::any_of(aRoute.services.begin(), aRoute.services.end(), [&](const auto& aWeighted) {
      return aWeighted.service == aService;
    });
  };
  bool isServed = false;
  for (const auto& route : mRoutes) {
    if (servesIt(*route)) {
      isServed = true;
      if (route->kind != CallKind::Streaming || !route->isResumable || route->maxAttempts < 2 ||
          !route->regions.empty()) {
        return false;
      }
    }
  }
  return isServed &&
         std::all_of(mWorkspaces.begin(), mWorkspaces.end(), [](const auto& aWorkspace) {
           return aWorkspace->regions.empty();
         });
}

const Workspace* Deployment::workspaceOf(std::string_view aKey) const
{
  auto found = mByKey.find(aKey);
  return found == mByKey.end() ? nullptr : found->second;
}

} // namespace boragepitch::serving
