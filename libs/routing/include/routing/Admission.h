#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Time.h"

namespace boragepitch::routing {

/** A request that asks for admission at an endpoint. */
struct AdmissionRequest
{
  uint64_t id = 0;
  int worth = 1;    ///< Worth of its workspace's requests; the highest goes first.
  int priority = 5; ///< 0 to 9; 9 goes first among requests of the same worth.
  base::TimePoint deadline = base::TimePoint::max();
  double size = 1;        ///< Expected work in any unit, such as the maximum response tokens.
  bool exclusive = false; ///< Runs with no other request beside it: a poison suspect.
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
  std::string reason;             ///< Reason of a refusal.
  base::Duration retryAfter{ 0 }; ///< Set with a refusal.
};

/**
 * Admission control of one endpoint for the requests of all entries. Enforces the concurrency
 * limit: while the endpoint is cold, at most the cold limit run. The queue is bounded and ordered
 * by worth, then priority, then deadline. Worth belongs to the workspace and outranks priority, so
 * that a caller cannot overtake other workspaces by its own choice of priority. A queued request
 * that is overtaken is refused as soon as it can no longer finish in time. Not thread-safe.
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

  Decision offer(const AdmissionRequest& aRequest, base::TimePoint aNow);
  /** Ends a running request or removes a queued one; unknown ids are ignored.
   * @param aServiceTime time for which it ran; zero excludes it from the service time estimate. */
  Changes finish(uint64_t aId, base::Duration aServiceTime, base::TimePoint aNow);
  /** Refuses queued requests that can no longer finish in time and starts those that fit. */
  Changes tick(base::TimePoint aNow);
  Changes setLimits(AdmissionLimits aLimits, base::TimePoint aNow);
  /** Refuses new and queued requests; running ones continue. An empty reason reopens. */
  Changes close(std::string aReason, base::Duration aRetryAfter, base::TimePoint aNow);

  int running() const { return static_cast<int>(mRunning.size()); }
  int queued() const { return static_cast<int>(mQueue.size()); }
  bool isCold() const { return mLimits.cold; }
  bool isClosed() const { return !mClosedReason.empty(); }
  int limit() const;
  /** Expected queue wait of a request that is offered now. */
  base::Duration expectedWait(const AdmissionRequest& aRequest) const;

private:
  struct Queued
  {
    AdmissionRequest request;
    base::TimePoint queuedAt;
  };
  struct QueueOrder
  {
    bool operator()(const Queued& aLeft, const Queued& aRight) const;
    bool operator()(const AdmissionRequest& aLeft, const AdmissionRequest& aRight) const;
  };
  using Queue = std::set<Queued, QueueOrder>;

  bool mayStart(const AdmissionRequest& aRequest) const;
  bool wouldMissDeadline(const AdmissionRequest& aRequest,
                         base::Duration aWait,
                         base::TimePoint aNow) const;
  base::Duration expectedWaitBehind(size_t aRequestsAhead) const;
  void startQueued(Changes& aChanges);
  void refuseLateRequests(Changes& aChanges, base::TimePoint aNow);

  AdmissionLimits mLimits;
  std::string mClosedReason;
  base::Duration mClosedRetryAfter{ 0 };
  std::map<uint64_t, AdmissionRequest> mRunning;
  bool mExclusiveRuns = false;
  Queue mQueue;
  std::unordered_map<uint64_t, Queue::iterator> mQueuedById;
  // Moving averages; 0 until the first request has ended.
  double mMeanServiceSeconds = 0;
  double mMeanSecondsPerSize = 0;
};

} // namespace boragepitch::routing
