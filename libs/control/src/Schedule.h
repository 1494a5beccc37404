#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/Limits.h"
#include "base/Rng.h"
#include "base/Time.h"
#include "control/NodeState.h"

namespace boragepitch::control {

/** Length of the pause of this process between two ticks, if it exceeds the limit. Pure. */
class PauseDetector
{
public:
  explicit PauseDetector(base::Duration aLimit)
    : mLimit(aLimit)
  {
  }

  std::optional<base::Duration> tick(base::TimePoint aNow);

private:
  base::Duration mLimit;
  std::optional<base::TimePoint> mLast;
};

/**
 * When this process reads rev from the store. All processes of the fleet together stay within the
 * budget; while the store fails, each backs off with full jitter, so that its return causes no
 * burst. Pure; not thread-safe.
 */
class PollSchedule
{
public:
  /** @param aBudget reads a second of the whole fleet; @param aCap longest period. */
  PollSchedule(double aBudget, base::Duration aCap);

  /** Mean period for a fleet of aNodes processes. */
  base::Duration period(size_t aNodes) const;
  bool isDue(base::TimePoint aNow) const { return aNow >= mNext; }
  /** Polls at the next opportunity. */
  void hurry(base::TimePoint aNow) { mNext = std::min(mNext, aNow); }
  /** Moves the first poll to a random time within aSpread. */
  void postpone(base::TimePoint aNow, base::Duration aSpread, base::Rng& aRng);
  void succeeded(size_t aNodes, base::TimePoint aNow, base::Rng& aRng);
  void failed(size_t aNodes, base::TimePoint aNow, base::Rng& aRng);

private:
  double mBudget;
  base::Duration mCap;
  uint32_t mFailures = 0;
  base::TimePoint mNext{};
};

/**
 * Time until the next read of the VM list, whose length grows with the fleet: at least aShortest,
 * and so long that the reads of this process take the same bytes a second at any size. Uniform in
 * [0.75, 1.25] of the period, so that processes that started together drift apart.
 */
base::Duration vmListWait(base::Duration aShortest, size_t aListed, base::Rng& aRng);

/** Where a gossip partner is looked for first. */
enum class PeerScope
{
  OwnZone,
  OtherZones,
  OtherRegions,
};

/** Random processes that are not dead, of aScope if there are any and of any place otherwise. */
std::vector<std::string> choosePeers(const NodeTable& aTable,
                                     const NodeState& aSelf,
                                     PeerScope aScope,
                                     size_t aCount,
                                     base::Rng& aRng);

/** aCount peers for a push, half of them in the own zone. */
std::vector<std::string> choosePushPeers(const NodeTable& aTable,
                                         const NodeState& aSelf,
                                         size_t aCount,
                                         base::Rng& aRng);

} // namespace boragepitch::control
