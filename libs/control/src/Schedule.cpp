#include "Schedule.h"

#include <algorithm>

namespace boragepitch::control {

namespace {

// In a small fleet the budget alone would allow needlessly frequent reads.
constexpr base::Milliseconds kMinPeriod{ 500 };
constexpr uint32_t kMaxDoublings = 16;
// A VM takes about 110 bytes in the VM list, so one process reads at most 1.5 KB/s.
constexpr base::Milliseconds kVmListPeriodPerVm{ 100 };

/** Random duration, uniform in [0.75, 1.25] of the period. */
base::Duration withJitter(base::Duration aPeriod, base::Rng& aRng)
{
  int64_t ticks = aPeriod.count();
  return base::Duration(ticks * 3 / 4 + base::uniformBelow<int64_t>(aRng, ticks / 2 + 1));
}

bool isInScope(PeerScope aScope, const NodeState& aPeer, const NodeState& aSelf)
{
  switch (aScope) {
    case PeerScope::OwnZone:
      return aPeer.zone == aSelf.zone;
    case PeerScope::OtherZones:
      return aPeer.zone != aSelf.zone;
    case PeerScope::OtherRegions:
      return aPeer.region != aSelf.region;
  }
  return false;
}

} // namespace

std::optional<base::Duration> PauseDetector::tick(base::TimePoint aNow)
{
  std::optional<base::Duration> pause;
  if (mLast && aNow - *mLast > mLimit) {
    pause = aNow - *mLast;
  }
  mLast = aNow;
  return pause;
}

PollSchedule::PollSchedule(double aBudget, base::Duration aMaxPeriod)
  : mBudget(aBudget)
  , mMaxPeriod(aMaxPeriod)
{
}

base::Duration PollSchedule::period(size_t aNodes) const
{
  std::chrono::duration<double> unboundedPeriod(static_cast<double>(aNodes) / mBudget);
  auto period = std::chrono::duration_cast<base::Duration>(unboundedPeriod);
  return std::min(std::max<base::Duration>(period, kMinPeriod), mMaxPeriod);
}

void PollSchedule::delayNextPoll(base::TimePoint aNow, base::Duration aSpread, base::Rng& aRng)
{
  mNext = aNow + base::Duration(base::uniformBelow<int64_t>(aRng, aSpread.count() + 1));
}

void PollSchedule::succeeded(size_t aNodes, base::TimePoint aNow, base::Rng& aRng)
{
  mFailures = 0;
  // Jitter spreads the polls of processes that started together.
  mNext = aNow + std::min(withJitter(period(aNodes), aRng), mMaxPeriod);
}

void PollSchedule::failed(size_t aNodes, base::TimePoint aNow, base::Rng& aRng)
{
  mFailures = std::min(mFailures + 1, kMaxDoublings);
  base::Duration bound = std::min(mMaxPeriod, period(aNodes) * (int64_t(1) << mFailures));
  mNext = aNow + base::Duration(base::uniformBelow<int64_t>(aRng, bound.count() + 1));
}

base::Duration vmListDelay(base::Duration aMinPeriod, size_t aVmCount, base::Rng& aRng)
{
  base::Duration period = kVmListPeriodPerVm * static_cast<int64_t>(aVmCount);
  return withJitter(std::max(period, aMinPeriod), aRng);
}

std::vector<std::string> choosePeers(const NodeTable& aTable,
                                     const NodeState& aSelf,
                                     PeerScope aScope,
                                     size_t aCount,
                                     base::Rng& aRng)
{
  std::vector<std::string> preferred;
  std::vector<std::string> others;
  for (const auto& [id, entry] : aTable) {
    if (id != aSelf.id && entry.liveness != Liveness::Dead) {
      (isInScope(aScope, entry.state, aSelf) ? preferred : others).push_back(id);
    }
  }
  std::shuffle(preferred.begin(), preferred.end(), aRng);
  std::shuffle(others.begin(), others.end(), aRng);
  preferred.insert(preferred.end(), others.begin(), others.end());
  preferred.resize(std::min(preferred.size(), aCount));
  return preferred;
}

std::vector<std::string> choosePushPeers(const NodeTable& aTable,
                                         const NodeState& aSelf,
                                         size_t aCount,
                                         base::Rng& aRng)
{
  std::vector<std::string> peers = choosePeers(aTable, aSelf, PeerScope::OwnZone, aCount / 2, aRng);
  for (std::string& id : choosePeers(aTable, aSelf, PeerScope::OtherZones, aCount, aRng)) {
    bool known = std::find(peers.begin(), peers.end(), id) != peers.end();
    if (!known && peers.size() < aCount) {
      peers.push_back(std::move(id));
    }
  }
  return peers;
}

} // namespace boragepitch::control
