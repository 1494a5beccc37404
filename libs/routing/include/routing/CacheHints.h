#pragma once

#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/Time.h"

namespace boragepitch::routing {

/** Reports that an endpoint's engine has cached or evicted a prompt prefix. */
struct CacheEvent
{
  std::string endpoint;
  std::string instance;  ///< Boot id of the engine.
  uint64_t sequence = 0; ///< Consecutive per endpoint and instance; 0: own observation.
  uint64_t prefix = 0;   ///< Result of prefixHash().
  bool evicted = false;
};

/**
 * Maps prompt prefixes to the endpoint that probably has them cached. The result is only a hint,
 * since events arrive late and with gaps. A gap in the sequence or a new engine instance
 * invalidates all hints of the endpoint. Bounded by count and age. Thread-safe.
 */
class CacheHints
{
public:
  explicit CacheHints(size_t aMaxPrefixes = 4096, base::Duration aMaxAge = std::chrono::minutes(5));

  void apply(const CacheEvent& aEvent, base::TimePoint aNow);
  /** Name of the endpoint; empty when there is no valid hint. */
  std::string find(uint64_t aPrefix, base::TimePoint aNow) const;
  size_t size() const;

private:
  struct Hint
  {
    std::string endpoint;
    uint64_t generation = 0;
    base::TimePoint recordedAt;
    std::list<uint64_t>::iterator position;
  };
  struct EventSource
  {
    std::string instance;
    uint64_t sequence = 0;
    uint64_t generation = 0; ///< Hints of an earlier generation are invalid.
  };

  void insert(const CacheEvent& aEvent, uint64_t aGeneration, base::TimePoint aNow);

  const size_t mMaxPrefixes;
  const base::Duration mMaxAge;
  mutable std::mutex mMutex;
  std::unordered_map<uint64_t, Hint> mHints;
  std::list<uint64_t> mInsertionOrder;
  std::unordered_map<std::string, EventSource> mSources;
};

/** Hash of a prompt's first characters; 0 when the prompt is too short for prefix affinity. */
uint64_t prefixHash(std::string_view aModel, std::string_view aPrompt);

} // namespace boragepitch::routing
