#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "CallerSession.h"
#include "Core.h"
#include "Routing.h"
#include "Upstream.h"
#include "serving/AnswerSources.h"
#include "serving/EventSplitter.h"

namespace boragepitch::relay {

/** Result of a failed send to one endpoint. */
struct SendResult
{
  serving::Outcome outcome = serving::Outcome::Silent;
  bool mayHaveRun = true; ///< False only if the endpoint certainly did not run the request.
  std::string reason;
  bool isGivenUp = false; ///< The relay ended the send; the endpoint might have gone on.
};

/** One send of a request to an endpoint. */
struct Send
{
  serving::SourceId source = 0;
  std::shared_ptr<Exchange> exchange; ///< Null before the send and after its end.
  serving::EndpointPtr endpoint;
  serving::Occupancy occupancy;
  base::TimePoint sentAt;
  int load = 0;                 ///< Known requests at the endpoint at the send.
  base::Duration listAge{ -1 }; ///< Age of the endpoint list at the send; -1 if unknown.
  /** From the send until all its bytes were written. */
  std::optional<base::Duration> writeTime;
  bool wasLapsed = false;         ///< The endpoint was lapsed at the send.
  uint64_t believedVersion = 0;   ///< Weights that the endpoint was believed to hold at the send.
  base::Duration reportAge{ -1 }; ///< Age of the endpoint's load report; -1 without a report.
};

/** Why a request was sent to a further endpoint while an earlier one may still answer it. */
enum class StandbyKind
{
  Retry, ///< All earlier sends were silent for longer than their timeout.
  Hedge, ///< The first send was slower than usual; spends the budget of hedges.
};

class StandbySend;

/**
 * One request of a caller, from its route to its answer: decides where it is sent, whether it is
 * sent again or to a further endpoint at the same time, and what the caller is answered. A status
 * which promises that the request did not run is sent only when no endpoint may have run it.
 *
 * serving::AnswerSources decides which sends may still give the answer.
 */
class Call
  : public ExchangeHandler
  , public std::enable_shared_from_this<Call>
{
public:
  Call(Core& aCore, CallerSession& aSession, CallerRequest aRequest);
  ~Call() override;

  const std::string& attemptId() const { return mFacts.attemptId; }
  void start(base::TimePoint aNow);
  void tick(base::TimePoint aNow);
  void onCallerLeft();
  /** Logs a request that the end of the process breaks off. */
  void logUnfinished(base::TimePoint aNow);
  /** All bytes written to the caller's connection have been sent. */
  void onCallerDrained();
  /** Bytes held of the answer that is being received. */
  size_t heldBytes() const { return mCharge.bytes(); }
  /** Gives up the endpoint's answer because the process holds too many bytes. */
  void giveUpAnswer(base::TimePoint aNow);

  void onSent() override;
  void onHead(const AnswerHead& aHead) override;
  void onLateHead(const AnswerHead& aHead) override;
  void onBody(std::string_view aBytes) override;
  void onEnd(ExchangeEnd aEnd) override;

  // Progress of a standby, until it is adopted; see StandbySend.
  void onStandbySent(StandbySend& aStandby);
  void onStandbyHead(StandbySend& aStandby, const AnswerHead& aHead);
  void onStandbyLateHead(StandbySend& aStandby, const AnswerHead& aHead);
  void onStandbyBody(StandbySend& aStandby, std::string_view aBytes);
  void onStandbyEnd(StandbySend& aStandby, ExchangeEnd aEnd);

private:
  bool admit(base::TimePoint aNow);
  /** Moves the deadline before the end of the process. */
  void limitByStop();
  RequestTarget requestTarget() const;
  serving::PlacementRequest placementRequest(base::TimePoint aNow) const;
  void send(base::TimePoint aNow);
  Send prepareSend(const serving::Placement& aPlacement,
                   const serving::PlacementRequest& aRequest,
                   std::weak_ptr<ExchangeHandler> aHandler,
                   base::TimePoint aNow);
  void startSend(const Send& aSend, base::TimePoint aNow);
  void recordSent(Send& aSend);
  /** Head of the request as sent to the endpoint. */
  std::string forwardHead(const serving::Endpoint& aEndpoint, base::TimePoint aNow) const;
  /** Whether the endpoint must decline the request if it holds other weights than believed. */
  bool needsExpectedVersion(const serving::Endpoint& aEndpoint, base::TimePoint aNow) const;
  /** Starts the timer after which a second copy may be sent. */
  void scheduleHedge(base::TimePoint aNow);
  /** Sends a second copy unless there is a reason not to. */
  void tryHedge(base::TimePoint aNow);
  serving::HedgeTarget hedgeTarget(const serving::Placement& aPlacement,
                                   base::TimePoint aNow) const;
  /** Asks a further endpoint if all that were asked are silent and the request may be repeated. */
  void askAnotherIfSilent(base::TimePoint aNow);
  /** Sends the request to a further endpoint while the present sends go on. */
  void sendStandby(StandbyKind aKind, const serving::Placement& aPlacement, base::TimePoint aNow);
  /** Ends the standbys that may not be used any more. */
  void endUnusableStandbys(base::TimePoint aNow);
  /** The standby with this number; null if it has ended. */
  std::shared_ptr<StandbySend> standby(serving::SourceId aSource) const;
  /** Gives up all other sends for this standby, which has delivered, and adopts it. */
  void standbyDelivered(StandbySend& aStandby, base::TimePoint aNow);
  /** Takes a standby as the current send. Its answer so far is used, and nothing of the last
   * current one's. */
  void adopt(std::shared_ptr<StandbySend> aStandby, base::TimePoint aNow);
  /** Ends a standby. The other sends go on. */
  void standbyFailed(StandbySend& aStandby, const SendResult& aResult, base::TimePoint aNow);
  /** Ends all standbys because they are no longer needed. */
  void cancelStandbys(base::TimePoint aNow);
  /** Records how long the last send has taken so far. */
  void recordSendTime(base::TimePoint aNow);
  void takeHead(const AnswerHead& aHead);
  void takeBody(std::string_view aBytes, base::TimePoint aNow);
  void sendFailed(const SendResult& aResult, base::TimePoint aNow);
  /** Reason why the request itself may not be sent again, whatever endpoints there are. Empty when
   * it may be.
   * @param aSources what the sends so far allow. */
  std::string_view obstacleToRepeat(serving::SendObstacle aSources, base::TimePoint aNow) const;
  /** Reason why the request may not be sent again. Empty when it may be; this spends a retry of the
   * budget. */
  std::string_view obstacleToRetry(base::TimePoint aNow);
  /** Whether the request may be sent to another endpoint if the current one cannot be reached. */
  bool canReplaceCurrent(base::TimePoint aNow);
  /** @param aMayHaveRun the endpoint may have run the request. */
  void endSend(serving::Outcome aOutcome, bool aMayHaveRun, base::TimePoint aNow);
  void abortSend(SendResult aResult, base::TimePoint aNow);
  /** Accounts for the bytes held of the answer, which may be given up thereby. */
  void chargeAnswer(base::TimePoint aNow);
  void handleEvent(const serving::StreamEvent& aEvent, base::TimePoint aNow);
  /** Takes comments and empty lines between the events of a stream. */
  void handleComment(std::string_view aText);
  /** Whether the request may be the reason why endpoints crash. */
  bool isQuarantined(base::TimePoint aNow) const;
  void completed(base::TimePoint aNow);
  void failureAnswered(base::TimePoint aNow);
  /** Whether a request that has not begun at this engine may no longer begin on its weights. */
  bool isStartOverdue(const serving::Endpoint& aEndpoint, base::TimePoint aNow) const;
  /** After the deadline: whether a part of the answer has arrived that is still to be read.
   * @param aHasRead a part of it was read since the previous tick. */
  bool isReadingLast(bool aHasRead, base::TimePoint aNow);
  /** Logs a request that begins on weights whose replacement is enforced already. */
  void checkStartVersion(base::TimePoint aNow);
  serving::AnswerLimits answerLimits() const;
  /** Sends the caller the final answer after all sends failed or none was possible. */
  void giveUp(base::TimePoint aNow, std::string_view aReason);
  void reject(int aStatus, std::string_view aReason, base::TimePoint aNow);
  void refuse(std::string_view aReason, base::TimePoint aNow);
  void fail(int aStatus, std::string_view aReason, base::TimePoint aNow);
  /** Records the limit that the head of the request's answer names. */
  void recordLimit(const AnswerHead& aHead, const Send& aSend, base::TimePoint aNow);
  /** Records what the head says about the endpoint, even in an answer to another request. */
  void recordEndpointState(const AnswerHead& aHead, const Send& aSend, base::TimePoint aNow);
  serving::Placement choose(base::TimePoint aNow);
  /** Refuses a first attempt when its service has room for more urgent ones only; false then. */
  bool admitByPriority(base::TimePoint aNow);
  void deliver(const AnswerHead& aHead, std::string_view aBody, base::TimePoint aNow);
  void logEnd(telemetry::EventClass aWeight,
              std::string_view aOutcome,
              int aStatus,
              std::string_view aReason,
              base::TimePoint aNow);
  HeaderLines answerHeaders(const AnswerHead& aHead) const;

  Core& mCore;
  CallerSession& mSession;
  CallerRequest mRequest;
  RequestFacts mFacts;
  std::shared_ptr<const serving::Deployment> mDeployment; ///< In force when the request arrived.
  RoutedRequest mRouted;
  uint64_t mFingerprint = 0;
  base::TimePoint mDeadline = mRequest.received; ///< When the request is given up.
  bool mIsLimitedByStop = false; ///< The end of the process precedes the end of the caller's time.
  bool mDone = false;
  bool mHasReadSinceTick = false; ///< A part of the answer was read since the latest tick.
  std::optional<base::TimePoint> mOverdueSince; ///< When a tick first found the deadline passed.

  serving::AnswerSources mSources;
  Send mSend; ///< The current one, or the last one that was.
  std::vector<std::shared_ptr<StandbySend>> mStandbys; ///< Sends beside the current one.
  std::shared_ptr<StandbySend> mAdopted; ///< Receives the progress of mSend, if it was a standby.
  std::string_view mStandbyObstacle;     ///< Why no standby was sent, as last logged.
  std::optional<asio::steady_timer> mHedgeTimer;
  std::vector<std::string> mTriedEndpoints;
  base::TimePoint mProgressAt; ///< Time of the last send or event.
  int mGivenUp = 0; ///< Sends that the relay ended although their endpoint might have gone on.

  bool mIsPrioritized = false; ///< The request is subject to admission by priority.
  serving::AdmissionDecision mAdmission;
  base::Duration mUnavailableFor{ 0 }; ///< Placement::unavailableFor of the last choice.
  int mCandidates = 0;                 ///< Placement::candidates of the last choice.
  double mPredictedMs = 0;             ///< Placement::predictedMs of the last choice.

  std::optional<AnswerHead> mHead; ///< Head of the answer to the last send.
  std::string mBody;
  bool mIsStream = false;
  /** Server error that an endpoint answered; passed on if no later send succeeds. */
  std::optional<std::pair<AnswerHead, std::string>> mAnsweredError;

  serving::MemoryCharge mCharge{ mCore.memory }; ///< Of the bytes of the answer.
  serving::EventSplitter mSplitter;
  std::string mEarlyComments;         ///< Comments that precede the first event of the stream.
  bool mStreamBegan = false;          ///< The head of a stream was sent to the caller.
  std::optional<uint64_t> mLastEvent; ///< Id of the last event that the caller was sent.
  uint64_t mEventCount = 0;
  std::optional<base::TimePoint> mFirstEventAt;
  base::Duration mLongestGap{ 0 };
  bool mSendHadEvent = false;             ///< The last send brought a new event.
  int mSendEvents = 0;                    ///< Events of the last send, including skipped ones.
  base::TimePoint mSendBegunAt;           ///< First event of the last send; valid if there was one.
  std::optional<uint64_t> mSendLastEvent; ///< Id of its last event, including skipped events.
};

} // namespace boragepitch::relay
