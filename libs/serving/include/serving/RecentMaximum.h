#pragma once

#include <algorithm>
#include <optional>

#include "base/Time.h"

namespace boragepitch::serving {

/** The greatest of the durations observed in the last one to two intervals. Not thread-safe. */
class RecentMaximum
{
public:
  explicit RecentMaximum(base::Duration aInterval)
    : mInterval(aInterval)
  {
  }

  void observe(base::Duration aValue, base::TimePoint aNow)
  {
    if (!mPresent || aNow - mIntervalStart > mInterval) {
      bool isRecent = aNow - mIntervalStart <= 2 * mInterval;
      mPrevious = isRecent ? mPresent : std::nullopt;
      mPresent = aValue;
      mIntervalStart = aNow;
    }
    mPresent = std::max(*mPresent, aValue);
  }
  /** Empty before the first observation. */
  std::optional<base::Duration> value() const { return std::max(mPresent, mPrevious); }

private:
  const base::Duration mInterval;
  std::optional<base::Duration> mPresent;
  std::optional<base::Duration> mPrevious;
  base::TimePoint mIntervalStart;
};

} // namespace boragepitch::serving
