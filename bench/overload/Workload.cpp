#include "Workload.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

#include "serving/EngineModel.h"

namespace boragepitch::overload {

namespace {

/** Weight of an answer token relative to a prompt token in a request's size. */
constexpr double kAnswerTokenWeight = 10;
/** Share of the worth that does not depend on the request's size. */
constexpr double kBaseWorth = 0.3;
constexpr double kMaxWorthFactor = 4;
/** Callers of streams leave after two seconds, four targets or eight gaps without an event. */
constexpr double kMinPatienceMs = 2000;
constexpr double kPatienceTargets = 4;
constexpr double kPatienceGaps = 8;
/** Sizes are log-normal, as on the users' platform: standard deviation of the logarithm. */
constexpr double kSizeSpread = 0.8;
constexpr double kMaxSizeToMean = 3;
/** Parameters of the load patterns. */
constexpr double kAbuserShare = 0.3;
constexpr int kAbuserRetries = 3;
constexpr double kEarlyLeaverShare = 0.3;
constexpr double kEarlyPatienceMs = 300;
constexpr double kHotShare = 0.6;
constexpr double kAwayEngineShare = 0.25;
constexpr double kLoadBetweenBursts = 0.7; ///< Share of the load in bursts.
constexpr double kBurstPeriodMs = 8000;
constexpr double kBurstLengthMs = 2500;
constexpr double kColdStaggerMs = 200;
constexpr double kRolloutStaggerMs = 300;
constexpr double kRolloutPauseMs = 2000;

double drawSize(double aMean, base::Rng& aRng)
{
  std::normal_distribution<double> normal(-kSizeSpread * kSizeSpread / 2, kSizeSpread);
  return std::clamp(aMean * std::exp(normal(aRng)), 1.0, kMaxSizeToMean * aMean);
}

double sizeOf(double aPrompt, double aAnswer)
{
  return aPrompt + kAnswerTokenWeight * aAnswer;
}

/** Relative rate of arrivals at a time. */
double rateAt(const WorkloadOptions& aOptions, double aAt)
{
  if (aOptions.pattern != Pattern::Burst) {
    return 1;
  }
  return std::fmod(aAt, kBurstPeriodMs) < kBurstLengthMs ? 1 : kLoadBetweenBursts;
}

size_t drawEntry(const WorkloadOptions& aOptions, double aAt, base::Rng& aRng)
{
  double progress = aAt / aOptions.lengthMs;
  double draw = std::uniform_real_distribution<double>(0, 1)(aRng);
  auto last = aOptions.entries - 1;
  if (aOptions.pattern == Pattern::Shift && draw < progress) {
    return last;
  }
  if (aOptions.pattern == Pattern::HotKey && draw < kHotShare) {
    return 0;
  }
  return base::uniformBelow(aRng, aOptions.entries);
}

std::vector<Change> makeChanges(const WorkloadOptions& aOptions)
{
  std::vector<Change> changes;
  double middle = aOptions.lengthMs / 2;
  auto away = static_cast<size_t>(kAwayEngineShare * static_cast<double>(aOptions.engines));
  for (size_t engine = 0; engine < aOptions.engines; ++engine) {
    auto turn = static_cast<double>(engine);
    switch (aOptions.pattern) {
      case Pattern::ScaleIn:
        if (engine < away) {
          changes.push_back({ middle, engine, Change::Kind::Drain });
        }
        break;
      case Pattern::Evacuation:
        if (engine % aOptions.zones == 0) {
          changes.push_back({ middle, engine, Change::Kind::Drain });
        }
        break;
      case Pattern::ColdReturn:
        if (engine < away) {
          changes.push_back({ middle + kColdStaggerMs * turn, engine, Change::Kind::Return });
        }
        break;
      case Pattern::Rollout:
        changes.push_back(
          { middle + kRolloutStaggerMs * turn, engine, Change::Kind::Pause, kRolloutPauseMs });
        break;
      default:
        break;
    }
  }
  return changes;
}

} // namespace

std::vector<Pattern> allPatterns()
{
  return { Pattern::Steady,     Pattern::Burst,   Pattern::Shift,   Pattern::HotKey,
           Pattern::RetryAbuse, Pattern::GiveUps, Pattern::ScaleIn, Pattern::ColdReturn,
           Pattern::Evacuation, Pattern::Rollout };
}

std::string_view toString(Pattern aPattern)
{
  switch (aPattern) {
    case Pattern::Steady:
      return "steady";
    case Pattern::Burst:
      return "burst";
    case Pattern::Shift:
      return "shift";
    case Pattern::HotKey:
      return "hotKey";
    case Pattern::RetryAbuse:
      return "retryAbuse";
    case Pattern::GiveUps:
      return "giveUps";
    case Pattern::ScaleIn:
      return "scaleIn";
    case Pattern::ColdReturn:
      return "coldReturn";
    case Pattern::Evacuation:
      return "evacuation";
    case Pattern::Rollout:
      return "rollout";
  }
  return "steady";
}

serving::EngineProfile usualEngine()
{
  serving::EngineProfile profile;
  profile.slots = 16;
  profile.stepMs = 7.4;
  profile.perSequenceMs = 0.0387;
  profile.contextMsPerThousand = 0.0203;
  profile.promptTokensPerSecond = 31900;
  profile.msPerMillionTokenPairs = 0.733;
  profile.stepsPerPass = 6;
  profile.meanPromptTokens = 973;
  profile.meanAnswerTokens = 106;
  return profile;
}

std::vector<RequestKind> usualKinds()
{
  return { { "spec", 0.40, 400, 300, 2.4, 0.61, 1330, 126 },
           { "quote", 0.29, 400, 300, 2.1, 0.52, 827, 126 },
           { "note", 0.31, 300, 300, 1.4, 0.35, 647, 72 } };
}

double leastCostMs(const serving::EngineProfile& aProfile,
                   uint64_t aPromptTokens,
                   uint64_t aAnswerTokens)
{
  // A pass of a full batch generates tokens for all its requests; the last may generate too many.
  serving::EngineModel model(aProfile);
  double steps = std::max(aProfile.stepsPerPass, 1);
  double passes = std::ceil(static_cast<double>(aAnswerTokens) / steps);
  return model.promptMs(aPromptTokens) +
         passes * model.passMs(aProfile.slots) / std::max(aProfile.slots, 1);
}

Workload makeWorkload(const serving::EngineProfile& aProfile, const WorkloadOptions& aOptions)
{
  Workload workload;
  workload.kinds = usualKinds();
  workload.changes = makeChanges(aOptions);
  base::Rng rng(aOptions.seed);
  double meanCost = 0;
  for (const RequestKind& kind : workload.kinds) {
    meanCost += kind.share * leastCostMs(aProfile,
                                         static_cast<uint64_t>(kind.meanPrompt),
                                         static_cast<uint64_t>(kind.meanAnswer));
  }
  double perMs = aOptions.load * static_cast<double>(aOptions.engines) / meanCost;
  std::exponential_distribution<double> pause(perMs);
  std::uniform_real_distribution<double> unit(0, 1);
  for (double at = pause(rng); at < aOptions.lengthMs; at += pause(rng)) {
    if (unit(rng) > rateAt(aOptions, at)) {
      continue;
    }
    Request request;
    request.id = workload.requests.size() + 1;
    request.at = at;
    double draw = unit(rng);
    for (; request.kind + 1 < workload.kinds.size(); ++request.kind) {
      draw -= workload.kinds[request.kind].share;
      if (draw < 0) {
        break;
      }
    }
    const RequestKind& kind = workload.kinds[request.kind];
    request.entry = drawEntry(aOptions, at, rng);
    request.promptTokens = static_cast<uint64_t>(drawSize(kind.meanPrompt, rng));
    request.answerTokens = static_cast<uint64_t>(drawSize(kind.meanAnswer, rng));
    double size =
      sizeOf(static_cast<double>(request.promptTokens), static_cast<double>(request.answerTokens)) /
      sizeOf(kind.meanPrompt, kind.meanAnswer);
    double factor = std::min(kMaxWorthFactor, kBaseWorth + (1 - kBaseWorth) * size);
    request.worth = kind.worth * factor;
    request.lateWorth = kind.lateWorth * factor;
    request.patienceMs =
      std::max({ kMinPatienceMs, kPatienceTargets * kind.targetMs, kPatienceGaps * kind.gapMs });
    if (aOptions.pattern == Pattern::RetryAbuse && unit(rng) < kAbuserShare) {
      request.retries = kAbuserRetries;
      request.ignoresAdvice = true;
    }
    if (aOptions.pattern == Pattern::GiveUps && unit(rng) < kEarlyLeaverShare) {
      request.patienceMs = kEarlyPatienceMs;
    }
    workload.requests.push_back(request);
  }
  return workload;
}

double offlineBound(const serving::EngineProfile& aProfile,
                    const Workload& aWorkload,
                    const WorkloadOptions& aOptions)
{
  // A request in time starts within its target, and its answer may go on after the last arrival.
  double longest = 0;
  for (const Request& request : aWorkload.requests) {
    longest = std::max(longest, static_cast<double>(request.answerTokens));
  }
  serving::EngineModel model(aProfile);
  double tail = std::max_element(aWorkload.kinds.begin(),
                                 aWorkload.kinds.end(),
                                 [](const auto& aLeft, const auto& aRight) {
                                   return aLeft.targetMs < aRight.targetMs;
                                 })
                  ->targetMs +
                longest * model.stepMs(1);
  double end = aOptions.lengthMs + tail;
  double engineMs = end * static_cast<double>(aOptions.engines);
  for (const Change& change : aWorkload.changes) {
    // Paused or restarted engines finish their requests in flight; only leaving loses capacity.
    if (change.kind == Change::Kind::Drain) {
      engineMs -= std::max(0.0, end - change.at - tail);
    }
  }
  std::vector<std::pair<double, double>> offers; ///< (worth per millisecond, milliseconds).
  for (const Request& request : aWorkload.requests) {
    double cost = leastCostMs(aProfile, request.promptTokens, request.answerTokens);
    offers.emplace_back(request.worth / cost, cost);
  }
  std::sort(offers.rbegin(), offers.rend());
  double worth = 0;
  for (const auto& [density, cost] : offers) {
    double used = std::min(cost, engineMs);
    worth += density * used;
    engineMs -= used;
  }
  return worth;
}

} // namespace boragepitch::overload
