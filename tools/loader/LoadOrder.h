#pragma once

#include <memory>
#include <optional>

#include "base/Time.h"
#include "platform/EngineControlClient.h"
#include "rollout/SwitchCore.h"
#include "weights/StagedWeightHost.h"

namespace boragepitch::tools {

/** Whether an engine loaded sound chunks with an order. */
enum class LoadProof
{
  Proven,   ///< It did, or it does not hold the weights of the order any more.
  Pending,  ///< Not known yet; it may not have accepted the order.
  Rejected, ///< It may have loaded corrupt chunks.
};

/**
 * Orders an engine to load staged weights. The engine takes the chunks as they are when it accepts
 * the order, and staged chunks may become corrupt at any time. Each chunk is therefore checked
 * shortly before the order is sent, however long the steps before it took. If the answer comes so
 * late that the checks have become too old, or not at all, the chunks are checked once more after
 * the load: a chunk that is sound then was sound when it was loaded. Not thread-safe.
 */
class LoadOrder
{
public:
  LoadOrder(platform::EngineControl& aEngine,
            weights::StagedWeightHost& aStaging,
            const base::Clock& aClock);

  /** Writes the chunks of a version to the staging area. Errors as StagedWeightHost::commit(). */
  base::Status stage(std::shared_ptr<const weights::Manifest> aManifest, uint64_t aVersion);
  /** Checks the staged chunks again if the time since stage() calls for it; call it just before
   * send(). Errors as StagedWeightHost::renewChecks(). */
  base::Status renewChecks();
  /** Sends the order for the staged version. */
  base::Result<platform::OrderAnswer> send(const platform::EngineReport& aReport,
                                           platform::RunningRequests aRunning);
  /** Whether the engine, which reports aEngine after send(), loaded sound chunks. */
  LoadProof prove(const rollout::EngineWeights& aEngine);
  /** True from an order without a timely answer until prove() has settled it. */
  bool isUnproven() const { return mUnproven.has_value(); }
  /** True while the engine holds weights that may be corrupt. */
  bool isRejected() const { return mUnproven && mUnproven->isRejected; }
  /** True if an order without a timely answer has had no effect for so long that it is taken as
   * lost. */
  bool isLost(const rollout::EngineWeights& aEngine, base::TimePoint aNow) const;

private:
  struct Staged
  {
    std::shared_ptr<const weights::Manifest> manifest;
    uint64_t version = 0;
    weights::ChunkChecks checks;
  };
  /** An order whose chunks are not proven. */
  struct Unproven
  {
    std::shared_ptr<const weights::Manifest> manifest;
    uint64_t version = 0;
    uint64_t engineStart = 0;
    base::TimePoint sentAt;
    bool isRejected = false;
  };

  platform::EngineControl& mEngine;
  weights::StagedWeightHost& mStaging;
  const base::Clock& mClock;
  std::optional<Staged> mStaged;
  std::optional<Unproven> mUnproven;
};

} // namespace boragepitch::tools
