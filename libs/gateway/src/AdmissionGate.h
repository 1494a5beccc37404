#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

#include "routing/Admission.h"

namespace boragepitch::gateway {

/** Lets request threads wait for routing::Admission. Thread-safe. */
class AdmissionGate
{
public:
  explicit AdmissionGate(routing::AdmissionLimits aLimits);

  /** Blocks while the request is queued; the result is Run or Refused. After Run, call leave(). */
  routing::Decision enter(routing::Work aWork, const std::atomic<bool>& aCancelled);
  void leave(uint64_t aId, base::Duration aServiceTime);
  void setLimits(const routing::AdmissionLimits& aLimits);
  /** Refuses new and queued work until opened with an empty reason. */
  void close(const std::string& aReason, base::Duration aRetryAfter);
  void tick();
  /** False when work still runs at aUntil. */
  bool waitIdle(base::TimePoint aUntil);

  int running() const;
  int queued() const;
  bool isCold() const;
  /** True when this many running requests would be too many for a cold engine. */
  bool exceedsColdLimit() const;
  std::string closedReason() const;

private:
  void apply(routing::Admission::Changes aChanges);

  mutable std::mutex mMutex;
  std::condition_variable mDecided;
  std::condition_variable mIdle;
  routing::Admission mAdmission;
  routing::AdmissionLimits mLimits;
  std::string mClosedReason;
  std::map<uint64_t, routing::Decision> mDecisions;
};

} // namespace boragepitch::gateway
