#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Asio.h"
#include "base/Time.h"
#include "net/Address.h"
#include "relay/HeaderCodec.h"

namespace boragepitch::relay {

/** A connection to an endpoint that carries one request at a time. The handler of each operation on
 * it shares its ownership: closing the socket does not cancel an operation whose completion is
 * queued already, and one that consists of several steps goes on with the socket and the buffer. */
struct Connection
{
  explicit Connection(asio::io_context& aIo)
    : socket(aIo)
  {
  }
  Tcp::socket socket;
  beast::flat_buffer buffer;
  base::TimePoint openedAt;
  base::TimePoint usableUntil; ///< While idle: the endpoint may close the connection after this.
  base::TimePoint idleSince;

  /** True when a recent request on this connection had this attempt id. A repeated answer to it
   * would be taken for the answer to a new request with the same id. */
  bool hasCarried(std::string_view aAttemptId) const;
  void recordCarried(std::string aAttemptId);

private:
  std::array<std::string, 8> mCarriedIds; ///< Ring of the attempt ids of the latest requests.
  size_t mCarriedCount = 0;
};

/** Idle connections by endpoint. Not thread-safe. */
class ConnectionPool
{
public:
  /** Takes an idle connection that is still open; null when there is none.
   * @param aAttemptId connections that recently carried this attempt id are not used.
   * @param aMaxIdle connections that were idle for longer are not used. */
  std::shared_ptr<Connection> take(const std::string& aEndpoint,
                                   std::string_view aAttemptId,
                                   base::Duration aMaxIdle,
                                   base::TimePoint aNow);
  /** Returns a connection without operations in progress to the pool.
   * @param aKeepAlive the endpoint's idle timeout, if it named one. */
  void put(const std::string& aEndpoint,
           std::shared_ptr<Connection> aConnection,
           std::optional<base::Milliseconds> aKeepAlive,
           base::TimePoint aNow);
  void dropEndpoint(const std::string& aEndpoint) { mIdle.erase(aEndpoint); }
  /** Closes idle connections that are no longer usable. */
  void prune(base::TimePoint aNow);
  size_t size() const;

private:
  std::map<std::string, std::vector<std::shared_ptr<Connection>>> mIdle;
};

/** Status line and headers of an endpoint's answer. */
struct AnswerHead
{
  int status = 0;
  HeaderLines headers;
  AnswerFacts facts;
  bool hasLength = false; ///< The end of the body is marked, not given by the connection's end.
};

/** Body type for the parser. It allocates memory only for bytes that have arrived; Beast's
 * string_body reserves memory for the length that the head declares. */
struct AnswerBody
{
  using value_type = std::string;

  class reader
  {
  public:
    template<bool isRequest, class Fields>
    reader(http::header<isRequest, Fields>& /*aHead*/, value_type& aBody)
      : mBody(aBody)
    {
    }
    void init(const boost::optional<uint64_t>& /*aLength*/, ErrorCode& aError) { aError = {}; }
    template<class Buffers>
    size_t put(const Buffers& aBuffers, ErrorCode& aError)
    {
      aError = {};
      for (auto buffer : beast::buffers_range_ref(aBuffers)) {
        mBody.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return beast::buffer_bytes(aBuffers);
    }
    void finish(ErrorCode& aError) { aError = {}; }

  private:
    value_type& mBody;
  };
};

/** True if the text holds a status line, as where an answer that was cut is followed by the next
 * one. */
bool containsStatusLine(std::string_view aText);
/** True if an event holds the head of an answer. An event may quote one in its fields. */
bool containsHead(std::string_view aEvent);

enum class ExchangeEnd
{
  Complete,
  ConnectFailed, ///< No connection was made, so nothing was sent.
  CutShort,      ///< The connection ended before the answer was complete.
  NotAnAnswer,   ///< The answer was not valid HTTP, too large, or to another request.
};

std::string_view toString(ExchangeEnd aEnd);

/** Receives the progress of an exchange. Nothing is called after onEnd() or abort(). */
class ExchangeHandler
{
public:
  virtual ~ExchangeHandler() = default;
  virtual void onSent() = 0;
  virtual void onHead(const AnswerHead& aHead) = 0;
  /** Called with the head of a late answer to an earlier request; the answer's body is skipped. */
  virtual void onLateHead(const AnswerHead& aHead) = 0;
  virtual void onBody(std::string_view aBytes) = 0;
  virtual void onEnd(ExchangeEnd aEnd) = 0;
};

struct ExchangeRequest
{
  std::string endpoint; ///< Id under which the connection is pooled.
  net::Address address;
  std::string attemptId;
  bool isHead = false;             ///< The answer has no body.
  base::Milliseconds maxIdle{ 0 }; ///< Pooled connections that were idle longer are not used.
};

/**
 * One request on one connection to an endpoint. Skips late answers to earlier requests, which it
 * recognizes by their attempt id. An answer without an id is accepted only on a connection that no
 * other request has used. Used by one thread.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(asio::io_context& aIo,
           ConnectionPool& aPool,
           const HeaderCodec& aHeaderCodec,
           ExchangeRequest aRequest,
           std::weak_ptr<ExchangeHandler> aHandler);

  /** @param aHead head of the request as sent.
   * @param aBody its body; not null, and shared with the request, which may be sent again. */
  void start(std::string aHead, std::shared_ptr<const std::string> aBody, base::TimePoint aNow);
  /** Closes the connection; the endpoint stops working on the request. */
  void abort();
  /** Stops reading while paused: backpressure from a slow caller to the endpoint. */
  void setPaused(bool aPaused);
  /** Whether bytes of the answer have arrived that were not read yet, or its end has and is being
   * confirmed. */
  bool isAnswerArriving() const;
  bool isPaused() const { return mPaused; }
  bool isConnecting() const { return mState == State::Connecting; }
  bool isNewConnection() const { return mIsNew; }
  /** When the connection of the exchange was opened; call it before the end only. */
  base::TimePoint connectionOpenedAt() const { return mConnection->openedAt; }

private:
  enum class State
  {
    Idle,
    Connecting,
    Exchanging,
    Ended,
  };
  using Parser = http::response_parser<AnswerBody>;

  void connect();
  void send();
  void read();
  void onRead(ErrorCode aError, size_t aBytes);
  void onWritten(ErrorCode aError);
  /** The endpoint has closed its output, or a reset looks like it. */
  void onInputEnd();
  /** Ends an exchange whose input has ended, by what is known of its write. */
  void finishAtInputEnd();
  /** Parses the buffered bytes. Returns false when the exchange has ended. */
  bool parse();
  bool handleHead();
  void startParser();
  void finish(ExchangeEnd aEnd);
  /** Ends the use of the connection. */
  void releaseConnection(bool aKeepOpen);

  asio::io_context& mIo;
  ConnectionPool& mPool;
  const HeaderCodec& mHeaderCodec;
  const ExchangeRequest mRequest;
  const std::weak_ptr<ExchangeHandler> mHandler;
  std::shared_ptr<Connection> mConnection; ///< Null before the start and after the end.
  std::string mHead;
  std::shared_ptr<const std::string> mBody; ///< Until it has been written.
  std::optional<Parser> mParser;
  State mState = State::Idle;
  bool mIsNew = false;
  bool mSent = false;
  bool mHasWriteFailed = false;
  bool mHasInputEnded = false; ///< An answer without a length has ended with the connection.
  /** Limits the wait for the result of the write after the end of the input. */
  std::optional<asio::steady_timer> mWriteResultTimer;
  bool mHeadSeen = false;
  bool mSkipping = false;  ///< The answer being read is to another request and is discarded.
  uint64_t mBodyBytes = 0; ///< Body bytes received of the answer being read.
  int mChunks = 0;         ///< Chunks received of that answer.
  /** Counts chunks; a member because the parser keeps a reference to it. */
  std::function<void(uint64_t, beast::string_view, ErrorCode&)> mOnChunk =
    [this](uint64_t, beast::string_view, ErrorCode&) { ++mChunks; };
  int mSkippedAnswers = 0;
  bool mMayBeLate = false; ///< Answers to other requests may arrive on the connection.
  bool mPaused = false;
  bool mReading = false;
  bool mKeepOpen = false;
  std::optional<base::Milliseconds> mKeepAlive;
};

} // namespace boragepitch::relay
