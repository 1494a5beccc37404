#include "serving/HedgePolicy.h"

#include <algorithm>
#include <array>
#include <functional>

namespace boragepitch::serving {

namespace {
using namespace std::chrono_literals;

/** Bounds of the share of latencies that are shorter than the delay. In between, no more requests
 * are slower than the budget pays hedges for: with a lower percentile it would be spent on ordinary
 * requests before the slowest ones come. */
constexpr double kMinPercentile = 0.9;
constexpr double kMaxPercentile = 0.995;
/** Share of the endpoints, the slowest ones, whose latencies do not count. One slow endpoint in ten
 * has a tenth of all latencies and would set the percentile itself. */
constexpr double kTrimmedEndpoints = 0.2;
constexpr size_t kMaxSamples = 512;
/** Latencies below which the percentile is not known. */
constexpr size_t kMinSamples = 40;
constexpr base::Milliseconds kMaxSampleAge = 30000ms;
/** The delay is computed anew after so many latencies, or after this time. */
constexpr size_t kSamplesToCompute = 16;
constexpr base::Milliseconds kComputeInterval = 250ms;
constexpr double kMinDelayMs = 2;
/** Maximum factor by which predicted load raises the delay. */
constexpr double kMaxLoadFactor = 8;
/** Share of recent requests that exceed the delay above which the service is slow as a whole. The
 * trimmed endpoints and the rest of the percentile explain at most this much. */
constexpr double kSlowShare = 0.25;
/** Requests below which that share is not judged. */
constexpr int kMinRequestsToJudge = 20;
constexpr base::Milliseconds kJudgedTime = 2000ms;
constexpr base::Milliseconds kSliceLength = 500ms;
/** Load of the other endpoint, relative to its slots, above which a hedge may displace requests. */
constexpr double kMaxLoadShare = 0.8;
/** Share of the retry budget that hedges leave for retries. */
constexpr double kReservedForRetries = 0.5;
/** Time to the deadline below which a hedge is not worthwhile. */
constexpr base::Milliseconds kMinTimeLeft = 60ms;

template<typename T>
double quantile(std::vector<T>& aValues, double aShare)
{
  auto rank = static_cast<size_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + static_cast<ptrdiff_t>(rank), aValues.end());
  return aValues[rank];
}
} // namespace

std::string_view toString(HedgeObstacle aObstacle)
{
  static constexpr std::array<std::string_view, kHedgeObstacles> kNames = {
    "none",        "disabled",   "not_repeatable", "begun",        "caller_left",
    "suspected",   "no_time",    "last_attempt",   "unmeasured",   "slow_service",
    "no_endpoint", "unsuitable", "full",           "hedge_budget", "retry_budget",
  };
  return kNames[static_cast<size_t>(aObstacle)];
}

HedgePolicy::HedgePolicy(HedgeOptions aOptions)
  : mOptions(aOptions)
  , mBudget({ .ratio = aOptions.share, .slack = 0, .window = aOptions.window })
{
}

HedgePolicy::Measured& HedgePolicy::measuredOf(std::string_view aRoute)
{
  auto found = mRoutes.find(aRoute);
  return found != mRoutes.end() ? found->second : mRoutes[std::string(aRoute)];
}

HedgePolicy::Slice& HedgePolicy::current(Measured& aMeasured, base::TimePoint aNow)
{
  auto& slices = aMeasured.slices;
  while (!slices.empty() && aNow - slices.front().since > kJudgedTime) {
    slices.pop_front();
  }
  if (slices.empty() || aNow - slices.back().since >= kSliceLength) {
    slices.push_back({ .since = aNow });
  }
  return slices.back();
}

void HedgePolicy::recordRequest(std::string_view aRoute,
                                std::string_view aService,
                                base::TimePoint aNow)
{
  if (!isEnabled()) {
    return;
  }
  mBudget.recordRequest(aService, aNow);
  Measured& measured = measuredOf(aRoute);
  measured.requestedAt = aNow;
  ++current(measured, aNow).requests;
}

void HedgePolicy::recordLatency(std::string_view aRoute,
                                std::string_view aEndpoint,
                                base::Duration aTime,
                                double aPredictedMs,
                                base::TimePoint aNow)
{
  if (!isEnabled()) {
    return;
  }
  Measured& measured = measuredOf(aRoute);
  double ms = std::chrono::duration<double, std::milli>(aTime).count();
  measured.samples.push_back({ aNow, std::hash<std::string_view>()(aEndpoint), ms, aPredictedMs });
  if (measured.samples.size() > kMaxSamples) {
    measured.samples.pop_front();
  }
  ++measured.newSamples;
}

void HedgePolicy::compute(Measured& aMeasured, double aPercentile, base::TimePoint aNow)
{
  auto& samples = aMeasured.samples;
  while (!samples.empty() && aNow - samples.front().at > kMaxSampleAge) {
    samples.pop_front();
  }
  aMeasured.computedAt = aNow;
  aMeasured.newSamples = 0;
  aMeasured.delayMs.reset();
  if (samples.size() < kMinSamples) {
    return;
  }
  std::map<uint64_t, std::vector<double>> byEndpoint;
  double predicted = 0;
  for (const Sample& sample : samples) {
    byEndpoint[sample.endpoint].push_back(sample.ms);
    predicted += sample.predictedMs;
  }
  std::vector<std::pair<double, const std::vector<double>*>> endpoints;
  for (auto& [endpoint, times] : byEndpoint) {
    endpoints.emplace_back(quantile(times, 0.5), &times);
  }
  std::sort(endpoints.begin(), endpoints.end());
  auto trimmed = static_cast<size_t>(kTrimmedEndpoints * static_cast<double>(endpoints.size()));
  endpoints.resize(endpoints.size() - trimmed);
  std::vector<double> counted;
  for (const auto& [median, times] : endpoints) {
    counted.insert(counted.end(), times->begin(), times->end());
  }
  aMeasured.delayMs = std::max(kMinDelayMs, quantile(counted, aPercentile));
  aMeasured.usualPredictedMs = predicted / static_cast<double>(samples.size());
}

std::optional<base::Duration> HedgePolicy::delay(std::string_view aRoute,
                                                 double aPredictedMs,
                                                 base::TimePoint aNow)
{
  auto found = mRoutes.find(aRoute);
  if (!isEnabled() || found == mRoutes.end()) {
    return std::nullopt;
  }
  Measured& measured = found->second;
  if (measured.newSamples >= kSamplesToCompute || aNow - measured.computedAt >= kComputeInterval) {
    double percentile = 1 - SharedRetryBudget::kSafetyFactor * mOptions.share;
    compute(measured, std::clamp(percentile, kMinPercentile, kMaxPercentile), aNow);
  }
  if (!measured.delayMs) {
    return std::nullopt;
  }
  double factor = measured.usualPredictedMs > 0 ? aPredictedMs / measured.usualPredictedMs : 1;
  double ms = *measured.delayMs * std::clamp(factor, 1.0, kMaxLoadFactor);
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(ms));
}

void HedgePolicy::recordOverdue(std::string_view aRoute, base::TimePoint aNow)
{
  ++current(measuredOf(aRoute), aNow).overdue;
}

bool HedgePolicy::isSlow(Measured& aMeasured, base::TimePoint aNow)
{
  current(aMeasured, aNow);
  int requests = 0;
  int overdue = 0;
  for (const Slice& slice : aMeasured.slices) {
    requests += slice.requests;
    overdue += slice.overdue;
  }
  return requests >= kMinRequestsToJudge && overdue > kSlowShare * requests;
}

HedgeObstacle HedgePolicy::obstacleToRequest(const HedgeCandidate& aCandidate, base::TimePoint aNow)
{
  if (!isEnabled()) {
    return HedgeObstacle::Disabled;
  }
  if (!aCandidate.mayRepeat) {
    return HedgeObstacle::NotRepeatable;
  }
  if (aCandidate.hasBegun) {
    return HedgeObstacle::Begun;
  }
  if (aCandidate.hasCallerLeft) {
    return HedgeObstacle::CallerLeft;
  }
  if (aCandidate.isSuspected) {
    return HedgeObstacle::Suspected;
  }
  if (aCandidate.timeLeft < kMinTimeLeft) {
    return HedgeObstacle::NoTime;
  }
  // The last attempt is left for a retry.
  if (aCandidate.possibleRuns + 2 > aCandidate.maxAttempts) {
    return HedgeObstacle::LastAttempt;
  }
  Measured& measured = measuredOf(aCandidate.route);
  if (!measured.delayMs) {
    return HedgeObstacle::Unmeasured;
  }
  return isSlow(measured, aNow) ? HedgeObstacle::SlowService : HedgeObstacle::None;
}

HedgeObstacle HedgePolicy::tryHedge(const HedgeCandidate& aCandidate,
                                    const HedgeTarget& aTarget,
                                    SharedRetryBudget& aRetryBudget,
                                    base::TimePoint aNow)
{
  HedgeObstacle obstacle = obstacleToRequest(aCandidate, aNow);
  if (obstacle != HedgeObstacle::None) {
    return obstacle;
  }
  if (!aTarget.isKnown) {
    return HedgeObstacle::NoEndpoint;
  }
  if (!aTarget.isSuitable) {
    return HedgeObstacle::Unsuitable;
  }
  if (aTarget.loadShare >= kMaxLoadShare) {
    return HedgeObstacle::Full;
  }
  double left = aRetryBudget.remaining(aCandidate.service, aNow) - 1;
  if (left < 0 || left < kReservedForRetries * aRetryBudget.allowance(aCandidate.service, aNow)) {
    return HedgeObstacle::RetryBudget;
  }
  if (!mBudget.tryRetry(aCandidate.service, aNow)) {
    return HedgeObstacle::HedgeBudget;
  }
  return aRetryBudget.tryRetry(aCandidate.service, aNow) ? HedgeObstacle::None
                                                         : HedgeObstacle::RetryBudget;
}

void HedgePolicy::prune(base::TimePoint aNow)
{
  std::erase_if(mRoutes, [&](const auto& aRoute) {
    return aNow - aRoute.second.requestedAt > 2 * base::Duration(kMaxSampleAge);
  });
}

} // namespace boragepitch::serving
