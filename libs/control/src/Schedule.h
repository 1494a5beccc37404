#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/Limits.h"
#include "base/Rng.h"
#include "base/Time.h"
#include "control/NodeState.h"

namespace boragepitch::control {

/** Detects pauses of this process: gaps between two ticks that exceed the limit. */
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
 * Schedules this process's reads of rev from the store. All processes of the fleet together stay
 * within the budget. While the store fails, each process backs off with full jitter, so that the
 * store's recovery causes no burst. No I/O; not thread-safe.
 */
class PollSchedule
{
public:
  /** @param aBudget reads per second of the whole fleet. @param aMaxPeriod longest period. */
  PollSchedule(double aBudget, base::Duration aMaxPeriod);

  /** Mean period for a fleet of aNodes processes. */
  base::Duration period(size_t aNodes) const;
  bool isDue(base::TimePoint aNow) const { return aNow >= mNext; }
  /** Makes the next poll due now. */
  void pollNow(base::TimePoint aNow) { mNext = std::min(mNext, aNow); }
  /** Delays the next poll by a random time of up to aSpread. */
  void delayNextPoll(base::TimePoint aNow, base::Duration aSpread, base::Rng& aRng);
  void succeeded(size_t aNodes, base::TimePoint aNow, base::Rng& aRng);
  void failed(size_t aNodes, base::TimePoint aNow, base::Rng& aRng);

private:
  double mBudget;
  base::Duration mMaxPeriod;
  uint32_t mFailures = 0;
  base::TimePoint mNext{};
};

/**
 * Delay until the next read of the VM list. The period grows with the length of the list, so that
 * the reads take the same bandwidth at any fleet size, and is at least aMinPeriod. Jitter of 25 %
 * either way spreads the reads of processes that started together.
 */
base::Duration vmListDelay(base::Duration aMinPeriod, size_t aVmCount, base::Rng& aRng);

/** Preferred location of a gossip partner. */
enum class PeerScope
{
  OwnZone,
  OtherZones,
  OtherRegions,
};

/** Up to aCount random processes that are not dead; those in aScope come first. */
std::vector<std::string> choosePeers(const NodeTable& aTable,
                                     const NodeState& aSelf,
                                     PeerScope aScope,
                                     size_t aCount,
                                     base::Rng& aRng);

/** Up to aCount peers for a push, half of them in this process's zone where possible. */
std::vector<std::string> choosePushPeers(const NodeTable& aTable,
                                         const NodeState& aSelf,
                                         size_t aCount,
                                         base::Rng& aRng);

} // namespace boragepitch::control
