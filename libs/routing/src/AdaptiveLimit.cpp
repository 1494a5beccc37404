#include "routing/AdaptiveLimit.h"

#include <algorithm>

namespace boragepitch::routing {

AdaptiveLimit::AdaptiveLimit(Options aOptions)
  : mOptions(aOptions)
  , mLimit(std::clamp(aOptions.initial, aOptions.minimum, aOptions.maximum))
{
}

void AdaptiveLimit::onSuccess(int aInFlight)
{
  // An unused limit must not rise: nothing shows that the fleet could carry more load.
  if (2 * aInFlight < limit()) {
    return;
  }
  mLimit = std::min<double>(mOptions.maximum, mLimit + 1 / mLimit);
}

void AdaptiveLimit::onOverload(base::TimePoint aNow)
{
  if (aNow - mLastDecrease < mOptions.decreaseInterval) {
    return;
  }
  mLastDecrease = aNow;
  mLimit = std::max<double>(mOptions.minimum, mLimit * mOptions.decreaseFactor);
}

void AdaptiveLimit::updateCapacity(int aCapacity)
{
  if (aCapacity > mCapacity) {
    mLimit =
      std::clamp<double>(std::max<double>(mLimit, aCapacity), mOptions.minimum, mOptions.maximum);
  }
  mCapacity = aCapacity;
}

} // namespace boragepitch::routing
