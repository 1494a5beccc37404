#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <utility>

#include "base/Time.h"

namespace boragepitch::weights {

/**
 * Limits concurrent and waiting uploads. A few concurrent uploads finish early and their chunks can
 * be passed on, while many would all finish late. Slots go first to the VMs that lack the least:
 * with equal shares all VMs would become complete at the end, and no engine could load before.
 * Thread-safe.
 */
class UploadGate
{
public:
  /** One admitted upload; destruction frees its slot or place in the queue. */
  class Ticket
  {
  public:
    Ticket(UploadGate& aGate, uint32_t aMissing, uint64_t aNumber);
    ~Ticket();
    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;
    /** Waits for a slot; false after stop() or when aIsWanted turns false. */
    template<typename Predicate>
    bool waitForSlot(const Predicate& aIsWanted);

  private:
    UploadGate& mGate;
    std::pair<uint32_t, uint64_t> mPlace; ///< In the queue: chunks that the VM lacks, arrival.
    bool mHasSlot = false;
  };

  UploadGate(size_t aSlots, size_t aMaxWaiting);

  /** Null when the queue is full.
   * @param aMissing chunks that the requesting VM lacks. */
  std::shared_ptr<Ticket> tryAdmit(uint32_t aMissing);
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
  std::set<std::pair<uint32_t, uint64_t>> mWaiting;
  bool mStopped = false;
};

template<typename Predicate>
bool UploadGate::Ticket::waitForSlot(const Predicate& aIsWanted)
{
  constexpr base::Milliseconds kCheckPeriod{ 100 };
  std::unique_lock lock(mGate.mMutex);
  while (!mGate.mStopped) {
    if (mGate.mActive < mGate.mSlots && *mGate.mWaiting.begin() == mPlace) {
      mGate.mWaiting.erase(mPlace);
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
