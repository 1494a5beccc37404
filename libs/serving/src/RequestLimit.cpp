#include "serving/RequestLimit.h"

#include <algorithm>

namespace boragepitch::serving {

bool RequestLimit::record(std::optional<double> aPerSecond,
                          base::TimePoint aSentAt,
                          base::TimePoint aNow)
{
  auto before = mPerSecond;
  if (!aPerSecond) {
    // Other answers may have been written before the limit was named.
    if (mPerSecond && aSentAt > mNamedAt) {
      mPerSecond.reset();
    }
    return before != mPerSecond;
  }
  bool isNewest = !mPerSecond || aSentAt >= mSentAt;
  mPerSecond = isNewest ? *aPerSecond : std::min(*mPerSecond, *aPerSecond);
  mSentAt = std::max(mSentAt, aSentAt);
  mNamedAt = aNow;
  return before != mPerSecond;
}

} // namespace boragepitch::serving
