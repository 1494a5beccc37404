#include "routing/Admission.h"

#include <algorithm>
#include <tuple>

namespace boragepitch::routing {

namespace {

constexpr double kNewSampleWeight = 0.2; ///< Weight of the newest sample in the moving averages.
/** Factor on the expected service time: a stream slows down when the engine's batch fills up after
 * it started. */
constexpr double kServiceTimeMargin = 1.2;
constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(50);

base::Duration seconds(double aSeconds)
{
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(aSeconds));
}

Decision refuse(std::string aReason, base::Duration aRetryAfter)
{
  return { Verdict::Refused, std::move(aReason), std::max(aRetryAfter, kMinRetryAfter) };
}

} // namespace

bool Admission::QueueOrder::operator()(const Queued& aLeft, const Queued& aRight) const
{
  return (*this)(aLeft.request, aRight.request);
}

bool Admission::QueueOrder::operator()(const AdmissionRequest& aLeft,
                                       const AdmissionRequest& aRight) const
{
  return std::tuple(-aLeft.worth, -aLeft.priority, aLeft.deadline, aLeft.id) <
         std::tuple(-aRight.worth, -aRight.priority, aRight.deadline, aRight.id);
}

Admission::Admission(AdmissionLimits aLimits)
  : mLimits(aLimits)
{
}

int Admission::limit() const
{
  return std::max(1, mLimits.cold ? mLimits.coldLimit : mLimits.warmLimit);
}

bool Admission::mayStart(const AdmissionRequest& aRequest) const
{
  if (mClosedReason.empty() && !mExclusiveRuns) {
    return aRequest.exclusive ? mRunning.empty() : running() < limit();
  }
  return false;
}

base::Duration Admission::expectedWaitBehind(size_t aRequestsAhead) const
{
  double rounds = static_cast<double>(aRequestsAhead + 1) / limit();
  return seconds(rounds * mMeanServiceSeconds);
}

base::Duration Admission::expectedWait(const AdmissionRequest& aRequest) const
{
  size_t ahead = 0;
  for (const Queued& queued : mQueue) {
    ahead += QueueOrder()(queued.request, aRequest) ? 1 : 0;
  }
  return mQueue.empty() && running() < limit() ? base::Duration::zero() : expectedWaitBehind(ahead);
}

bool Admission::wouldMissDeadline(const AdmissionRequest& aRequest,
                                  base::Duration aWait,
                                  base::TimePoint aNow) const
{
  if (aRequest.deadline == base::TimePoint::max()) {
    return false;
  }
  double expectedServiceSeconds = kServiceTimeMargin * mMeanSecondsPerSize * aRequest.size;
  return aNow + aWait + seconds(expectedServiceSeconds) > aRequest.deadline;
}

Decision Admission::offer(const AdmissionRequest& aRequest, base::TimePoint aNow)
{
  if (!mClosedReason.empty()) {
    return refuse(mClosedReason, mClosedRetryAfter);
  }
  if (aRequest.deadline <= aNow) {
    return refuse("deadline has passed", base::Duration::zero());
  }
  // An idle endpoint admits any request: only a request that runs can correct a wrong estimate.
  if (!mRunning.empty() && wouldMissDeadline(aRequest, base::Duration::zero(), aNow)) {
    return refuse("cannot finish in time", base::Duration::zero());
  }
  if (mQueue.empty() && mayStart(aRequest)) {
    mRunning.emplace(aRequest.id, aRequest);
    mExclusiveRuns = aRequest.exclusive;
    return { Verdict::Run, {}, {} };
  }
  base::Duration wait = expectedWait(aRequest);
  if (mQueue.size() >= mLimits.maxQueue) {
    return refuse("queue is full", wait);
  }
  if (wait > mLimits.maxQueueWait || wouldMissDeadline(aRequest, wait, aNow)) {
    return refuse("cannot finish in time", wait);
  }
  auto [position, inserted] = mQueue.insert({ aRequest, aNow });
  mQueuedById[aRequest.id] = position;
  return { Verdict::Queued, {}, {} };
}

void Admission::startQueued(Changes& aChanges)
{
  while (!mQueue.empty() && mayStart(mQueue.begin()->request)) {
    const AdmissionRequest& request = mQueue.begin()->request;
    mRunning.emplace(request.id, request);
    mExclusiveRuns = request.exclusive;
    aChanges.started.push_back(request.id);
    mQueuedById.erase(request.id);
    mQueue.erase(mQueue.begin());
  }
}

void Admission::refuseLateRequests(Changes& aChanges, base::TimePoint aNow)
{
  size_t ahead = 0;
  for (auto it = mQueue.begin(); it != mQueue.end();) {
    // The first in the queue may start at any moment, so no wait is assumed for it.
    base::Duration wait = ahead == 0 ? base::Duration::zero() : expectedWaitBehind(ahead);
    bool tooLong = aNow - it->queuedAt + wait > mLimits.maxQueueWait;
    if (!tooLong && !wouldMissDeadline(it->request, wait, aNow)) {
      ++it;
      ++ahead;
      continue;
    }
    aChanges.refused.push_back(
      { it->request.id, "cannot finish in time", expectedWaitBehind(mQueue.size()) });
    mQueuedById.erase(it->request.id);
    it = mQueue.erase(it);
  }
}

Admission::Changes Admission::finish(uint64_t aId,
                                     base::Duration aServiceTime,
                                     base::TimePoint aNow)
{
  Changes changes;
  if (auto found = mRunning.find(aId); found != mRunning.end()) {
    mExclusiveRuns = mExclusiveRuns && !found->second.exclusive;
    double size = std::max(found->second.size, 1.0);
    mRunning.erase(found);
    double serviceSeconds = std::chrono::duration<double>(aServiceTime).count();
    if (serviceSeconds > 0) {
      double weight = mMeanServiceSeconds == 0 ? 1 : kNewSampleWeight;
      mMeanServiceSeconds += weight * (serviceSeconds - mMeanServiceSeconds);
      mMeanSecondsPerSize += weight * (serviceSeconds / size - mMeanSecondsPerSize);
    }
  } else if (auto queued = mQueuedById.find(aId); queued != mQueuedById.end()) {
    mQueue.erase(queued->second);
    mQueuedById.erase(queued);
  }
  refuseLateRequests(changes, aNow);
  startQueued(changes);
  return changes;
}

Admission::Changes Admission::tick(base::TimePoint aNow)
{
  Changes changes;
  refuseLateRequests(changes, aNow);
  startQueued(changes);
  return changes;
}

Admission::Changes Admission::setLimits(AdmissionLimits aLimits, base::TimePoint aNow)
{
  mLimits = aLimits;
  return tick(aNow);
}

Admission::Changes Admission::close(std::string aReason,
                                    base::Duration aRetryAfter,
                                    base::TimePoint aNow)
{
  mClosedReason = std::move(aReason);
  mClosedRetryAfter = aRetryAfter;
  Changes changes;
  if (mClosedReason.empty()) {
    return tick(aNow);
  }
  for (const Queued& queued : mQueue) {
    changes.refused.push_back({ queued.request.id, mClosedReason, mClosedRetryAfter });
  }
  mQueue.clear();
  mQueuedById.clear();
  return changes;
}

} // namespace boragepitch::routing
