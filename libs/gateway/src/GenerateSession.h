#pragma once

#include <future>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "EntryCore.h"
#include "routing/StreamAssembler.h"

namespace boragepitch::gateway {

constexpr base::Duration kAvoidAfterClosed = std::chrono::seconds(1);
constexpr base::Duration kAvoidAfterOverload = std::chrono::milliseconds(100);

/** Refusal of a request that was in flight at two engine crashes; it must not be retried. */
Refusal poisonRefusal();

/** Result of an attempt. */
enum class AttemptResult
{
  Done,       ///< Complete; without a writer, the first events have arrived.
  CallerLeft, ///< The caller disconnected.
  NotRun,     ///< Refused or unreachable; another endpoint may take the request.
  Rejected,   ///< Refused; the request must not be retried.
  Cut,        ///< Ended early; another attempt may resume the stream.
};

/** Serves one generate request, with all its attempts. */
class GenerateSession
{
public:
  GenerateSession(std::shared_ptr<EntryCore> aCore, CallerRequest aCaller, std::string aModel)
    : mCore(std::move(aCore))
    , mCaller(std::move(aCaller))
    , mModel(std::move(aModel))
    , mSlot(mCore, mCaller.workspace)
  {
  }
  ~GenerateSession() { closeAttempt(); }
  GenerateSession(const GenerateSession&) = delete;
  GenerateSession& operator=(const GenerateSession&) = delete;

  std::optional<Refusal> parse(const std::string& aBody);
  /** Tries endpoints until the first event has arrived; otherwise the refusal. */
  std::optional<Refusal> awaitFirstEvent();
  net::StreamEnd stream(net::StreamWriter& aWriter);

private:
  AttemptResult attempt(net::StreamWriter* aWriter);
  bool chooseEndpoint();
  void startCall();
  std::string body() const;
  int64_t tokensLeft() const;
  AttemptResult relayEvents(net::StreamWriter* aWriter);
  AttemptResult onHead();
  AttemptResult onRefusedHead();
  std::optional<AttemptResult> onData(const std::string& aData, net::StreamWriter* aWriter);
  std::optional<AttemptResult> onSilence(net::StreamWriter* aWriter);
  bool isConnectionDead();
  AttemptResult onBrokenConnection();
  AttemptResult abandonAttempt();
  void recordCrash(const std::string& aCrashId);
  /** Clears the request of the crashes that it has got past. */
  void recordProgress();
  void notifyEntries();
  bool isPoison() const;
  void awaitNotice();
  void closeAttempt();
  bool mayRetry(AttemptResult aResult);
  bool isPastDeadline() const { return std::chrono::steady_clock::now() >= mCaller.deadline; }
  void succeed();
  net::StreamEnd giveUp(net::StreamWriter& aWriter);
  Refusal lastRefusal() const;

  std::shared_ptr<EntryCore> mCore;
  CallerRequest mCaller;
  std::string mModel;
  ConcurrencySlot mSlot;
  std::string mPrompt;
  int64_t mMaxTokens = 0;
  std::string mFingerprint;
  uint64_t mPrefix = 0;

  routing::StreamAssembler mAssembler;
  std::string mUnsentEvents; ///< Complete events not yet written to the caller.
  std::vector<std::string> mExcluded;
  std::set<std::string> mCrashes;
  std::vector<std::string> mPassedCrashes; ///< Crashes of which the request was cleared.
  std::shared_future<void> mNotice;        ///< Pending notice of all crashes so far.
  base::TimePoint mNoticeDeadline;
  std::optional<Refusal> mRefusal;
  int mAttempts = 0;
  int mCuts = 0;
  int mCutsWithoutProgress = 0;      ///< Consecutive cuts without a new event.
  uint64_t mEventsBeforeAttempt = 0; ///< Events received before the current attempt.
  bool mMayHaveRun = false;
  /** Whether the next attempt counts against the retry budget. False after an attempt that cost the
   * fleet nothing: the endpoint was unreachable, switching versions or leaving. */
  bool mChargeRetry = true;
  std::optional<base::TimePoint> mLastCutAt;

  // State of the current attempt.
  std::shared_ptr<const routing::EndpointInfo> mEndpoint;
  std::shared_ptr<UpstreamCall> mCall;
  std::string mRunId;
  std::string mManifest;
  uint64_t mReceivedBytes = 0;
  uint64_t mBytesAtLastProbe = 0;
  int mProbes = 0;
  bool mHasHead = false;
  bool mCallEnded = false;
  bool mHasProgress = false; ///< The attempt has brought a new event.
};

} // namespace boragepitch::gateway
