#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "base/Limits.h"
#include "base/Rng.h"
#include "base/Time.h"

namespace boragepitch::weights {

/** State of peers across manifests: load, requests in flight, backoff, and avoidance after corrupt
 * chunks. */
class PeerBook
{
public:
  struct Limits
  {
    size_t fetchesPerPeer = 2;
    base::Duration avoidTime{};
    base::Duration backoffBase{};
    base::Duration backoffCap{};
  };

  struct Peer
  {
    uint32_t inFlight = 0;
    uint32_t load = 0;
    uint64_t corruptChunks = 0;
    base::TimePoint avoidUntil{};
    base::TimePoint notBefore{};
    base::Backoff backoff;
  };

  explicit PeerBook(Limits aLimits);

  bool trusted(const std::string& aId, base::TimePoint aNow) const;
  bool usable(const std::string& aId, base::TimePoint aNow) const;
  uint32_t inFlight(const std::string& aId) const;
  uint32_t load(const std::string& aId) const;

  void begin(const std::string& aId);
  void end(const std::string& aId);
  void noteLoad(const std::string& aId, uint32_t aLoad);
  void noteSuccess(const std::string& aId);
  void noteBusy(const std::string& aId, base::TimePoint aUntil);
  void noteFailure(const std::string& aId, base::TimePoint aNow, base::Rng& aRng);
  /** Avoids the sender of a corrupt chunk; the time doubles with each further corrupt chunk. */
  void noteCorrupt(const std::string& aId, base::TimePoint aNow);

  const std::map<std::string, Peer>& peers() const { return mPeers; }

private:
  Peer& at(const std::string& aId);
  const Peer* find(const std::string& aId) const;

  Limits mLimits;
  std::map<std::string, Peer> mPeers;
};

/** Limits requests to the origin by concurrency, backoff with jitter and a retry budget. */
class OriginGate
{
public:
  struct Limits
  {
    size_t connections = 2;
    base::Duration backoffBase{};
    base::Duration backoffCap{};
  };

  explicit OriginGate(Limits aLimits);

  /** Delays the first request, so that VMs that start together do not reach the origin at once. */
  void holdUntil(base::TimePoint aTime) { mNotBefore = std::max(mNotBefore, aTime); }
  bool usable(base::TimePoint aNow) const;
  /** Whether as many requests as allowed are in flight and none has failed lately. */
  bool isBusy() const { return mBackoff.failures() == 0 && mInFlight >= mLimits.connections; }
  void begin();
  void end(bool aSuccess, base::TimePoint aNow, base::Rng& aRng);
  void endWithoutResult() { --mInFlight; }
  size_t inFlight() const { return mInFlight; }
  uint32_t failures() const { return mBackoff.failures(); }

private:
  Limits mLimits;
  size_t mInFlight = 0;
  base::TimePoint mNotBefore{};
  base::Backoff mBackoff;
  base::RetryBudget mRetries;
};

} // namespace boragepitch::weights
