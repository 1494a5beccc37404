#include "rollout/SwitchCore.h"

#include <algorithm>

namespace boragepitch::rollout {

SwitchCore::SwitchCore(SwitchOptions aOptions)
  : mOptions(aOptions)
{
}

void SwitchCore::want(uint64_t aVersion, base::TimePoint aTurn)
{
  if (aVersion <= mWanted) {
    return;
  }
  mWanted = aVersion;
  mTurn = aTurn;
}

bool SwitchCore::isDue(const EngineWeights& aEngine, bool aStagedWhole, base::TimePoint aNow) const
{
  if (mWanted == 0 || !aStagedWhole || aEngine.isBusy || aEngine.version >= mWanted) {
    return false;
  }
  bool pending = mOrder && mOrder->version == mWanted && mOrder->born == aEngine.born &&
                 aNow - mOrder->at < mOptions.orderTimeout;
  if (pending) {
    return false;
  }
  return aEngine.version == 0 || aNow >= mTurn;
}

void SwitchCore::ordered(const EngineWeights& aEngine, base::TimePoint aNow)
{
  mOrder = Order{ mWanted, aEngine.born, aNow };
}

base::Duration turnDelay(size_t aRank,
                         size_t aCount,
                         base::Duration aWindowStart,
                         base::Duration aWindow)
{
  size_t count = std::max<size_t>(aCount, 1);
  return aWindowStart +
         aWindow * static_cast<int64_t>(std::min(aRank, count)) / static_cast<int64_t>(count);
}

} // namespace boragepitch::rollout
