#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "CallerSession.h"
#include "Core.h"
#include "Routing.h"
#include "Upstream.h"
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
  std::shared_ptr<Exchange> exchange; ///< Null before the send and after its end.
  serving::EndpointPtr endpoint;
  serving::Occupancy occupancy;
  base::TimePoint sentAt;
  int load = 0;                   ///< Known requests at the endpoint at the send.
  base::Duration listAge{ -1 };   ///< Age of the endpoint list at the send; -1 if unknown.
  base::Duration writeTime{ -1 }; ///< From the send until all its bytes were written.
  bool wasLapsed = false;         ///< The endpoint was lapsed at the send.
  uint64_t believedVersion = 0;   ///< Weights that the endpoint was believed to hold at the send.
  base::Duration reportAge{ -1 }; ///< Age of the endpoint's load report; -1 without a report.
};

class HedgedSend;

/**
 * One request of a caller, from its route to its answer: decides where it is sent, whether it is
 * sent again or to a second endpoint at the same time, and what the caller is answered. A status
 * which promises that the request did not run is sent only when no endpoint may have run it.
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

  // Progress of the second copy, until it is adopted; see HedgedSend.
  void onHedgeSent();
  void onHedgeHead(const AnswerHead& aHead);
  void onHedgeLateHead(const AnswerHead& aHead);
  void onHedgeBody(std::string_view aBytes);
  void onHedgeEnd(ExchangeEnd aEnd);

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
  /** Sends a second copy unless there is a reason not to; returns whether it was sent.
   * @param aIsRetryDue the first copy has been silent for so long that it would be given up. */
  bool tryHedge(bool aIsRetryDue, base::TimePoint aNow);
  serving::HedgeTarget hedgeTarget(const serving::Placement& aPlacement,
                                   base::TimePoint aNow) const;
  /** Takes the second copy as the only one. Its answer so far is used, and nothing of the first
   * one's. */
  void adoptHedge(base::TimePoint aNow);
  /** Gives the first copy up for the second one, which was faster. */
  void hedgeWon(base::TimePoint aNow);
  /** Ends the second copy, if there is one, because it is no longer needed. */
  void cancelHedge(base::TimePoint aNow);
  /** Ends the second copy and counts it as lost. The first one goes on. */
  void hedgeFailed(const SendResult& aResult, base::TimePoint aNow);
  /** Records how long the last send has taken so far. */
  void recordSendTime(base::TimePoint aNow);
  void takeHead(const AnswerHead& aHead);
  void takeBody(std::string_view aBytes, base::TimePoint aNow);
  void sendFailed(const SendResult& aResult, base::TimePoint aNow);
  /** Reason why the request itself may not be sent again, whatever endpoints there are. Empty when
   * it may be.
   * @param aPossibleRuns sends whose endpoint may have run the request. */
  std::string_view obstacleToRepeat(int aPossibleRuns, base::TimePoint aNow) const;
  /** Reason why the request may not be sent again. Empty when it may be; this spends a retry of the
   * budget. */
  std::string_view obstacleToRetry(base::TimePoint aNow);
  void endSend(serving::Outcome aOutcome, base::TimePoint aNow);
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
  /** Whether the request waits at an engine whose weights it may no longer begin on. */
  bool isStartOverdue(const serving::Endpoint& aEndpoint, base::TimePoint aNow) const;
  /** After the deadline: whether a part of the answer has arrived that is still to be read.
   * @param aHasRead a part of it was read since the previous tick. */
  bool isReadingLast(bool aHasRead, base::TimePoint aNow);
  /** Logs a request that begins on weights whose replacement is enforced already. */
  void checkStartVersion(base::TimePoint aNow);
  base::Duration progressTimeout() const;
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

  Send mSend;                           ///< The last send.
  std::shared_ptr<HedgedSend> mHedge;   ///< The second copy; null unless both run.
  std::shared_ptr<HedgedSend> mAdopted; ///< Receives the progress of the last send, if it was one.
  std::optional<asio::steady_timer> mHedgeTimer;
  std::vector<std::string> mTriedEndpoints;
  base::TimePoint mProgressAt; ///< Time of the last send or event.
  int mSendCount = 0;
  int mPossibleRuns = 0; ///< Failed sends whose endpoint may have run the request.
  int mGivenUp = 0;      ///< Sends that the relay ended although their endpoint might have gone on.

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
