#pragma once

#include <string_view>

#include "Core.h"
#include "relay/HeaderCodec.h"

namespace boragepitch::relay {

/** Reasons of refusals, in log lines and explanations. */
inline constexpr std::string_view kQuarantined = "quarantined";
inline constexpr std::string_view kStopping = "stopping";
inline constexpr std::string_view kLessUrgent = "less_urgent";

/** What a request asks for, as far as its route depends on it. */
struct RequestTarget
{
  std::string_view host;   ///< With or without a port.
  std::string_view target; ///< Path and query.
  const RequestFacts& facts;
  base::TimePoint received;
};

/** Where a configuration sends a request, before an endpoint is chosen. */
struct RoutedRequest
{
  const serving::Route* route = nullptr;
  const serving::Workspace* workspace = nullptr; ///< Null if the route needs no key.
  const serving::Service* service = nullptr;     ///< Drawn by weight; null with an obstacle.
  base::TimePoint deadline;                      ///< End of the caller's time; valid with a route.
  int priority = serving::kPriorityCount - 1;    ///< As Deployment::rankOf(); valid with a route.
  /** Latency target of more urgent requests for which this one leaves room. */
  std::optional<base::Duration> urgentTarget;
  int status = 0;            ///< The answer if there is an obstacle.
  std::string_view obstacle; ///< Why the request is not sent on; may be empty.
};

RoutedRequest routeRequest(const Core& aCore,
                           const serving::Deployment* aDeployment,
                           const RequestTarget& aRequest,
                           base::TimePoint aNow,
                           base::Rng& aRng);

/** The question to EndpointSet::choose() for a request that was not sent before. */
serving::PlacementRequest placementRequest(const Core& aCore,
                                           const RoutedRequest& aRouted,
                                           const RequestTarget& aRequest,
                                           base::TimePoint aNow);

/** Whether PriorityAdmission decides on the first attempt of a request. */
bool isPrioritized(const Core& aCore,
                   const serving::Deployment& aDeployment,
                   const RoutedRequest& aRouted,
                   const RequestFacts& aFacts);

/** Time after which a refused caller is told to come back.
 * @param aAdmission valid if the reason is kLessUrgent.
 * @param aUnavailableFor as in Placement. */
base::Milliseconds retryAfter(std::string_view aReason,
                              const RoutedRequest& aRouted,
                              const serving::AdmissionDecision& aAdmission,
                              base::Duration aUnavailableFor,
                              base::Rng& aRng);

} // namespace boragepitch::relay
