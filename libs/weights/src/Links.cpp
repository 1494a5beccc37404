#include "Links.h"

#include <algorithm>

namespace boragepitch::weights {

namespace {

constexpr double kSliceSeconds = 0.02;
constexpr double kMinSliceBytes = 16 << 10;
constexpr double kMaxSliceBytes = 256 << 10;
/** A thread that wakes late must be able to catch up, otherwise the link would stay below its rate
 * on a busy machine. */
constexpr double kBurstSeconds = 0.05;
constexpr double kMinBurstBytes = 32 << 10;

std::optional<base::TokenBucket> bucketFor(double aRate, base::TimePoint aNow)
{
  if (aRate <= 0) {
    return std::nullopt;
  }
  return base::TokenBucket(aRate, std::max(kMinBurstBytes, aRate * kBurstSeconds), aNow);
}

size_t sliceFor(const LinkLimits& aLimits)
{
  double rate = std::max(aLimits.uplink, aLimits.downlink);
  if (rate <= 0) {
    return static_cast<size_t>(kMaxSliceBytes);
  }
  return static_cast<size_t>(std::clamp(rate * kSliceSeconds, kMinSliceBytes, kMaxSliceBytes));
}

} // namespace

Links::Links(const LinkLimits& aLimits, base::TimePoint aNow)
  : mLimits(aLimits)
  , mSliceBytes(sliceFor(aLimits))
  , mUp(bucketFor(aLimits.uplink, aNow))
  , mDown(bucketFor(aLimits.downlink, aNow))
  , mInterRegionUp(bucketFor(aLimits.interRegion, aNow))
  , mInterRegionDown(bucketFor(aLimits.interRegion, aNow))
{
}

bool Links::waitUp(size_t aBytes, bool aCrossRegion)
{
  return wait(mUp, mInterRegionUp, aBytes, aCrossRegion);
}

bool Links::waitDown(size_t aBytes, bool aCrossRegion)
{
  return wait(mDown, mInterRegionDown, aBytes, aCrossRegion);
}

bool Links::wait(Bucket& aLink, Bucket& aInterRegion, size_t aBytes, bool aCrossRegion)
{
  std::unique_lock lock(mMutex);
  auto now = std::chrono::steady_clock::now();
  base::Duration delay{ 0 };
  for (Bucket* bucket : { &aLink, aCrossRegion ? &aInterRegion : nullptr }) {
    if (bucket != nullptr && *bucket) {
      // Taking tokens first reserves a place in the queue; the level of the bucket gives the delay.
      (*bucket)->takeAlways(static_cast<double>(aBytes), now);
      delay = std::max(delay, (*bucket)->timeUntilAvailable(now));
    }
  }
  if (delay > base::Duration::zero()) {
    mStop.wait_until(lock, now + delay, [this] { return mStopped; });
  }
  return !mStopped;
}

void Links::noteRequestBytes(uint64_t aUp, uint64_t aDown, bool aCrossRegion, base::TimePoint aNow)
{
  std::lock_guard lock(mMutex);
  auto take = [aNow](Bucket& aBucket, uint64_t aBytes) {
    if (aBucket) {
      aBucket->takeAlways(static_cast<double>(aBytes), aNow);
    }
  };
  take(mUp, aUp);
  take(mDown, aDown);
  if (aCrossRegion) {
    take(mInterRegionUp, aUp);
    take(mInterRegionDown, aDown);
  }
}

void Links::shareInterRegion(size_t aUsers, base::TimePoint aNow)
{
  std::lock_guard lock(mMutex);
  for (Bucket* bucket : { &mInterRegionUp, &mInterRegionDown }) {
    if (*bucket) {
      (*bucket)->setRate(mLimits.interRegion / static_cast<double>(std::max<size_t>(aUsers, 1)),
                         aNow);
    }
  }
}

base::Duration Links::uplinkTime(uint64_t aBytes) const
{
  if (mLimits.uplink <= 0) {
    return base::Duration::zero();
  }
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(static_cast<double>(aBytes) / mLimits.uplink));
}

void Links::stop()
{
  {
    std::lock_guard lock(mMutex);
    mStopped = true;
  }
  mStop.notify_all();
}

} // namespace boragepitch::weights
