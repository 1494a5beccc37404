#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

#include "routing/Admission.h"

namespace boragepitch::gateway {

/** Blocking interface to routing::Admission for request threads. Thread-safe. */
class AdmissionGate
{
public:
  explicit AdmissionGate(routing::AdmissionLimits aLimits);

  /** Blocks while the request is queued. The verdict is Run or Refused; after Run, call leave(). */
  routing::Decision enter(routing::AdmissionRequest aRequest, const std::atomic<bool>& aCancelled);
  void leave(uint64_t aId, base::Duration aServiceTime);
  void setLimits(const routing::AdmissionLimits& aLimits);
  /** Refuses new and queued requests until called with an empty reason. */
  void close(const std::string& aReason, base::Duration aRetryAfter);
  void tick();
  /** Waits until no request runs or is queued; false at aUntil. */
  bool waitIdle(base::TimePoint aUntil);

  int running() const;
  int queued() const;
  bool isCold() const;
  /** True when more requests run than the cold limit allows. */
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
