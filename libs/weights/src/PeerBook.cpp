#include "PeerBook.h"

#include <algorithm>

namespace boragepitch::weights {

namespace {
/** Retry budget at the origin: retries for each first try, and retries allowed after no traffic. */
constexpr double kRetryRatio = 0.1;
constexpr double kRetryReserve = 10;
/** Limits the avoidance time to 64 times the first one. */
constexpr uint64_t kMaxAvoidDoublings = 6;
} // namespace

PeerBook::PeerBook(Limits aLimits)
  : mLimits(aLimits)
{
}

PeerBook::Peer& PeerBook::at(const std::string& aId)
{
  auto found = mPeers.find(aId);
  if (found == mPeers.end()) {
    Peer peer{ .backoff = base::Backoff(mLimits.backoffBase, mLimits.backoffCap) };
    found = mPeers.emplace(aId, peer).first;
  }
  return found->second;
}

const PeerBook::Peer* PeerBook::find(const std::string& aId) const
{
  auto found = mPeers.find(aId);
  return found == mPeers.end() ? nullptr : &found->second;
}

bool PeerBook::trusted(const std::string& aId, base::TimePoint aNow) const
{
  const Peer* peer = find(aId);
  return peer == nullptr || aNow >= peer->avoidUntil;
}

bool PeerBook::usable(const std::string& aId, base::TimePoint aNow) const
{
  const Peer* peer = find(aId);
  return peer == nullptr || (aNow >= peer->avoidUntil && aNow >= peer->notBefore &&
                             peer->inFlight < mLimits.fetchesPerPeer);
}

uint32_t PeerBook::inFlight(const std::string& aId) const
{
  const Peer* peer = find(aId);
  return peer == nullptr ? 0 : peer->inFlight;
}

uint32_t PeerBook::load(const std::string& aId) const
{
  const Peer* peer = find(aId);
  return peer == nullptr ? 0 : peer->load;
}

void PeerBook::begin(const std::string& aId)
{
  ++at(aId).inFlight;
}

void PeerBook::end(const std::string& aId)
{
  --at(aId).inFlight;
}

void PeerBook::noteLoad(const std::string& aId, uint32_t aLoad)
{
  at(aId).load = aLoad;
}

void PeerBook::noteSuccess(const std::string& aId)
{
  at(aId).backoff.reset();
}

void PeerBook::noteBusy(const std::string& aId, base::TimePoint aUntil)
{
  Peer& peer = at(aId);
  peer.notBefore = std::max(peer.notBefore, aUntil);
}

void PeerBook::noteFailure(const std::string& aId, base::TimePoint aNow, base::Rng& aRng)
{
  Peer& peer = at(aId);
  peer.notBefore = std::max(peer.notBefore, aNow + peer.backoff.next(aRng));
}

void PeerBook::noteCorrupt(const std::string& aId, base::TimePoint aNow)
{
  Peer& peer = at(aId);
  auto doublings = std::min(peer.corruptChunks, kMaxAvoidDoublings);
  ++peer.corruptChunks;
  peer.avoidUntil = aNow + mLimits.avoidTime * (uint64_t{ 1 } << doublings);
}

OriginGate::OriginGate(Limits aLimits)
  : mLimits(aLimits)
  , mBackoff(aLimits.backoffBase, aLimits.backoffCap)
  , mRetries(kRetryRatio, kRetryReserve)
{
}

bool OriginGate::usable(base::TimePoint aNow) const
{
  // After a failure a single request probes the origin.
  size_t limit = mBackoff.failures() > 0 ? 1 : mLimits.connections;
  return aNow >= mNotBefore && mInFlight < limit;
}

void OriginGate::begin()
{
  ++mInFlight;
  if (mBackoff.failures() == 0) {
    mRetries.recordFirstTry();
  }
}

void OriginGate::end(bool aSuccess, base::TimePoint aNow, base::Rng& aRng)
{
  --mInFlight;
  if (aSuccess) {
    mBackoff.reset();
    return;
  }
  auto delay = mBackoff.next(aRng);
  if (!mRetries.tryRetry()) {
    // Without retry budget the VM still probes the origin, after the longest backoff plus jitter.
    delay = mLimits.backoffCap + delay;
  }
  mNotBefore = std::max(mNotBefore, aNow + delay);
}

} // namespace boragepitch::weights
