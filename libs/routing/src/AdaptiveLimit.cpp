#include "routing/AdaptiveLimit.h"

#include <algorithm>

namespace boragepitch::routing {

AdaptiveLimit::AdaptiveLimit(Options aOptions)
  : mOptions(aOptions)
  , mLimit(std::clamp(aOptions.initial, aOptions.smallest, aOptions.largest))
{
}

void AdaptiveLimit::onSuccess(int aInFlight)
{
  // An unused limit must not rise: nothing shows that the fleet could carry more load.
  if (2 * aInFlight < limit()) {
    return;
  }
  mLimit = std::min<double>(mOptions.largest, mLimit + 1 / mLimit);
}

void AdaptiveLimit::onOverload(base::TimePoint aNow)
{
  if (aNow - mLastDecrease < mOptions.reaction) {
    return;
  }
  mLastDecrease = aNow;
  mLimit = std::max<double>(mOptions.smallest, mLimit * mOptions.decrease);
}

void AdaptiveLimit::onCapacity(int aCapacity)
{
  if (aCapacity > mCapacity) {
    mLimit =
      std::clamp<double>(std::max<double>(mLimit, aCapacity), mOptions.smallest, mOptions.largest);
  }
  mCapacity = aCapacity;
}

} // namespace boragepitch::routing
