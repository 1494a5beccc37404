#include "AdmissionGate.h"

#include <chrono>

namespace boragepitch::gateway {

namespace {

using routing::Decision;
using routing::Verdict;

base::TimePoint now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

AdmissionGate::AdmissionGate(routing::AdmissionLimits aLimits)
  : mAdmission(aLimits)
  , mLimits(aLimits)
{
}

Decision AdmissionGate::enter(routing::AdmissionRequest aRequest,
                              const std::atomic<bool>& aCancelled)
{
  constexpr base::Duration kCancellationPollInterval = std::chrono::milliseconds(20);
  std::unique_lock lock(mMutex);
  Decision decision = mAdmission.offer(aRequest, now());
  if (decision.verdict != Verdict::Queued) {
    return decision;
  }
  for (;;) {
    mDecided.wait_until(
      lock, now() + kCancellationPollInterval, [&] { return mDecisions.contains(aRequest.id); });
    if (auto found = mDecisions.find(aRequest.id); found != mDecisions.end()) {
      decision = found->second;
      mDecisions.erase(found);
      return decision;
    }
    if (aCancelled) {
      apply(mAdmission.finish(aRequest.id, {}, now()));
      return { Verdict::Refused, "cancelled", {} };
    }
    apply(mAdmission.tick(now()));
  }
}

void AdmissionGate::leave(uint64_t aId, base::Duration aServiceTime)
{
  std::lock_guard lock(mMutex);
  apply(mAdmission.finish(aId, aServiceTime, now()));
  if (mAdmission.running() == 0) {
    mIdle.notify_all();
  }
}

void AdmissionGate::setLimits(const routing::AdmissionLimits& aLimits)
{
  std::lock_guard lock(mMutex);
  mLimits = aLimits;
  apply(mAdmission.setLimits(aLimits, now()));
}

void AdmissionGate::close(const std::string& aReason, base::Duration aRetryAfter)
{
  std::lock_guard lock(mMutex);
  mClosedReason = aReason;
  apply(mAdmission.close(aReason, aRetryAfter, now()));
}

void AdmissionGate::tick()
{
  std::lock_guard lock(mMutex);
  apply(mAdmission.tick(now()));
}

bool AdmissionGate::waitIdle(base::TimePoint aUntil)
{
  std::unique_lock lock(mMutex);
  return mIdle.wait_until(
    lock, aUntil, [this] { return mAdmission.running() == 0 && mAdmission.queued() == 0; });
}

int AdmissionGate::running() const
{
  std::lock_guard lock(mMutex);
  return mAdmission.running();
}

int AdmissionGate::queued() const
{
  std::lock_guard lock(mMutex);
  return mAdmission.queued();
}

bool AdmissionGate::isCold() const
{
  std::lock_guard lock(mMutex);
  return mAdmission.isCold();
}

bool AdmissionGate::exceedsColdLimit() const
{
  std::lock_guard lock(mMutex);
  // Also checked while the engine is known to be cold: the caller may have been admitted when the
  // engine was still thought warm.
  return mAdmission.running() > mLimits.coldLimit;
}

std::string AdmissionGate::closedReason() const
{
  std::lock_guard lock(mMutex);
  return mClosedReason;
}

void AdmissionGate::apply(routing::Admission::Changes aChanges)
{
  for (uint64_t id : aChanges.started) {
    mDecisions[id] = { Verdict::Run, {}, {} };
  }
  for (auto& refusal : aChanges.refused) {
    mDecisions[refusal.id] = { Verdict::Refused, std::move(refusal.reason), refusal.retryAfter };
  }
  if (!aChanges.started.empty() || !aChanges.refused.empty()) {
    mDecided.notify_all();
  }
}

} // namespace boragepitch::gateway
