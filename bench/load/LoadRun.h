#pragma once

#include <array>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <json/value.h>

#include "base/Rng.h"
#include "base/Time.h"
#include "load/Checker.h"
#include "net/HttpClient.h"
#include "telemetry/Metrics.h"

namespace boragepitch::load {

struct WorkspaceLoad
{
  std::string name;
  double weight = 1; ///< Share of the requests.
  double worth = 1;  ///< Worth of a request answered in time.
};

struct LoadOptions
{
  std::vector<net::Address> entries;
  bool direct = false; ///< Speak to stand-in engines instead of entries.
  std::string model;
  std::vector<ExpectedVersion> expected;
  std::vector<WorkspaceLoad> workspaces;
  double requestsPerSecond = 10;
  double durationSeconds = 10;
  uint64_t seed = 1;
  int64_t minTokens = 16;
  int64_t maxTokens = 16;
  size_t promptBytes = 128;
  size_t prefixGroups = 8;
  size_t prefixBytes = 64;
  int64_t deadlineMs = 10000;
  int64_t silenceMs =
    30000;         ///< Idle timeout: the stream counts as cut, or as lost before its head.
  int retries = 0; ///< Retries at other entries after a refusal.
  size_t maxInFlight = 2000;
  std::string logPath; ///< One CSV line for each request; empty for none.
};

/** One request, generated before the run so that it depends on the seed alone. */
struct PlannedRequest
{
  uint64_t number = 0;
  base::Duration arrival{};
  size_t workspace = 0;
  size_t entry = 0;
  int64_t tokens = 0;
  int priority = 0;
  std::string prompt;
};

/** The n-th planned requests of a seed: Poisson arrivals over the duration. */
std::vector<PlannedRequest> planRequests(const LoadOptions& aOptions);

/** Runs an open-loop load: arrivals do not wait for responses. */
class LoadRun
{
public:
  explicit LoadRun(LoadOptions aOptions);

  /** Runs to the end of the last response and returns the summary. */
  Json::Value run();

private:
  struct Try
  {
    Outcome outcome = Outcome::Lost;
    bool mayRetry = false;
    base::Duration retryAfter{};
    std::string instance;
  };
  struct WorkspaceResult
  {
    uint64_t sent = 0;
    uint64_t answeredInTime = 0;
  };

  void dispatch(const std::vector<PlannedRequest>& aPlan);
  void work();
  void execute(const PlannedRequest& aRequest);
  Try tryOnce(const PlannedRequest& aRequest, size_t aEntry, base::TimePoint aArrival);
  net::ClientRequest toHttp(const PlannedRequest& aRequest, base::Duration aLeft) const;
  void record(const PlannedRequest& aRequest, const Try& aTry, base::Duration aTotal);
  Json::Value summary(double aElapsedSeconds) const;

  const LoadOptions mOptions;
  base::TimePoint mStart;
  telemetry::LatencyHistogram mFirstToken;
  telemetry::LatencyHistogram mBetweenTokens;
  telemetry::LatencyHistogram mTotal;
  telemetry::LatencyHistogram mDispatchLag;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<PlannedRequest> mQueue;
  std::vector<std::thread> mThreads;
  size_t mIdle = 0;
  bool mEnding = false;
  uint64_t mDropped = 0;
  uint64_t mRetries = 0;
  std::array<uint64_t, kOutcomes> mCounts{};
  std::vector<WorkspaceResult> mByWorkspace;
  std::vector<std::string> mLog;
};

} // namespace boragepitch::load
