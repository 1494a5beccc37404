#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>

#include "base/Limits.h"
#include "weights/Distributor.h"

namespace boragepitch::weights {

/**
 * Rate limits of the VM's network links. Bytes of weights wait for tokens in order of arrival;
 * request bytes take tokens without waiting, so that weights use the remaining rate. Thread-safe.
 */
class Links
{
public:
  Links(const LinkLimits& aLimits, base::TimePoint aNow);

  /** Waits until aBytes may be sent or received. False after stop(). */
  bool waitUp(size_t aBytes, bool aCrossRegion);
  bool waitDown(size_t aBytes, bool aCrossRegion);
  void noteRequestBytes(uint64_t aUp, uint64_t aDown, bool aCrossRegion, base::TimePoint aNow);
  /** Sets this VM's share of the inter-region link to 1 / aUsers. */
  void shareInterRegion(size_t aUsers, base::TimePoint aNow);
  /** Bytes to send or receive per wait: about 20 ms at the link rate, so that concurrent transfers
   * alternate. */
  size_t sliceBytes() const { return mSliceBytes; }
  /** Transmission time of aBytes on the uplink; zero without a limit. */
  base::Duration uplinkTime(uint64_t aBytes) const;
  void stop();

private:
  using Bucket = std::optional<base::TokenBucket>;
  bool wait(Bucket& aLink, Bucket& aInterRegion, size_t aBytes, bool aCrossRegion);

  const LinkLimits mLimits;
  size_t mSliceBytes;
  std::mutex mMutex;
  std::condition_variable mStop;
  bool mStopped = false;
  Bucket mUp;
  Bucket mDown;
  Bucket mInterRegionUp;
  Bucket mInterRegionDown;
};

} // namespace boragepitch::weights
