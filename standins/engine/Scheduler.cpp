#include "engine/Scheduler.h"

namespace boragepitch::standin {

namespace {

/** How often a waiting request checks whether its caller is still connected. */
constexpr base::Milliseconds kCheckInterval{ 20 };

} // namespace

Scheduler::Scheduler(size_t aCapacity, base::Milliseconds aLag)
  : mCapacity(aCapacity)
  , mLag(aLag)
{
}

bool Scheduler::enter(int aPriority, const std::function<bool()>& aWanted)
{
  std::unique_lock lock(mMutex);
  Waiting self{ aPriority, mArrivals++ };
  mWaiting.insert(self);
  while (mRunning >= mCapacity || self < *mWaiting.begin() || *mWaiting.begin() < self) {
    mChanged.wait_for(lock, kCheckInterval);
    if (!aWanted()) {
      mWaiting.erase(self);
      mChanged.notify_all();
      return false;
    }
  }
  mWaiting.erase(self);
  ++mRunning;
  record();
  mChanged.notify_all();
  return true;
}

void Scheduler::leave()
{
  std::lock_guard lock(mMutex);
  --mRunning;
  record();
  mChanged.notify_all();
}

size_t Scheduler::running() const
{
  std::lock_guard lock(mMutex);
  return mRunning;
}

size_t Scheduler::reportedRunning() const
{
  std::lock_guard lock(mMutex);
  auto visible = std::chrono::steady_clock::now() - mLag;
  while (mHistory.size() > 1 && mHistory[1].first <= visible) {
    mHistory.pop_front();
  }
  return mHistory.empty() || mHistory.front().first > visible ? 0 : mHistory.front().second;
}

void Scheduler::record()
{
  mHistory.emplace_back(std::chrono::steady_clock::now(), mRunning);
  auto visible = mHistory.back().first - mLag;
  while (mHistory.size() > 1 && mHistory[1].first <= visible) {
    mHistory.pop_front();
  }
}

} // namespace boragepitch::standin
