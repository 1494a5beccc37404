#include "ChangeLog.h"

#include <algorithm>

namespace boragepitch::api {

ChangeLog::ChangeLog(std::shared_ptr<const resources::Snapshot> aInitial, size_t aMaxDifferences)
  : mMaxDifferences(aMaxDifferences)
  , mLatest(std::move(aInitial))
{
}

void ChangeLog::append(std::shared_ptr<const resources::Snapshot> aNewer)
{
  std::lock_guard lock(mMutex);
  if (aNewer->revision() <= mLatest->revision()) {
    return;
  }
  Step step{ mLatest->revision(), aNewer->revision(), resources::differences(*mLatest, *aNewer) };
  mDifferenceCount += step.differences.size();
  mSteps.push_back(std::move(step));
  while (mSteps.size() > 1 &&
         (mDifferenceCount > mMaxDifferences || mSteps.size() > mMaxDifferences)) {
    mDifferenceCount -= mSteps.front().differences.size();
    mSteps.pop_front();
  }
  mLatest = std::move(aNewer);
  mChanged.notify_all();
}

const Step* ChangeLog::find(uint64_t aRevision) const
{
  auto found = std::lower_bound(
    mSteps.begin(), mSteps.end(), aRevision, [](const Step& aStep, uint64_t aFrom) {
      return aStep.from < aFrom;
    });
  return found != mSteps.end() && found->from == aRevision ? &*found : nullptr;
}

bool ChangeLog::isBoundary(uint64_t aRevision) const
{
  return aRevision >= mLatest->revision() || find(aRevision) != nullptr;
}

bool ChangeLog::canStartAfter(uint64_t aRevision) const
{
  std::lock_guard lock(mMutex);
  return isBoundary(aRevision);
}

std::optional<Step> ChangeLog::next(uint64_t aRevision,
                                    base::Milliseconds aTimeout,
                                    bool& aLost) const
{
  std::unique_lock lock(mMutex);
  mChanged.wait_for(lock, aTimeout, [&] { return mStopped || mLatest->revision() > aRevision; });
  aLost = !isBoundary(aRevision);
  const Step* step = find(aRevision);
  return step == nullptr ? std::nullopt : std::optional(*step);
}

void ChangeLog::stop()
{
  std::lock_guard lock(mMutex);
  mStopped = true;
  mChanged.notify_all();
}

bool ChangeLog::isStopped() const
{
  std::lock_guard lock(mMutex);
  return mStopped;
}

} // namespace boragepitch::api
