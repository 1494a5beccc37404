#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Core.h"

namespace boragepitch::relay {

class Call;

/** A complete request of a caller. */
struct CallerRequest
{
  std::string method;
  std::string target; ///< Path and query as sent, not decoded.
  std::string host;
  HeaderLines headers;                     ///< End-to-end headers only.
  std::shared_ptr<const std::string> body; ///< Never null; shared with the exchange that sends it.
  base::TimePoint received;                ///< When the request was read completely.
};

/**
 * One connection of a caller. Reads requests one after another, passes each to a Call, writes the
 * answer, and tells the Call when the caller disconnects.
 */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
  CallerSession(Core& aCore, Tcp::socket aSocket);
  ~CallerSession();

  void start();
  /** Checks timeouts; called about 20 times a second. */
  void tick(base::TimePoint aNow);
  /** True while a request is read or answered. */
  bool isBusy() const { return mCall != nullptr || mPhase != Phase::Idle; }
  /** Closes the connection, whatever is in progress on it. */
  void close();
  /** Closes the connection if it is idle and the caller is not about to use it. */
  void closeIdle(base::TimePoint aNow);
  /** Closes a connection that holds no whole request, so that another caller can be served. Returns
   * false if there is one, or bytes of one have just arrived. */
  bool closeForOthers();
  /** Time since which the connection has held no whole request; empty while it holds one. */
  std::optional<base::TimePoint> withoutRequestSince() const;
  /** Bytes of an answer of which the caller has read nothing for a while. */
  size_t stalledBytes(base::TimePoint aNow);
  /** Closes a connection whose caller does not read its answer. */
  void closeUnread(base::TimePoint aNow);
  /** Bytes held of a request that is not complete and was not given up. */
  size_t unfinishedBytes() const;
  /** Bytes held of a request that was given up, until its read has ended. */
  size_t endingBytes() const;
  /** Bytes held of requests behind the one being answered. */
  size_t pipelinedBytes() const;
  /** Drops these requests: the connection is closed after the present answer, which is all that the
   * caller can be told of them. */
  void dropPipelined();
  /** Refuses the request being read in the next turn of the event loop. */
  void giveUpRequest();
  /** Refuses a request of which a part has not arrived yet. For the end of the process. */
  void refuseUnfinished();
  /** Whether a request that has arrived is not answered, or an answer not written. */
  bool owesAnswer() const;
  /** Logs the request or the answer that the end of the process breaks off or drops. */
  void logUnfinished(base::TimePoint aNow) const;
  /** The request being answered; may be null. */
  const std::shared_ptr<Call>& call() const { return mCall; }

  /** Sends a complete answer. */
  void respond(int aStatus, const HeaderLines& aHeaders, std::string_view aBody);
  /** Sends the head of an answer whose body follows by writeStream(). */
  void beginStream(int aStatus, const HeaderLines& aHeaders);
  void writeStream(std::string_view aBytes);
  /** Ends the body. If it is incomplete, closes the connection so that the caller notices. */
  void endStream(bool aComplete);
  /** Number of bytes not yet written to the connection. */
  size_t backlog() const { return mQueued.size() + mWriting.size() - mWrittenBytes; }

private:
  enum class Phase
  {
    Idle,    ///< Waits for the first byte of a request.
    Reading, ///< Reads a request.
    Serving, ///< A request is being answered.
    Closing, ///< Everything is written; discards input until the caller closes.
    Closed,
  };
  using Parser = http::request_parser<http::string_body>;

  void awaitRequest();
  void onReadable(ErrorCode aError);
  void readHead();
  void onHead(ErrorCode aError);
  void readBody();
  void onBodyBytes(ErrorCode aError, size_t aBytes);
  /** Whether what frames the payload takes more bytes than the limits allow. */
  bool isFramingExcessive() const;
  /** Refuses the request being read because the process holds too many bytes, and releases what
   * was read. No read may be outstanding. */
  void refuseForMemory();
  /** Releases what was read of a request that is not answered by a call. No read may be
   * outstanding. */
  void releaseRequest();
  /** Rejects the request being read and releases it. No read may be outstanding. */
  void rejectRead(int aStatus);
  void rejectFraming();
  std::string callerAddress() const;
  /** Refuses the request being read.
   * @param aReason for the log. */
  void refuseUnread(std::string_view aReason, base::Milliseconds aRetryAfter);
  void updateCharge();
  /** Notes when the caller has taken bytes, also if the system has accepted no more of them: it
   * buffers megabytes for a caller that reads slowly, and takes more only when a third is free. */
  void observeProgress(base::TimePoint aNow);
  /** Whether the caller has taken no byte of an outstanding write for this long. */
  bool hasStalled(base::Milliseconds aTime, base::TimePoint aNow);
  /** Bytes written that the caller's host has not acknowledged. */
  size_t unacknowledgedBytes() const;
  /** Number of bytes that the caller has sent and that were not read. */
  size_t unreadBytes() const;
  void onRequest(ErrorCode aError);
  /** Returns 0 when the request's head is well formed, else the status to answer. */
  int checkHead() const;
  void reject(int aStatus);
  void awaitReadable();
  /** Ends the call whose answer is complete or cut; keeps its id for the log. */
  void releaseCall();
  void finishAnswer();
  /** Whether the end of the connection, also by the end of the process, shall be a reset. Without
   * chunks an orderly close marks the end of the body. */
  void resetOnClose(bool aReset);
  void flush();
  void writeSome();
  void onWritten(ErrorCode aError);
  void callerLeft();
  /** Text of the answer's head; says whether the connection will be closed. */
  std::string headText(int aStatus, const HeaderLines& aHeaders);

  Core& mCore;
  Tcp::socket mSocket;
  beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::shared_ptr<Call> mCall;
  Phase mPhase = Phase::Idle;
  bool mIsAwaitingReadable = false; ///< A wait for readable bytes is outstanding.
  bool mKeepAlive = true;
  bool mIsStreaming = false;
  bool mIsChunked = false;        ///< The caller supports chunked answers (HTTP/1.1).
  bool mIsHead = false;           ///< The request's method is HEAD.
  bool mIsAnswerComplete = false; ///< The whole answer is in mQueued or mWriting, or was written.
  bool mIsCut = false;            ///< The answer is a stream that ends incomplete.
  bool mIsGivenUp = false;        ///< The request being read is refused when its read has ended.
  std::string mAnsweredId;        ///< Attempt id of the request whose answer is complete or cut.
  size_t mBodyBytes = 0;          ///< Body of the request that is read or answered.
  size_t mPayloadBytes = 0;       ///< Bytes of that body that were read.
  size_t mFramingBytes = 0;       ///< Bytes read of that request beside its head and its body.
  serving::MemoryCharge mCharge{ mCore.memory };
  std::string mQueued;      ///< Bytes to write after mWriting.
  std::string mWriting;     ///< Bytes of the outstanding write.
  size_t mWrittenBytes = 0; ///< Of mWriting.
  /** When the outstanding write began or last had progress, as the caller's host tells. */
  base::TimePoint mWrittenAt;
  size_t mUnacknowledged = 0;  ///< As last seen.
  base::TimePoint mPhaseStart; ///< Start of the phase.
};

} // namespace boragepitch::relay
