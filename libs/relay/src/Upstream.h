#pragma once

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
#include "relay/Dialect.h"

namespace boragepitch::relay {

/** A connection to an endpoint that carries one request at a time. */
struct Connection
{
  explicit Connection(asio::io_context& aIo)
    : socket(aIo)
  {
  }
  Tcp::socket socket;
  beast::flat_buffer buffer;
  base::TimePoint usableUntil; ///< While idle: the endpoint may close it later.
  base::TimePoint idleSince;
};

/** Idle connections by endpoint. Not thread-safe. */
class ConnectionPool
{
public:
  /** An idle connection on which nothing has arrived; null when there is none.
   * @param aMaxIdle connections that were idle for longer are not used. */
  std::unique_ptr<Connection> take(const std::string& aEndpoint,
                                   base::Duration aMaxIdle,
                                   base::TimePoint aNow);
  void put(const std::string& aEndpoint,
           std::unique_ptr<Connection> aConnection,
           std::optional<base::Milliseconds> aKeepAlive,
           base::TimePoint aNow);
  void dropEndpoint(const std::string& aEndpoint) { mIdle.erase(aEndpoint); }
  void prune(base::TimePoint aNow);
  size_t size() const;

private:
  std::map<std::string, std::vector<std::unique_ptr<Connection>>> mIdle;
};

/** Status line and headers of an endpoint's answer. */
struct AnswerHead
{
  int status = 0;
  HeaderLines headers;
  AnswerFacts facts;
  bool hasLength = false; ///< Its end can be told from a broken connection.
};

/** Body of an answer for the parser. Takes memory for bytes that have arrived only, while Beast's
 * own string body reserves it for the length that the head names. */
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

enum class ExchangeEnd
{
  Complete,
  ConnectFailed, ///< Nothing was sent.
  CutShort,      ///< The connection ended before the answer did.
  NotAnAnswer,   ///< Bytes that are no HTTP answer, or an answer to another request.
};

std::string_view toString(ExchangeEnd aEnd);

/** Receives the progress of an exchange. Nothing is called after onEnd() or abort(). */
class ExchangeHandler
{
public:
  virtual ~ExchangeHandler() = default;
  virtual void onSent() = 0;
  virtual void onHead(const AnswerHead& aHead) = 0;
  /** Head of a late answer to an earlier request; its body is skipped. */
  virtual void onLateHead(const AnswerHead& aHead) = 0;
  virtual void onBody(std::string_view aBytes) = 0;
  virtual void onEnd(ExchangeEnd aEnd) = 0;
};

struct ExchangeRequest
{
  std::string endpoint; ///< Id under which the connection is kept.
  net::Address address;
  std::string attemptId;
  bool isHead = false;             ///< The answer has no body.
  base::Milliseconds maxIdle{ 0 }; ///< Kept connections that were idle longer are not used.
};

/**
 * One request on one connection to an endpoint. Skips a late answer to an earlier request, which
 * its id tells. Used by one thread.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(asio::io_context& aIo,
           ConnectionPool& aPool,
           const Dialect& aDialect,
           ExchangeRequest aRequest,
           std::weak_ptr<ExchangeHandler> aHandler);

  /** @param aMessage head and body as they are sent. */
  void start(std::string aMessage, base::TimePoint aNow);
  /** Closes the connection; the endpoint stops working on the request. */
  void abort();
  /** While paused nothing more is read, so that a slow caller slows the endpoint. */
  void setPaused(bool aPaused);
  bool isConnecting() const { return mState == State::Connecting; }
  bool isNewConnection() const { return mIsNew; }

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
  /** Handles what is in the buffer. False when the exchange has ended. */
  bool parse();
  bool takeHead();
  void startParser();
  void finish(ExchangeEnd aEnd);
  void release();

  asio::io_context& mIo;
  ConnectionPool& mPool;
  const Dialect& mDialect;
  const ExchangeRequest mRequest;
  const std::weak_ptr<ExchangeHandler> mHandler;
  std::unique_ptr<Connection> mConnection;
  std::string mMessage;
  std::optional<Parser> mParser;
  State mState = State::Idle;
  bool mIsNew = false;
  bool mSent = false;
  bool mHeadSeen = false;
  bool mSkipping = false;  ///< Reads past an answer to another request.
  uint64_t mBodyBytes = 0; ///< Of the present answer.
  int mSkippedAnswers = 0;
  bool mPaused = false;
  bool mReading = false;
  bool mKeepOpen = false;
  std::optional<base::Milliseconds> mKeepAlive;
};

} // namespace boragepitch::relay
