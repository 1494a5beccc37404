#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include <json/value.h>

#include "UpstreamCall.h"
#include "base/Time.h"

namespace boragepitch::gateway {

enum class RunState
{
  Queued,
  Running,
  Done,      ///< Answered whole.
  Refused,   ///< Was not run and will not be.
  Crashed,   ///< The engine crashed while it ran.
  Cut,       ///< Ended early without a crash.
  Cancelled, ///< At the entry's request or because the entry left.
  Unknown,   ///< Sent to the service, whose answer was lost.
};

/** One attempt at a request on this endpoint. */
struct Run
{
  std::string id;
  std::string fingerprint;
  base::TimePoint added; ///< When it arrived.
  std::atomic<RunState> state{ RunState::Queued };
  std::atomic<uint64_t> bytes{ 0 }; ///< Of the body, handed to the connection.
  std::atomic<bool> cancelled{ false };

  std::mutex mutex; ///< Guards the members below.
  std::shared_ptr<UpstreamCall> call;
  std::string crashId;
  int status = 0; ///< Of a service's answer, kept for queries.
  std::string contentType;
  std::string body;

  void cancel();
  Json::Value describe();
};

/**
 * Runs by id: those in flight, a bounded number of ended ones, and ids that were cancelled before
 * they arrived. Thread-safe.
 */
class RunTable
{
public:
  RunTable(size_t aMaxEnded, base::TimePoint aNow);

  /** Null when the id was used or cancelled before. */
  std::shared_ptr<Run> add(const std::string& aId,
                           const std::string& aFingerprint,
                           base::TimePoint aNow);
  /** Counts a run among the ended ones. */
  void ended(const std::shared_ptr<Run>& aRun);
  std::shared_ptr<Run> find(const std::string& aId);
  /**
   * Cancels a run. An id that is not known is remembered, so that it is refused when it arrives
   * late; false when there is no room to remember it.
   */
  bool cancel(const std::string& aId, base::TimePoint aNow);
  /** Every run that arrived after this time is still known; earlier ones may be forgotten. */
  base::TimePoint completeSince();

private:
  const size_t mMaxEnded;
  std::mutex mMutex;
  base::TimePoint mCompleteSince;
  std::map<std::string, std::shared_ptr<Run>> mRuns;
  std::deque<std::string> mEnded;
  std::set<std::string> mCancelledEarly;
  std::deque<std::pair<base::TimePoint, std::string>> mCancelledOrder;
};

} // namespace boragepitch::gateway
