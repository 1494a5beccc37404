#pragma once

#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/Time.h"

namespace boragepitch::routing {

/** A report that an endpoint's engine holds or dropped a prompt prefix. */
struct CacheEvent
{
  std::string endpoint;
  std::string instance;  ///< Boot id of the engine.
  uint64_t sequence = 0; ///< Consecutive for each endpoint and instance; 0 for own observations.
  uint64_t prefix = 0;   ///< Hash from prefixHash().
  bool dropped = false;
};

/**
 * Which endpoint probably holds a prompt prefix. Only a hint: events arrive late and with gaps. A
 * gap in the sequence or another instance discards what was known of the endpoint. Bounded by
 * count and age. Thread-safe.
 */
class CacheHints
{
public:
  explicit CacheHints(size_t aMaxPrefixes = 4096, base::Duration aMaxAge = std::chrono::minutes(5));

  void apply(const CacheEvent& aEvent, base::TimePoint aNow);
  /** Name of the endpoint; empty when unknown or when the endpoint's instance has changed. */
  std::string find(uint64_t aPrefix, base::TimePoint aNow) const;
  size_t size() const;

private:
  struct Hint
  {
    std::string endpoint;
    uint64_t generation = 0;
    base::TimePoint noted;
    std::list<uint64_t>::iterator age;
  };
  struct Source
  {
    std::string instance;
    uint64_t sequence = 0;
    uint64_t generation = 0; ///< Hints of an earlier generation are void.
  };

  void insert(const CacheEvent& aEvent, uint64_t aGeneration, base::TimePoint aNow);

  const size_t mMaxPrefixes;
  const base::Duration mMaxAge;
  mutable std::mutex mMutex;
  std::unordered_map<uint64_t, Hint> mHints;
  std::list<uint64_t> mOldestFirst;
  std::unordered_map<std::string, Source> mSources;
};

/** Hash of the first characters of a prompt; 0 when it is too short for its prefix to matter. */
uint64_t prefixHash(std::string_view aModel, std::string_view aPrompt);

} // namespace boragepitch::routing
