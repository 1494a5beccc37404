#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>

#include "base/Time.h"

namespace boragepitch::weights {

/**
 * Limits concurrent and waiting uploads; slots are granted in order of arrival. A few concurrent
 * uploads finish early and their chunks can be passed on, while many would all finish late.
 * Thread-safe.
 */
class UploadGate
{
public:
  /** One admitted upload; destruction frees its slot or place in the queue. */
  class Ticket
  {
  public:
    Ticket(UploadGate& aGate, uint64_t aNumber);
    ~Ticket();
    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;
    /** Waits for a slot; false after stop() or when aIsWanted turns false. */
    template<typename Predicate>
    bool waitForSlot(const Predicate& aIsWanted);

  private:
    UploadGate& mGate;
    uint64_t mNumber;
    bool mHasSlot = false;
  };

  UploadGate(size_t aSlots, size_t aMaxWaiting);

  /** Null when the queue is full. */
  std::shared_ptr<Ticket> tryAdmit();
  /** Number of active and waiting uploads. */
  size_t load() const;
  size_t slots() const { return mSlots; }
  void setMaxWaiting(size_t aCount);
  void stop();

private:
  const size_t mSlots;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  size_t mMaxWaiting;
  size_t mActive = 0;
  uint64_t mNextNumber = 0;
  std::set<uint64_t> mWaiting;
  bool mStopped = false;
};

template<typename Predicate>
bool UploadGate::Ticket::waitForSlot(const Predicate& aIsWanted)
{
  constexpr base::Milliseconds kCheckPeriod{ 100 };
  std::unique_lock lock(mGate.mMutex);
  while (!mGate.mStopped) {
    if (mGate.mActive < mGate.mSlots && *mGate.mWaiting.begin() == mNumber) {
      mGate.mWaiting.erase(mNumber);
      ++mGate.mActive;
      mHasSlot = true;
      mGate.mChanged.notify_all();
      return true;
    }
    mGate.mChanged.wait_for(lock, kCheckPeriod);
    if (!aIsWanted()) {
      return false;
    }
  }
  return false;
}

} // namespace boragepitch::weights
