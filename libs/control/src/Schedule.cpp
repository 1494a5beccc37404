#include "Schedule.h"

#include <algorithm>

namespace boragepitch::control {

namespace {

// In a small fleet the budget would allow more reads than anybody needs.
constexpr base::Milliseconds kShortestPeriod{ 500 };
constexpr uint32_t kMaxDoublings = 16;

bool isIn(PeerScope aScope, const NodeState& aPeer, const NodeState& aSelf)
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

PollSchedule::PollSchedule(double aBudget, base::Duration aCap)
  : mBudget(aBudget)
  , mCap(aCap)
{
}

base::Duration PollSchedule::period(size_t aNodes) const
{
  std::chrono::duration<double> share(static_cast<double>(aNodes) / mBudget);
  auto period = std::chrono::duration_cast<base::Duration>(share);
  return std::min(std::max<base::Duration>(period, kShortestPeriod), mCap);
}

void PollSchedule::postpone(base::TimePoint aNow, base::Duration aSpread, base::Rng& aRng)
{
  mNext = aNow + base::Duration(base::uniformBelow<int64_t>(aRng, aSpread.count() + 1));
}

void PollSchedule::succeeded(size_t aNodes, base::TimePoint aNow, base::Rng& aRng)
{
  mFailures = 0;
  // Uniform in [0.75, 1.25] of the period but within the cap: processes that started together
  // drift apart.
  int64_t whole = period(aNodes).count();
  base::Duration wait(whole * 3 / 4 + base::uniformBelow<int64_t>(aRng, whole / 2 + 1));
  mNext = aNow + std::min(wait, mCap);
}

void PollSchedule::failed(size_t aNodes, base::TimePoint aNow, base::Rng& aRng)
{
  mFailures = std::min(mFailures + 1, kMaxDoublings);
  base::Duration bound = std::min(mCap, period(aNodes) * (int64_t(1) << mFailures));
  mNext = aNow + base::Duration(base::uniformBelow<int64_t>(aRng, bound.count() + 1));
}

std::vector<std::string> choosePeers(const NodeTable& aTable,
                                     const NodeState& aSelf,
                                     PeerScope aScope,
                                     size_t aCount,
                                     base::Rng& aRng)
{
  std::vector<std::string> inside;
  std::vector<std::string> outside;
  for (const auto& [id, entry] : aTable) {
    if (id != aSelf.id && entry.liveness != Liveness::Dead) {
      (isIn(aScope, entry.state, aSelf) ? inside : outside).push_back(id);
    }
  }
  std::shuffle(inside.begin(), inside.end(), aRng);
  std::shuffle(outside.begin(), outside.end(), aRng);
  inside.insert(inside.end(), outside.begin(), outside.end());
  inside.resize(std::min(inside.size(), aCount));
  return inside;
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
