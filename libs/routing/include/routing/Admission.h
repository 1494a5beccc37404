#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Time.h"

namespace boragepitch::routing {

/** A request offered to an endpoint. */
struct Work
{
  uint64_t id = 0;
  int worth = 1;    ///< Of a request of its workspace; the greater goes first.
  int priority = 5; ///< 0 to 9; 9 goes first among requests of the same worth.
  base::TimePoint deadline = base::TimePoint::max();
  double size = 1;    ///< Expected work in any unit, such as the most tokens of the response.
  bool alone = false; ///< A poison suspect: runs with no other request beside it.
};

struct AdmissionLimits
{
  bool cold = true;
  int coldLimit = 1;
  int warmLimit = 1;
  size_t maxQueue = 64;
  base::Duration maxQueueWait = std::chrono::seconds(2);
};

enum class Verdict
{
  Run,
  Queued,
  Refused,
};

struct Decision
{
  Verdict verdict = Verdict::Refused;
  std::string reason;             ///< Why it was refused.
  base::Duration retryAfter{ 0 }; ///< For a refusal.
};

/**
 * Decides which requests run at one endpoint. Enforces the limit where the requests of all entries
 * meet: no more than the cold limit run while the endpoint is cold. The queue is bounded and
 * ordered by worth, then priority, then deadline: callers choose their priority, the members of the
 * workspace its worth. Queued requests that others overtook are refused as soon as they cannot
 * finish in time. Not thread-safe.
 */
class Admission
{
public:
  struct Refusal
  {
    uint64_t id = 0;
    std::string reason;
    base::Duration retryAfter{ 0 };
  };
  struct Changes
  {
    std::vector<uint64_t> started;
    std::vector<Refusal> refused;
  };

  explicit Admission(AdmissionLimits aLimits);

  Decision offer(const Work& aWork, base::TimePoint aNow);
  /** Ends a running request or withdraws a queued one; unknown ids are ignored.
   * @param aServiceTime how long it ran; zero when it does not count towards the estimate. */
  Changes finish(uint64_t aId, base::Duration aServiceTime, base::TimePoint aNow);
  /** Refuses queued requests that can no longer finish in time, and starts others. */
  Changes tick(base::TimePoint aNow);
  Changes setLimits(AdmissionLimits aLimits, base::TimePoint aNow);
  /** Refuses everything new and everything queued; what runs continues. An empty reason reopens. */
  Changes close(std::string aReason, base::Duration aRetryAfter, base::TimePoint aNow);

  int running() const { return static_cast<int>(mRunning.size()); }
  int queued() const { return static_cast<int>(mQueue.size()); }
  bool isCold() const { return mLimits.cold; }
  bool isClosed() const { return !mClosedReason.empty(); }
  int limit() const;
  /** Expected time until a request that is offered now starts. */
  base::Duration expectedWait(const Work& aWork) const;

private:
  struct Queued
  {
    Work work;
    base::TimePoint since;
  };
  struct Order
  {
    bool operator()(const Queued& aLeft, const Queued& aRight) const;
    bool operator()(const Work& aLeft, const Work& aRight) const;
  };
  using Queue = std::set<Queued, Order>;

  bool mayStart(const Work& aWork) const;
  bool cannotFinish(const Work& aWork, base::Duration aWait, base::TimePoint aNow) const;
  base::Duration waitBehind(size_t aAhead) const;
  void startWhatFits(Changes& aChanges);
  void refuseLate(Changes& aChanges, base::TimePoint aNow);

  AdmissionLimits mLimits;
  std::string mClosedReason;
  base::Duration mClosedRetry{ 0 };
  std::map<uint64_t, Work> mRunning;
  bool mAloneRuns = false;
  Queue mQueue;
  std::unordered_map<uint64_t, Queue::iterator> mQueuedById;
  // Moving averages; 0 until the first request ended.
  double mServiceSeconds = 0;
  double mSecondsPerSize = 0;
};

} // namespace boragepitch::routing
