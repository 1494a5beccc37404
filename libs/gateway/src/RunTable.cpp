#include "RunTable.h"

#include <algorithm>

#include "Messages.h"

namespace boragepitch::gateway {

namespace {

/** A request delayed by a broken connection arrives within this time or never. */
constexpr base::Duration kCancelledRetention = std::chrono::minutes(10);
constexpr size_t kMaxCancelled = 1 << 16;

const char* toString(RunState aState)
{
  switch (aState) {
    case RunState::Queued:
      return "queued";
    case RunState::Running:
      return "running";
    case RunState::Done:
      return "done";
    case RunState::Refused:
      return "refused";
    case RunState::Crashed:
      return "crashed";
    case RunState::Cut:
      return "cut";
    case RunState::Cancelled:
      return "cancelled";
    case RunState::Unknown:
      return "lost";
  }
  return "lost";
}

} // namespace

void Run::cancel()
{
  cancelled = true;
  std::shared_ptr<UpstreamCall> running;
  {
    std::lock_guard lock(mutex);
    running = call;
  }
  if (running) {
    running->cancel();
  }
}

Json::Value Run::describe()
{
  Json::Value value;
  value["state"] = toString(state.load());
  value["bytes"] = Json::UInt64(bytes.load());
  std::lock_guard lock(mutex);
  value["crashId"] = crashId;
  if (status != 0) {
    value["status"] = status;
    value["type"] = contentType;
    value["body"] = toHex(body);
  }
  return value;
}

RunTable::RunTable(size_t aMaxEnded, base::TimePoint aNow)
  : mMaxEnded(aMaxEnded)
  , mCompleteSince(aNow)
{
}

std::shared_ptr<Run> RunTable::add(const std::string& aId,
                                   const std::string& aFingerprint,
                                   base::TimePoint aNow)
{
  auto run = std::make_shared<Run>();
  run->arrivedAt = aNow;
  run->id = aId;
  run->fingerprint = aFingerprint;
  std::lock_guard lock(mMutex);
  if (mCancelledBeforeArrival.contains(aId) || !mRuns.emplace(aId, run).second) {
    return nullptr;
  }
  return run;
}

void RunTable::markEnded(const std::shared_ptr<Run>& aRun)
{
  std::lock_guard lock(mMutex);
  mEnded.push_back(aRun->id);
  if (mEnded.size() > mMaxEnded) {
    auto oldest = mRuns.find(mEnded.front());
    if (oldest != mRuns.end()) {
      mCompleteSince = std::max(mCompleteSince, oldest->second->arrivedAt);
      mRuns.erase(oldest);
    }
    mEnded.pop_front();
  }
}

base::TimePoint RunTable::completeSince()
{
  std::lock_guard lock(mMutex);
  return mCompleteSince;
}

std::shared_ptr<Run> RunTable::find(const std::string& aId)
{
  std::lock_guard lock(mMutex);
  auto found = mRuns.find(aId);
  return found == mRuns.end() ? nullptr : found->second;
}

bool RunTable::cancel(const std::string& aId, base::TimePoint aNow)
{
  std::shared_ptr<Run> run;
  {
    std::lock_guard lock(mMutex);
    auto found = mRuns.find(aId);
    if (found == mRuns.end()) {
      while (!mCancellationTimes.empty() &&
             aNow - mCancellationTimes.front().first > kCancelledRetention) {
        mCancelledBeforeArrival.erase(mCancellationTimes.front().second);
        mCancellationTimes.pop_front();
      }
      if (mCancellationTimes.size() >= kMaxCancelled) {
        return false;
      }
      if (mCancelledBeforeArrival.insert(aId).second) {
        mCancellationTimes.emplace_back(aNow, aId);
      }
      return true;
    }
    run = found->second;
  }
  run->cancel();
  return true;
}

} // namespace boragepitch::gateway
