#include "rollout/SwitchCore.h"

#include <algorithm>

namespace boragepitch::rollout {

namespace {
/** Expected duration of a transfer without enough progress for an estimate. */
constexpr base::Milliseconds kExpectedTransferTime{ 4000 };
/** A transfer without progress for this time has no reachable source. */
constexpr base::Milliseconds kNoProgressTimeout{ 1500 };
constexpr double kMinProgress = 0.02;
/** In a service of at least this many endpoints, the others can absorb the streams of one. */
constexpr size_t kMinEndpointsToMove = 4;
/** Other endpoints process the prompts of this many streams again in a fraction of a second. */
constexpr int kMaxStreamsToInterrupt = 3;
/** Time for the end of a transfer, the drain and the load, in which nothing is served. */
constexpr base::Milliseconds kMinTimeToServe{ 1000 };
/** About the typical duration of a stream under load. */
constexpr base::Milliseconds kMaxDrainTime{ 700 };
} // namespace

SwitchCore::SwitchCore(SwitchOptions aOptions)
  : mOptions(aOptions)
{
}

void SwitchCore::setWantedVersion(uint64_t aVersion, base::TimePoint aEarliestSwitch)
{
  if (aVersion <= mWantedVersion) {
    return;
  }
  mWantedVersion = aVersion;
  mEarliestSwitch = aEarliestSwitch;
}

bool SwitchCore::isDue(const EngineWeights& aEngine, bool aIsStaged, base::TimePoint aNow) const
{
  bool reload = mustReload(aEngine);
  bool isOutdated = aEngine.version < mWantedVersion;
  if (mWantedVersion == 0 || !aIsStaged || aEngine.isBusy || (!isOutdated && !reload)) {
    return false;
  }
  bool isPending = mOrder && mOrder->version == mWantedVersion &&
                   mOrder->incarnation == aEngine.incarnation &&
                   aNow - mOrder->sentAt < mOptions.orderTimeout;
  if (isPending) {
    return false;
  }
  return aEngine.version == 0 || reload || aNow >= mEarliestSwitch;
}

bool SwitchCore::isDueWithin(const EngineWeights& aEngine,
                             bool aIsStaged,
                             base::Duration aAhead,
                             base::TimePoint aNow) const
{
  return isDue(aEngine, aIsStaged, aNow + aAhead);
}

void SwitchCore::onOrderSent(const EngineWeights& aEngine, base::TimePoint aNow)
{
  mOrder = Order{ mWantedVersion, aEngine.incarnation, aNow };
  if (mustReload(aEngine)) {
    mReload->isOrdered = true;
  }
}

bool SwitchCore::requireReload(const EngineWeights& aEngine)
{
  if (mReload && mReload->version == aEngine.version &&
      mReload->incarnation == aEngine.incarnation) {
    return false;
  }
  mReload = Reload{ aEngine.version, aEngine.incarnation, false };
  mOrder.reset();
  return true;
}

bool SwitchCore::mustReload(const EngineWeights& aEngine) const
{
  return mReload && !mReload->isOrdered && mReload->version == aEngine.version &&
         mReload->incarnation == aEngine.incarnation;
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

StreamHandling chooseStreamHandling(bool aMayMoveStreams, size_t aEndpointCount)
{
  return aMayMoveStreams && aEndpointCount >= kMinEndpointsToMove ? StreamHandling::Move
                                                                  : StreamHandling::Finish;
}

bool mayInterruptStreams(int aRunningStreams, base::Duration aDrainedFor)
{
  return aRunningStreams <= kMaxStreamsToInterrupt || aDrainedFor >= kMaxDrainTime;
}

bool isTransferExpectedWithin(double aFractionHeld,
                              base::Duration aElapsed,
                              base::Duration aTimeLeft)
{
  if (aFractionHeld < kMinProgress) {
    return aElapsed < kNoProgressTimeout && kExpectedTransferTime - aElapsed <= aTimeLeft;
  }
  auto remaining = std::chrono::duration<double>(aElapsed) * (1 - aFractionHeld) / aFractionHeld;
  return remaining <= std::chrono::duration<double>(aTimeLeft);
}

bool canStillServe(base::TimePoint aNewerRequiredAt, base::TimePoint aNow)
{
  return aNow + base::Duration(kMinTimeToServe) < aNewerRequiredAt;
}

} // namespace boragepitch::rollout
