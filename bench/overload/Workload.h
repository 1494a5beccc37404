#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Rng.h"
#include "serving/Deployment.h"

namespace boragepitch::overload {

/** Times are milliseconds of simulated time throughout. */
struct RequestKind
{
  std::string name;
  double share = 0;      ///< Of all requests.
  double targetMs = 400; ///< To the first event.
  double gapMs = 300;
  double worth = 1; ///< When in time; larger requests are worth more.
  double lateWorth = 0;
  double meanPrompt = 0; ///< Tokens.
  double meanAnswer = 0; ///< Tokens.
};

struct Request
{
  uint64_t id = 0;
  double at = 0;
  size_t kind = 0;
  size_t entry = 0;
  uint64_t promptTokens = 0;
  uint64_t answerTokens = 0;
  double worth = 0;
  double lateWorth = 0;
  int retries = 1;            ///< How often the caller retries after a refusal.
  bool ignoresAdvice = false; ///< Retries at once, without the advised delay.
  double patienceMs = 0;      ///< The caller leaves after this time without an event.
};

/** A change of the engines' state. */
struct Change
{
  enum class Kind
  {
    Drain,  ///< Nothing new is to be sent to it; it stays away.
    Return, ///< It is empty and in cold start.
    Pause,  ///< Takes nothing new for a while: it loads other weights.
  };
  double at = 0;
  size_t engine = 0;
  Kind kind = Kind::Drain;
  double forMs = 0;
};

/** Load patterns for the routing and admission module. */
enum class Pattern
{
  Steady,
  Burst,      ///< Many users come at once.
  Shift,      ///< Callers move from one zone's entries to another's.
  HotKey,     ///< One caller has most of the traffic, through one entry.
  RetryAbuse, ///< Refused callers retry at once, several times.
  GiveUps,    ///< Some callers leave early.
  ScaleIn,    ///< A part of the engines leaves.
  ColdReturn, ///< A part of the engines restarts and is cold.
  Evacuation, ///< A zone's engines leave.
  Rollout,    ///< The engines load other weights in turns.
};

std::vector<Pattern> allPatterns();
std::string_view toString(Pattern aPattern);

struct WorkloadOptions
{
  Pattern pattern = Pattern::Steady;
  double load = 1.2; ///< Relative to what the engines can do at full batches.
  double lengthMs = 40000;
  size_t engines = 14;
  size_t entries = 4;
  size_t zones = 3;
  uint64_t seed = 1;
};

struct Workload
{
  std::vector<RequestKind> kinds;
  std::vector<Request> requests; ///< In the order of their time.
  std::vector<Change> changes;   ///< In the order of their time.
};

/** Engines and kinds of requests of the standard workload. */
serving::EngineProfile usualEngine();
std::vector<RequestKind> usualKinds();
/** Engine time of a request in a full batch, which is its minimum, milliseconds. */
double leastCostMs(const serving::EngineProfile& aProfile,
                   uint64_t aPromptTokens,
                   uint64_t aAnswerTokens);
Workload makeWorkload(const serving::EngineProfile& aProfile, const WorkloadOptions& aOptions);

/**
 * Offline upper bound of the worth in time, with all requests known in advance: engine time is
 * assigned by worth per unit of time, as if requests could be split and moved freely.
 */
double offlineBound(const serving::EngineProfile& aProfile,
                    const Workload& aWorkload,
                    const WorkloadOptions& aOptions);

} // namespace boragepitch::overload
