#include "Routing.h"

#include <algorithm>
#include <random>

#include "serving/RetryAdvice.h"

namespace boragepitch::relay {

namespace {

std::string_view pathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string_view hostName(std::string_view aHost)
{
  return aHost.substr(0, aHost.rfind(':'));
}

const serving::Service* drawService(const serving::Deployment& aDeployment,
                                    const serving::Route& aRoute,
                                    base::Rng& aRng)
{
  double total = 0;
  for (const auto& part : aRoute.services) {
    total += part.weight;
  }
  double draw = std::uniform_real_distribution<double>(0, std::max(total, 1e-9))(aRng);
  for (const auto& part : aRoute.services) {
    draw -= part.weight;
    if (draw < 0 || &part == &aRoute.services.back()) {
      return aDeployment.service(part.service);
    }
  }
  return nullptr;
}

RoutedRequest obstructed(RoutedRequest aRouted, int aStatus, std::string_view aObstacle)
{
  aRouted.status = aStatus;
  aRouted.obstacle = aObstacle;
  return aRouted;
}

} // namespace

RoutedRequest routeRequest(const Core& aCore,
                           const serving::Deployment* aDeployment,
                           const RequestTarget& aRequest,
                           base::TimePoint aNow,
                           base::Rng& aRng)
{
  RoutedRequest routed;
  if (aDeployment == nullptr) {
    return obstructed(routed, 503, "no_configuration");
  }
  routed.route = aDeployment->match(hostName(aRequest.host), pathOf(aRequest.target));
  if (routed.route == nullptr) {
    return obstructed(routed, 404, "no_route");
  }
  if (aDeployment->requiresKeys() && !routed.route->isPublic) {
    routed.workspace = aDeployment->workspaceOf(aRequest.facts.key);
    if (routed.workspace == nullptr) {
      return obstructed(routed, 401, "unknown_key");
    }
  }
  routed.priority = aDeployment->rankOf(*routed.route, routed.workspace);
  auto time = routed.route->timeout;
  if (aRequest.facts.timeLeft) {
    time = std::min(time, *aRequest.facts.timeLeft);
  }
  routed.deadline = aRequest.received + base::Duration(time);
  auto expected = aCore.durations.expected(routed.route->name, aNow);
  if (!aCore.stop.admits(routed.deadline, routed.route->mayRepeat(), expected, aNow)) {
    return obstructed(routed, 503, kStopping);
  }
  routed.service = drawService(*aDeployment, *routed.route, aRng);
  if (routed.service == nullptr) {
    return obstructed(routed, 503, "no_service");
  }
  if (isPrioritized(aCore, *aDeployment, routed, aRequest.facts)) {
    auto target = aDeployment->urgentTarget(routed.service->name, *routed.route);
    // Some leave no room, so that no priority starves.
    if (target && aCore.urgentRefusals.moreUrgent(routed.service->name, routed.priority, aNow) &&
        std::uniform_real_distribution<double>(0, 1)(aRng) >= aCore.options.priorities.floor) {
      routed.urgentTarget = base::Duration(*target);
    }
  }
  return routed;
}

serving::PlacementRequest placementRequest(const Core& aCore,
                                           const RoutedRequest& aRouted,
                                           const RequestTarget& aRequest,
                                           base::TimePoint aNow)
{
  serving::PlacementRequest request;
  request.route = aRouted.route;
  request.service = aRouted.service;
  request.workspace = aRouted.workspace;
  request.promptTokens = aRequest.facts.promptTokens;
  request.priority = aRouted.priority;
  request.urgentTarget = aRouted.urgentTarget;
  request.firstEventBudget =
    aRequest.received + base::Duration(aRouted.route->latencyTarget) - aNow;
  if (aRouted.service->engine) {
    request.minWeightVersion = aCore.requiredVersion(aRequest.facts.model, aNow);
    request.newestWeightVersion = aCore.newestVersion(aRequest.facts.model);
    request.dueVersion = aCore.dueVersion(aRequest.facts.model, aNow);
  }
  return request;
}

bool isPrioritized(const Core& aCore,
                   const serving::Deployment& aDeployment,
                   const RoutedRequest& aRouted,
                   const RequestFacts& aFacts)
{
  // A resumed stream has already been admitted for its caller.
  return aRouted.service->engine && !aFacts.lastEvent &&
         (aCore.admission.sharesByWorkspace() ||
          aDeployment.hasSeveralPriorities(aRouted.service->name));
}

base::Milliseconds retryAfter(std::string_view aReason,
                              const RoutedRequest& aRouted,
                              const serving::AdmissionDecision& aAdmission,
                              base::Duration aUnavailableFor,
                              base::Rng& aRng)
{
  bool isNothingKnown =
    aRouted.service == nullptr || aReason == toString(serving::Refusal::NoEndpoint);
  auto delay = aReason == kStopping     ? serving::retryAfterStop(aRng)
               : aReason == kLessUrgent ? aAdmission.retryAfter
               : isNothingKnown         ? serving::retryAfterMissing()
                                        : serving::retryAfterFull(aRng);
  return delay + std::chrono::ceil<base::Milliseconds>(aUnavailableFor);
}

} // namespace boragepitch::relay
