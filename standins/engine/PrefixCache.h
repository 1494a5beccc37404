#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <string_view>

#include <json/value.h>

#include "base/Rng.h"
#include "base/Time.h"

namespace boragepitch::standin {

/**
 * LRU cache of prompt prefixes in blocks of kBlockBytes. As in real engines, events about changes
 * are published late, and some are lost. Thread-safe.
 */
class PrefixCache
{
public:
  static constexpr size_t kBlockBytes = 32;

  /** @param aBlocks capacity in blocks; @param aEventLag age at which an event becomes visible;
   * @param aGapPercent share of events that are never published. */
  PrefixCache(size_t aBlocks, base::Milliseconds aEventLag, double aGapPercent, uint64_t aSeed);

  /** Stores the prompt's blocks and returns how many were not cached. */
  size_t use(std::string_view aModel, std::string_view aPrompt);
  /** {"events":[{"sequence","kind","block"}],"last"}: visible events after aSequence. A gap in the
   * sequence numbers is an event that was lost. */
  Json::Value eventsAfter(uint64_t aSequence) const;

private:
  struct Event
  {
    uint64_t sequence;
    base::TimePoint time;
    const char* kind;
    uint64_t block;
  };

  void evict();
  void publish(const char* aKind, uint64_t aBlock);

  const size_t mBlocks;
  const base::Milliseconds mEventLag;
  const double mGapPercent;
  mutable std::mutex mMutex;
  base::Rng mRng;
  std::list<uint64_t> mRecent;
  std::map<uint64_t, std::list<uint64_t>::iterator> mIndex;
  std::deque<Event> mEvents;
  uint64_t mSequence = 0;
};

} // namespace boragepitch::standin
