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
  Done,      ///< The response was complete.
  Refused,   ///< Did not run and will not run.
  Crashed,   ///< The engine crashed while it ran.
  Cut,       ///< The stream ended early without a crash.
  Cancelled, ///< Cancelled by the entry, or the entry disconnected.
  Unknown,   ///< Sent to the service, whose response was lost.
};

/** One attempt at a request, on this endpoint. */
struct Run
{
  std::string id;
  std::string fingerprint;
  base::TimePoint arrivedAt; ///< Time of arrival.
  std::atomic<RunState> state{ RunState::Queued };
  std::atomic<uint64_t> bytes{ 0 }; ///< Bytes of the response body read from the engine so far.
  std::atomic<bool> cancelled{ false };

  std::mutex mutex; ///< Guards the members below.
  std::shared_ptr<UpstreamCall> call;
  std::string crashId;
  int status = 0; ///< Of a service's response, with type and body; 0 when not kept.
  std::string contentType;
  std::string body;

  void cancel();
  Json::Value describe();
};

/**
 * Runs by id: those in flight and a bounded number of ended ones. Also remembers ids that were
 * cancelled before they arrived. Thread-safe.
 */
class RunTable
{
public:
  RunTable(size_t aMaxEnded, base::TimePoint aNow);

  /** Adds a run; null when the id was already used or cancelled. */
  std::shared_ptr<Run> add(const std::string& aId,
                           const std::string& aFingerprint,
                           base::TimePoint aNow);
  /** Marks a run as ended; may evict the oldest ended one. */
  void markEnded(const std::shared_ptr<Run>& aRun);
  std::shared_ptr<Run> find(const std::string& aId);
  /**
   * Cancels a run. An unknown id is remembered, so that the run is refused if it arrives later;
   * false when there is no space to remember it.
   */
  bool cancel(const std::string& aId, base::TimePoint aNow);
  /** All runs that arrived after this time are still in the table; earlier ones may be evicted. */
  base::TimePoint completeSince();

private:
  const size_t mMaxEnded;
  std::mutex mMutex;
  base::TimePoint mCompleteSince;
  std::map<std::string, std::shared_ptr<Run>> mRuns;
  std::deque<std::string> mEnded;
  std::set<std::string> mCancelledBeforeArrival;
  std::deque<std::pair<base::TimePoint, std::string>> mCancellationTimes;
};

} // namespace boragepitch::gateway
