#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <set>

#include "base/Time.h"

namespace boragepitch::standin {

/** Slots of the running batch, assigned to requests by priority, then arrival. Thread-safe. */
class Scheduler
{
public:
  /** @param aCapacity slots; @param aLag delay of reportedRunning() behind running(). */
  Scheduler(size_t aCapacity, base::Milliseconds aLag);

  /** Waits for a slot; false when aWanted turns false first. */
  bool enter(int aPriority, const std::function<bool()>& aWanted);
  void leave();
  size_t running() const;
  /** Value of running() at the time aLag before now. */
  size_t reportedRunning() const;

private:
  struct Waiting
  {
    int priority = 0;
    uint64_t arrival = 0;
    bool operator<(const Waiting& aOther) const
    {
      return priority != aOther.priority ? priority > aOther.priority : arrival < aOther.arrival;
    }
  };

  void record();

  const size_t mCapacity;
  const base::Milliseconds mLag;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::set<Waiting> mWaiting;
  uint64_t mArrivals = 0;
  size_t mRunning = 0;
  mutable std::deque<std::pair<base::TimePoint, size_t>> mHistory;
};

} // namespace boragepitch::standin
