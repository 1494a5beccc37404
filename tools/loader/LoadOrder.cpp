#include "LoadOrder.h"

namespace boragepitch::tools {

namespace {

using namespace std::chrono_literals;

/** Longest age of a check when the order is sent. Leaves a second, the time limit of the call,
 * below kMaxAgeAtLoad. */
constexpr base::Milliseconds kMaxAgeAtOrder = 1500ms;
/** Longest age of a check when the engine accepts the order. Below the 3 s for which the users'
 * platform tolerates a chunk that has become corrupt. */
constexpr base::Milliseconds kMaxAgeAtLoad = 2500ms;

} // namespace

LoadOrder::LoadOrder(platform::EngineControl& aEngine,
                     weights::StagedWeightHost& aStaging,
                     const base::Clock& aClock)
  : mEngine(aEngine)
  , mStaging(aStaging)
  , mClock(aClock)
{
}

base::Status LoadOrder::stage(std::shared_ptr<const weights::Manifest> aManifest, uint64_t aVersion)
{
  mStaged.reset();
  auto checks = mStaging.commit(*aManifest);
  if (!checks) {
    return tl::make_unexpected(checks.error());
  }
  mStaged = Staged{ std::move(aManifest), aVersion, std::move(*checks) };
  return {};
}

base::Status LoadOrder::renewChecks()
{
  return mStaging.renewChecks(*mStaged->manifest, mStaged->checks, kMaxAgeAtOrder);
}

base::Result<platform::OrderAnswer> LoadOrder::send(const platform::EngineReport& aReport,
                                                    platform::RunningRequests aRunning)
{
  auto sentAt = mClock.now();
  auto answer =
    mEngine.orderLoad(mStaged->manifest->model(), mStaged->version, aReport.orderCount, aRunning);
  bool isAccepted = answer && *answer == platform::OrderAnswer::Begun;
  if (isAccepted && mStaged->checks.before(mClock.now() - kMaxAgeAtLoad).empty()) {
    mUnproven.reset();
  } else if (isAccepted || (!answer && !isRejected())) {
    mUnproven =
      Unproven{ mStaged->manifest, mStaged->version, aReport.load.startTimeMs, sentAt, false };
  }
  return answer;
}

LoadProof LoadOrder::prove(const rollout::EngineWeights& aEngine)
{
  if (!mUnproven) {
    return LoadProof::Proven;
  }
  if (aEngine.incarnation != mUnproven->engineStart || aEngine.version > mUnproven->version) {
    mUnproven.reset();
    return LoadProof::Proven;
  }
  if (aEngine.isBusy || aEngine.version < mUnproven->version) {
    return LoadProof::Pending;
  }
  if (mUnproven->isRejected) {
    return LoadProof::Rejected;
  }
  // All checks begin after the load. Their own age is of no account.
  weights::ChunkChecks checks(mUnproven->manifest->chunkCount());
  auto verified = mStaging.renewChecks(*mUnproven->manifest, checks, base::Duration::max() / 2);
  if (verified) {
    mUnproven.reset();
    return LoadProof::Proven;
  }
  bool differs = verified.error().kind == base::ErrorKind::Corrupt ||
                 verified.error().kind == base::ErrorKind::NotFound;
  mUnproven->isRejected = differs;
  return differs ? LoadProof::Rejected : LoadProof::Pending;
}

bool LoadOrder::isLost(const rollout::EngineWeights& aEngine, base::TimePoint aNow) const
{
  return mUnproven && !aEngine.isBusy && aEngine.version < mUnproven->version &&
         aNow - mUnproven->sentAt >= rollout::SwitchOptions{}.orderTimeout;
}

} // namespace boragepitch::tools
