#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"
#include "serving/SharedRetryBudget.h"

namespace boragepitch::serving {

struct HedgeOptions
{
  double share = 0;                   ///< Hedges allowed per request; 0 disables hedging.
  base::Milliseconds window{ 10000 }; ///< Length of the sliding window of the share.
};

/** Why a second copy of a request is not sent. */
enum class HedgeObstacle
{
  None,
  Disabled,
  NotRepeatable, ///< The request may run only once.
  Begun,         ///< The answer to the first copy has begun.
  CallerLeft,
  Suspected,   ///< The request or a part of its prompt is suspected of crashes.
  NoTime,      ///< Too little of the caller's time is left.
  LastAttempt, ///< No attempt would be left for a retry.
  Unmeasured,  ///< Too few latencies of the route are known.
  SlowService, ///< Too many requests of the route are slow: it is not one endpoint's fault.
  NoEndpoint,  ///< No other endpoint takes the request.
  Unsuitable,  ///< The other endpoint is cold, leaving, paused or limited.
  Full,        ///< The service is short of capacity.
  HedgeBudget,
  RetryBudget, ///< The rest of the retry budget is reserved for retries.
};
constexpr size_t kHedgeObstacles = 15;

std::string_view toString(HedgeObstacle aObstacle);

/** A request whose first copy is running. */
struct HedgeCandidate
{
  std::string_view route;
  std::string_view service;
  bool mayRepeat = false;
  bool hasBegun = false; ///< The answer to the first copy has begun.
  bool hasCallerLeft = false;
  bool isSuspected = false;
  int possibleRuns = 1; ///< Copies that may have run, the running one included.
  int maxAttempts = 1;  ///< Copies that may run.
  base::Duration timeLeft{ 0 };
};

/** The endpoint that the placement chose for the second copy. */
struct HedgeTarget
{
  bool isKnown = false; ///< The placement found an endpoint.
  bool isSuitable = false;
  double loadShare = 0; ///< Requests at the endpoint relative to its slots.
};

/**
 * Decides when a second copy of a slow request is sent to another endpoint (a hedge). Each process
 * decides by its own measurements and spends the share of its own requests, so that the share holds
 * for all processes without messages. Not thread-safe.
 */
class HedgePolicy
{
public:
  explicit HedgePolicy(HedgeOptions aOptions);

  bool isEnabled() const { return mOptions.share > 0; }
  /** Counts a request of the service towards its hedge budget. */
  void recordRequest(std::string_view aRoute, std::string_view aService, base::TimePoint aNow);
  /** Records the time from a send to the whole answer or the first event. The time of a copy that
   * was cancelled counts, too: without it the slowest latencies would be missing.
   * @param aPredictedMs time that was predicted at the send. */
  void recordLatency(std::string_view aRoute,
                     std::string_view aEndpoint,
                     base::Duration aTime,
                     double aPredictedMs,
                     base::TimePoint aNow);
  /** Time after the send from which a request of the route is slower than nearly all others. Empty
   * while too few latencies are known.
   * @param aPredictedMs time that was predicted at the send; above the usual it raises the delay.
   */
  std::optional<base::Duration> delay(std::string_view aRoute,
                                      double aPredictedMs,
                                      base::TimePoint aNow);
  /** Records that a request is slower than the delay. Once per send. */
  void recordOverdue(std::string_view aRoute, base::TimePoint aNow);
  /** Reasons that hold for whatever endpoint. To be asked before the placement. */
  HedgeObstacle obstacleToRequest(const HedgeCandidate& aCandidate, base::TimePoint aNow);
  /** Decides; HedgeObstacle::None spends one hedge and one retry of the budgets. */
  HedgeObstacle tryHedge(const HedgeCandidate& aCandidate,
                         const HedgeTarget& aTarget,
                         SharedRetryBudget& aRetryBudget,
                         base::TimePoint aNow);
  /** Forgets routes without recent requests. */
  void prune(base::TimePoint aNow);

private:
  struct Sample
  {
    base::TimePoint at;
    uint64_t endpoint = 0; ///< Hash of its id.
    double ms = 0;
    double predictedMs = 0;
  };
  struct Slice
  {
    base::TimePoint since;
    int requests = 0;
    int overdue = 0;
  };
  struct Measured
  {
    std::deque<Sample> samples;
    std::deque<Slice> slices;
    base::TimePoint computedAt;
    base::TimePoint requestedAt;
    size_t newSamples = 0; ///< Since the delay was computed.
    std::optional<double> delayMs;
    double usualPredictedMs = 0;
  };

  Measured& measuredOf(std::string_view aRoute);
  static Slice& current(Measured& aMeasured, base::TimePoint aNow);
  static void compute(Measured& aMeasured, double aPercentile, base::TimePoint aNow);
  static bool isSlow(Measured& aMeasured, base::TimePoint aNow);

  HedgeOptions mOptions;
  SharedRetryBudget mBudget; ///< Of hedges; counts them as the retry budget counts retries.
  std::map<std::string, Measured, std::less<>> mRoutes;
};

} // namespace boragepitch::serving
