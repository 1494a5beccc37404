#include "rollout/SwitchCore.h"

#include <algorithm>

namespace boragepitch::rollout {

namespace {
/** Expected duration of a transfer without enough progress for an estimate. */
constexpr base::Milliseconds kUsualTransfer{ 4000 };
/** A transfer without progress for this time has no reachable source. */
constexpr base::Milliseconds kNoProgress{ 1500 };
constexpr double kLittleProgress = 0.02;
/** In a service of at least this many endpoints, the others can absorb the streams of one. */
constexpr size_t kLeastToMove = 4;
/** Other endpoints process the prompts of this many streams again in a fraction of a second. */
constexpr int kFewStreams = 3;
/** About the typical duration of a stream under load. */
constexpr base::Milliseconds kLongestDrain{ 700 };
} // namespace

SwitchCore::SwitchCore(SwitchOptions aOptions)
  : mOptions(aOptions)
{
}

void SwitchCore::setWantedVersion(uint64_t aVersion, base::TimePoint aTurn)
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
  bool pending = mOrder && mOrder->version == mWanted &&
                 mOrder->incarnation == aEngine.incarnation &&
                 aNow - mOrder->at < mOptions.orderTimeout;
  if (pending) {
    return false;
  }
  return aEngine.version == 0 || aNow >= mTurn;
}

bool SwitchCore::isDueWithin(const EngineWeights& aEngine,
                             bool aStagedWhole,
                             base::Duration aAhead,
                             base::TimePoint aNow) const
{
  return isDue(aEngine, aStagedWhole, aNow + aAhead);
}

void SwitchCore::onOrderSent(const EngineWeights& aEngine, base::TimePoint aNow)
{
  mOrder = Order{ mWanted, aEngine.incarnation, aNow };
}

base::Duration staggeredSwitchDelay(size_t aRank,
                                    size_t aCount,
                                    base::Duration aWindowStart,
                                    base::Duration aWindow)
{
  size_t count = std::max<size_t>(aCount, 1);
  return aWindowStart +
         aWindow * static_cast<int64_t>(std::min(aRank, count)) / static_cast<int64_t>(count);
}

StreamHandling chooseStreamHandling(bool aMayMove, size_t aEndpoints)
{
  return aMayMove && aEndpoints >= kLeastToMove ? StreamHandling::Move : StreamHandling::Finish;
}

bool mayInterruptStreams(int aRunning, base::Duration aDrainedFor)
{
  return aRunning <= kFewStreams || aDrainedFor >= kLongestDrain;
}

bool isTransferExpectedWithin(double aHeld, base::Duration aSince, base::Duration aLeft)
{
  if (aHeld < kLittleProgress) {
    return aSince < kNoProgress && kUsualTransfer - aSince <= aLeft;
  }
  auto remaining = std::chrono::duration<double>(aSince) * (1 - aHeld) / aHeld;
  return remaining <= std::chrono::duration<double>(aLeft);
}

} // namespace boragepitch::rollout
