#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/Rng.h"
#include "base/Time.h"
#include "serving/Deployment.h"

namespace boragepitch::serving {

struct PriorityLimits
{
  /** Share of the more urgent requests that may find no room before less urgent ones are refused; 1
   * turns the refusal by priority off. */
  double urgentRefusals = 0.01;
  /** Minimum share of each priority's requests that is admitted, relative to that of all requests.
   * Above a quarter, since admitted requests may still find no room. */
  double floor = 0.27;
};

/** Division of contested room between workspaces. */
struct WorkspaceShares
{
  bool isEnabled = false;
  std::map<std::string, double, std::less<>> weights; ///< 1 for those that are not named.
};

struct AdmissionDecision
{
  bool isAdmitted = true;
  double share = 1; ///< Share of the requests of this priority that is admitted now.
  /** The most urgent priority that lately found no room; valid when refused. */
  int refusedFor = 0;
  base::Milliseconds retryAfter{ 0 }; ///< Valid when refused.
};

/**
 * Decides whether a first attempt may be placed, by its priority. When more urgent requests find no
 * room at the endpoints, the rate of admissions is limited and granted in the order of urgency, so
 * that the least urgent requests are refused first. The limit follows from what the more urgent
 * requests experience, as no process knows the load that the others put on the endpoints. What a
 * priority is granted can be divided between workspaces by weighted max-min shares. One
 * instance serves all services of a process, each by itself. No I/O; not thread-safe.
 */
class PriorityAdmission
{
public:
  explicit PriorityAdmission(PriorityLimits aLimits, WorkspaceShares aShares = {})
    : mLimits(aLimits)
    , mShares(std::move(aShares))
  {
  }

  bool sharesByWorkspace() const { return mShares.isEnabled; }

  /** Counts a first attempt and decides on it; recordPlacement() must follow if it is admitted. */
  AdmissionDecision admit(std::string_view aService,
                          int aPriority,
                          std::string_view aWorkspace,
                          base::TimePoint aNow,
                          base::Rng& aRng);
  /** Records whether an admitted request found room at an endpoint. */
  void recordPlacement(std::string_view aService, int aPriority, bool aHasRoom);
  /** Admissions per second to which the service is limited; empty while it is not contested. */
  std::optional<double> limit(std::string_view aService) const;

private:
  /** Requests of one workspace and priority, with older ones weighing less. */
  struct Sender
  {
    double arrivals = 0;
    double share = 1; ///< Share that is admitted.
  };
  /** Requests of one priority, with older ones weighing less. */
  struct Class
  {
    double arrivals = 0;
    double placed = 0;
    double refused = 0;     ///< Admitted, but found no room.
    double newlyPlaced = 0; ///< Since the last adaptation; part of the counts above from then on.
    double newlyRefused = 0;
    double share = 1;                                   ///< Share that is admitted.
    std::map<std::string, Sender, std::less<>> senders; ///< Empty unless shares are enabled.
  };
  struct Service
  {
    std::array<Class, kPriorityCount> classes;
    base::TimePoint adaptedAt;
    double seconds = 0; ///< Time that the counts cover, with older time weighing less.
    std::optional<double> limit;
    int calmRounds = 0;  ///< Consecutive adaptations without a reason to lower the limit.
    int slackRounds = 0; ///< Consecutive adaptations with fewer arrivals than the limit.
    int refusedFor = 0;
  };

  void adapt(Service& aService, base::TimePoint aNow) const;
  void adaptLimit(Service& aService) const;
  void grant(Service& aService) const;
  /** Divides what the priority is granted between its workspaces. */
  void divide(Class& aClass) const;
  static bool hasSeveralWorkspaces(const Service& aService);

  PriorityLimits mLimits;
  WorkspaceShares mShares;
  std::map<std::string, Service, std::less<>> mServices;
};

} // namespace boragepitch::serving
