#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "CallerSession.h"
#include "Core.h"
#include "Upstream.h"
#include "serving/EventSplitter.h"

namespace boragepitch::relay {

/** What became of a send to one endpoint. */
struct SendResult
{
  serving::Outcome outcome = serving::Outcome::Silent;
  bool mayHaveRun = true; ///< False only when the endpoint certainly did not run the request.
  std::string reason;
};

/**
 * One request of a caller, from route to answer: decides where it is sent, what is repeated and
 * what the caller is told. A status that promises "not run" is sent only when no endpoint may have
 * run the request.
 */
class Call
  : public ExchangeHandler
  , public std::enable_shared_from_this<Call>
{
public:
  Call(Core& aCore, CallerSession& aSession, CallerRequest aRequest);
  ~Call() override;

  void start(base::TimePoint aNow);
  void tick(base::TimePoint aNow);
  void onCallerLeft();
  /** The caller has taken what was written. */
  void onCallerDrained();

  void onSent() override;
  void onHead(const AnswerHead& aHead) override;
  void onLateHead(const AnswerHead& aHead) override;
  void onBody(std::string_view aBytes) override;
  void onEnd(ExchangeEnd aEnd) override;

private:
  bool admit(base::TimePoint aNow);
  bool checkKey();
  const serving::Service* pickService();
  serving::PlacementRequest placementRequest(base::TimePoint aNow) const;
  void send(base::TimePoint aNow);
  std::string forwardMessage(base::TimePoint aNow) const;
  void sendFailed(const SendResult& aResult, base::TimePoint aNow);
  /** Why the request is not sent again; empty, and a repeat is spent, when it may be. */
  std::string_view obstacleToRetry(const SendResult& aResult, base::TimePoint aNow);
  void endSend(serving::Outcome aOutcome, base::TimePoint aNow);
  void abortSend(const SendResult& aResult, base::TimePoint aNow);
  void takeEvent(const serving::StreamEvent& aEvent, base::TimePoint aNow);
  void completed(base::TimePoint aNow);
  void failureAnswered(base::TimePoint aNow);
  base::Duration patience() const;
  /** The final answer after sends that failed. */
  void giveUp(base::TimePoint aNow, std::string_view aReason);
  void reject(int aStatus, std::string_view aReason, base::TimePoint aNow);
  void refuse(std::string_view aReason, base::TimePoint aNow);
  void fail(int aStatus, std::string_view aReason, base::TimePoint aNow);
  /** What an answer's head says of its endpoint, whichever request it answers. */
  void noteEndpoint(const AnswerHead& aHead, base::TimePoint aNow);
  serving::Placement choose(base::TimePoint aNow);
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
  std::shared_ptr<const serving::Deployment> mDeployment; ///< In force when the request came.
  const serving::Route* mRoute = nullptr;
  const serving::Workspace* mWorkspace = nullptr;
  const serving::Service* mService = nullptr;
  uint64_t mFingerprint = 0;
  base::TimePoint mDeadline;
  bool mDone = false;

  std::shared_ptr<Exchange> mExchange;
  serving::EndpointPtr mEndpoint;
  std::vector<std::string> mTried;
  base::TimePoint mSentAt;
  base::TimePoint mProgressAt; ///< Last event or send.
  int mSends = 0;
  int mRuns = 0; ///< Sends that may have run.
  serving::Occupancy mOccupancy;
  base::TimePoint mFirstDue; ///< Until then a first event is in time.

  base::Duration mPausedFor{ 0 };  ///< At the last choice, see Placement.
  int mLoadAtSend = 0;             ///< Requests at the endpoint, as they were known at the send.
  int mCandidates = 0;             ///< Endpoints that were allowed when one was chosen.
  base::Duration mListAge{ -1 };   ///< At the last choice.
  base::Duration mWriteTime{ -1 }; ///< From the last choice to the last byte written.
  bool mWasLapsed = false;         ///< The endpoint was chosen as the last resort.
  double mBestMs = 0;              ///< Soonest first event that was predicted then.
  base::Duration mReportAge{ -1 };

  std::optional<AnswerHead> mHead; ///< Of the present send.
  std::string mBody;
  bool mIsStream = false;
  /** A failure that an endpoint answered, passed on when nothing better comes. */
  std::optional<std::pair<AnswerHead, std::string>> mFailure;

  serving::EventSplitter mSplitter;
  bool mBegan = false; ///< The head of the answer was sent to the caller.
  std::optional<uint64_t> mLastEvent;
  uint64_t mEvents = 0;
  std::optional<base::TimePoint> mFirstEventAt;
  base::Duration mLongestGap{ 0 };
  bool mSendHadEvent = false;
  std::optional<uint64_t> mSendLastEvent; ///< Of the present send, skipped events included.
};

} // namespace boragepitch::relay
