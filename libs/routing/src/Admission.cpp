#include "routing/Admission.h"

#include <algorithm>
#include <tuple>

namespace boragepitch::routing {

namespace {

constexpr double kServiceTimeWeight = 0.2; ///< Weight of the newest sample in the moving averages.
/** Factor on the expected service time: a stream slows down when the engine's batch fills up after
 * it started. */
constexpr double kServiceMargin = 1.2;
constexpr base::Duration kLeastRetryAfter = std::chrono::milliseconds(50);

base::Duration seconds(double aSeconds)
{
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(aSeconds));
}

Decision refuse(std::string aReason, base::Duration aRetryAfter)
{
  return { Verdict::Refused, std::move(aReason), std::max(aRetryAfter, kLeastRetryAfter) };
}

} // namespace

bool Admission::Order::operator()(const Queued& aLeft, const Queued& aRight) const
{
  return (*this)(aLeft.work, aRight.work);
}

bool Admission::Order::operator()(const Work& aLeft, const Work& aRight) const
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

bool Admission::mayStart(const Work& aWork) const
{
  if (mClosedReason.empty() && !mAloneRuns) {
    return aWork.alone ? mRunning.empty() : running() < limit();
  }
  return false;
}

base::Duration Admission::waitBehind(size_t aAhead) const
{
  double rounds = static_cast<double>(aAhead + 1) / limit();
  return seconds(rounds * mServiceSeconds);
}

base::Duration Admission::expectedWait(const Work& aWork) const
{
  size_t ahead = 0;
  for (const Queued& queued : mQueue) {
    ahead += Order()(queued.work, aWork) ? 1 : 0;
  }
  return mQueue.empty() && running() < limit() ? base::Duration::zero() : waitBehind(ahead);
}

bool Admission::cannotFinish(const Work& aWork, base::Duration aWait, base::TimePoint aNow) const
{
  if (aWork.deadline == base::TimePoint::max()) {
    return false;
  }
  double service = kServiceMargin * mSecondsPerSize * aWork.size;
  return aNow + aWait + seconds(service) > aWork.deadline;
}

Decision Admission::offer(const Work& aWork, base::TimePoint aNow)
{
  if (!mClosedReason.empty()) {
    return refuse(mClosedReason, mClosedRetry);
  }
  if (aWork.deadline <= aNow) {
    return refuse("deadline has passed", base::Duration::zero());
  }
  // An idle endpoint admits any request: only a request that runs can correct a wrong estimate.
  if (!mRunning.empty() && cannotFinish(aWork, base::Duration::zero(), aNow)) {
    return refuse("cannot finish in time", base::Duration::zero());
  }
  if (mQueue.empty() && mayStart(aWork)) {
    mRunning.emplace(aWork.id, aWork);
    mAloneRuns = aWork.alone;
    return { Verdict::Run, {}, {} };
  }
  base::Duration wait = expectedWait(aWork);
  if (mQueue.size() >= mLimits.maxQueue) {
    return refuse("queue is full", wait);
  }
  if (wait > mLimits.maxQueueWait || cannotFinish(aWork, wait, aNow)) {
    return refuse("cannot finish in time", wait);
  }
  auto [position, inserted] = mQueue.insert({ aWork, aNow });
  mQueuedById[aWork.id] = position;
  return { Verdict::Queued, {}, {} };
}

void Admission::startWhatFits(Changes& aChanges)
{
  while (!mQueue.empty() && mayStart(mQueue.begin()->work)) {
    const Work& work = mQueue.begin()->work;
    mRunning.emplace(work.id, work);
    mAloneRuns = work.alone;
    aChanges.started.push_back(work.id);
    mQueuedById.erase(work.id);
    mQueue.erase(mQueue.begin());
  }
}

void Admission::refuseLate(Changes& aChanges, base::TimePoint aNow)
{
  size_t ahead = 0;
  for (auto it = mQueue.begin(); it != mQueue.end();) {
    // The first in the queue may start at any moment, so no wait is assumed for it.
    base::Duration wait = ahead == 0 ? base::Duration::zero() : waitBehind(ahead);
    bool tooLong = aNow - it->since + wait > mLimits.maxQueueWait;
    if (!tooLong && !cannotFinish(it->work, wait, aNow)) {
      ++it;
      ++ahead;
      continue;
    }
    aChanges.refused.push_back({ it->work.id, "cannot finish in time", waitBehind(mQueue.size()) });
    mQueuedById.erase(it->work.id);
    it = mQueue.erase(it);
  }
}

Admission::Changes Admission::finish(uint64_t aId,
                                     base::Duration aServiceTime,
                                     base::TimePoint aNow)
{
  Changes changes;
  if (auto found = mRunning.find(aId); found != mRunning.end()) {
    mAloneRuns = mAloneRuns && !found->second.alone;
    double size = std::max(found->second.size, 1.0);
    mRunning.erase(found);
    double took = std::chrono::duration<double>(aServiceTime).count();
    if (took > 0) {
      double weight = mServiceSeconds == 0 ? 1 : kServiceTimeWeight;
      mServiceSeconds += weight * (took - mServiceSeconds);
      mSecondsPerSize += weight * (took / size - mSecondsPerSize);
    }
  } else if (auto queued = mQueuedById.find(aId); queued != mQueuedById.end()) {
    mQueue.erase(queued->second);
    mQueuedById.erase(queued);
  }
  refuseLate(changes, aNow);
  startWhatFits(changes);
  return changes;
}

Admission::Changes Admission::tick(base::TimePoint aNow)
{
  Changes changes;
  refuseLate(changes, aNow);
  startWhatFits(changes);
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
  mClosedRetry = aRetryAfter;
  Changes changes;
  if (mClosedReason.empty()) {
    return tick(aNow);
  }
  for (const Queued& queued : mQueue) {
    changes.refused.push_back({ queued.work.id, mClosedReason, mClosedRetry });
  }
  mQueue.clear();
  mQueuedById.clear();
  return changes;
}

} // namespace boragepitch::routing
