#include "Upstream.h"

#include <algorithm>
#include <limits>

namespace boragepitch::relay {

namespace {

using namespace std::chrono_literals;

constexpr size_t kReadBytes = 16384;
constexpr uint32_t kMaxAnswerHeaderBytes = 32768;
/** Maximum body size of an answer; guards against an endpoint that sends without end. An entry with
 * 240 MB of memory must be able to buffer several such answers at once. */
constexpr uint64_t kMaxAnswerBytes = 4 << 20;
/** Maximum chunks of an answer: small ones take more processor time to parse than their bytes. The
 * longest streams have a few thousand events, each in a chunk of its own. */
constexpr int kMaxAnswerChunks = 1 << 16;
/** Maximum answers skipped in one exchange: late answers to earlier requests and interim (1xx)
 * answers. Even short ones take processor time to parse. */
constexpr int kMaxSkippedAnswers = 16;
/** Range of the statuses that HTTP defines; the parser accepts any three digits. */
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
/** Idle time for which a connection is pooled when the endpoint names no keep-alive timeout. */
constexpr base::Milliseconds kDefaultKeepAlive = 3000ms;
/** Subtracted from the endpoint's keep-alive timeout, so that a request is not sent while the
 * endpoint closes the connection. */
constexpr base::Milliseconds kKeepAliveMargin = 1000ms;
constexpr size_t kMaxIdlePerEndpoint = 24;
/** Longest wait for the result of the write after the end of the input. An endpoint that has closed
 * the connection resets it when further bytes arrive, within a round trip. Not above kLastReadTime
 * of Call, so that an answer which ends before its deadline is delivered. */
constexpr base::Milliseconds kWriteResultTimeout = 200ms;

HeaderLines linesOf(const http::fields& aFields)
{
  HeaderLines lines;
  for (const auto& field : aFields) {
    lines.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  return lines;
}

/** True when the peer has closed the idle connection or sent unexpected bytes on it. */
bool isUnusable(Tcp::socket& aSocket)
{
  ErrorCode error;
  char byte = 0;
  aSocket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

/** Whether a line of an event stream is a comment or has one of the fields that an event may have.
 */
bool isEventLine(std::string_view aLine)
{
  std::string_view name = aLine.substr(0, aLine.find(':'));
  return name.empty() || name == "data" || name == "id" || name == "event" || name == "retry";
}

} // namespace

bool containsStatusLine(std::string_view aText)
{
  constexpr std::string_view kVersion = "HTTP/1.";
  for (size_t at = 0; (at = aText.find(kVersion, at)) != std::string_view::npos; ++at) {
    std::string_view rest = aText.substr(at + kVersion.size());
    auto isDigit = [&](size_t aIndex) { return rest[aIndex] >= '0' && rest[aIndex] <= '9'; };
    if (rest.size() >= 5 && isDigit(0) && rest[1] == ' ' && isDigit(2) && isDigit(3) &&
        isDigit(4)) {
      return true;
    }
  }
  return false;
}

bool containsHead(std::string_view aEvent)
{
  bool hasStatus = false;
  while (!aEvent.empty()) {
    std::string_view line = aEvent.substr(0, aEvent.find('\n'));
    aEvent.remove_prefix(std::min(line.size() + 1, aEvent.size()));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    bool isField = isEventLine(line);
    hasStatus = hasStatus || containsStatusLine(line);
    if (hasStatus && !isField) {
      return true;
    }
  }
  return false;
}

std::string_view toString(ExchangeEnd aEnd)
{
  switch (aEnd) {
    case ExchangeEnd::Complete:
      return "complete";
    case ExchangeEnd::ConnectFailed:
      return "connect_failed";
    case ExchangeEnd::CutShort:
      return "cut_short";
    case ExchangeEnd::NotAnAnswer:
      return "not_an_answer";
  }
  return "cut_short";
}

bool Connection::hasCarried(std::string_view aAttemptId) const
{
  return std::ranges::find(mCarriedIds, aAttemptId) != mCarriedIds.end();
}

void Connection::recordCarried(std::string aAttemptId)
{
  mCarriedIds[mCarriedCount++ % mCarriedIds.size()] = std::move(aAttemptId);
}

std::shared_ptr<Connection> ConnectionPool::take(const std::string& aEndpoint,
                                                 std::string_view aAttemptId,
                                                 base::Duration aMaxIdle,
                                                 base::TimePoint aNow)
{
  auto found = mIdle.find(aEndpoint);
  if (found == mIdle.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (aNow < connection->usableUntil && aNow - connection->idleSince <= aMaxIdle &&
        !connection->hasCarried(aAttemptId) && !isUnusable(connection->socket)) {
      return connection;
    }
  }
  return nullptr;
}

void ConnectionPool::put(const std::string& aEndpoint,
                         std::shared_ptr<Connection> aConnection,
                         std::optional<base::Milliseconds> aKeepAlive,
                         base::TimePoint aNow)
{
  base::Milliseconds idleLimit = kDefaultKeepAlive;
  if (aKeepAlive) {
    idleLimit = std::max(*aKeepAlive / 2, *aKeepAlive - kKeepAliveMargin);
  }
  auto& idle = mIdle[aEndpoint];
  if (idle.size() >= kMaxIdlePerEndpoint) {
    return;
  }
  aConnection->idleSince = aNow;
  aConnection->usableUntil = aNow + base::Duration(idleLimit);
  idle.push_back(std::move(aConnection));
}

void ConnectionPool::prune(base::TimePoint aNow)
{
  for (auto entry = mIdle.begin(); entry != mIdle.end();) {
    std::erase_if(entry->second,
                  [&](const auto& aConnection) { return aNow >= aConnection->usableUntil; });
    entry = entry->second.empty() ? mIdle.erase(entry) : std::next(entry);
  }
}

size_t ConnectionPool::size() const
{
  size_t count = 0;
  for (const auto& [endpoint, idle] : mIdle) {
    count += idle.size();
  }
  return count;
}

Exchange::Exchange(asio::io_context& aIo,
                   ConnectionPool& aPool,
                   const HeaderCodec& aHeaderCodec,
                   ExchangeRequest aRequest,
                   std::weak_ptr<ExchangeHandler> aHandler)
  : mIo(aIo)
  , mPool(aPool)
  , mHeaderCodec(aHeaderCodec)
  , mRequest(std::move(aRequest))
  , mHandler(std::move(aHandler))
{
}

void Exchange::start(std::string aHead,
                     std::shared_ptr<const std::string> aBody,
                     base::TimePoint aNow)
{
  mHead = std::move(aHead);
  mBody = std::move(aBody);
  // On a used connection only the id distinguishes the answer from one to an earlier request.
  if (!mRequest.attemptId.empty()) {
    mConnection = mPool.take(mRequest.endpoint, mRequest.attemptId, mRequest.maxIdle, aNow);
  }
  if (mConnection) {
    mMayBeLate = true;
    mState = State::Exchanging;
    send();
  } else {
    connect();
  }
}

void Exchange::connect()
{
  mState = State::Connecting;
  mIsNew = true;
  mConnection = std::make_shared<Connection>(mIo);
  ErrorCode error;
  auto host = asio::ip::make_address_v4(mRequest.address.host, error);
  if (error) {
    asio::post(mIo, [self = shared_from_this()] { self->finish(ExchangeEnd::ConnectFailed); });
    return;
  }
  Tcp::endpoint target(host, static_cast<uint16_t>(mRequest.address.port));
  mConnection->socket.async_connect(
    target, [self = shared_from_this(), connection = mConnection](ErrorCode aError) {
      if (self->mState != State::Connecting) {
        return;
      }
      if (aError) {
        self->finish(ExchangeEnd::ConnectFailed);
        return;
      }
      connection->openedAt = std::chrono::steady_clock::now();
      ErrorCode ignored; // Without these options small writes are only delayed.
      connection->socket.set_option(Tcp::no_delay(true), ignored);
      connection->socket.non_blocking(true, ignored);
      self->mState = State::Exchanging;
      self->send();
    });
}

void Exchange::send()
{
  startParser();
  asio::async_write(mConnection->socket,
                    std::array<asio::const_buffer, 2>{ asio::buffer(mHead), asio::buffer(*mBody) },
                    [self = shared_from_this(), connection = mConnection](
                      ErrorCode aError, size_t) { self->onWritten(aError); });
  read();
}

void Exchange::onWritten(ErrorCode aError)
{
  mBody.reset();
  if (mState != State::Exchanging) {
    return;
  }
  if (aError) {
    // An answer may have arrived before the write failed: the read determines the result.
    mHasWriteFailed = true;
  } else {
    mSent = true;
    if (auto handler = mHandler.lock()) {
      handler->onSent();
    }
  }
  if (mHasInputEnded) {
    finishAtInputEnd();
  }
}

void Exchange::startParser()
{
  mParser.emplace();
  mParser->header_limit(kMaxAnswerHeaderBytes);
  // With no limit set, Beast 1.74 rejects any body length if head and body arrive separately.
  // parse() limits the body instead.
  mParser->body_limit(std::numeric_limits<uint64_t>::max());
  mParser->skip(mRequest.isHead);
  mParser->on_chunk_header(mOnChunk);
  mHeadSeen = false;
  mSkipping = false;
  mBodyBytes = 0;
  mChunks = 0;
}

void Exchange::read()
{
  if (mReading || mPaused || mHasInputEnded || mState != State::Exchanging) {
    return;
  }
  mReading = true;
  mConnection->socket.async_read_some(
    mConnection->buffer.prepare(kReadBytes),
    [self = shared_from_this(), connection = mConnection](ErrorCode aError, size_t aBytes) {
      self->onRead(aError, aBytes);
    });
}

void Exchange::onRead(ErrorCode aError, size_t aBytes)
{
  mReading = false;
  if (mState != State::Exchanging) {
    return;
  }
  if (aError == asio::error::eof) {
    onInputEnd();
    return;
  }
  if (aError) {
    finish(ExchangeEnd::CutShort);
    return;
  }
  mConnection->buffer.commit(aBytes);
  if (parse()) {
    read();
  }
}

void Exchange::onInputEnd()
{
  // Only an answer without a length may end with the connection, and only by an orderly close.
  ErrorCode error;
  if (mHeadSeen) {
    mParser->put_eof(error);
  }
  if (!mHeadSeen || error || mSkipping || !mParser->is_done()) {
    finish(ExchangeEnd::CutShort);
    return;
  }
  mHasInputEnded = true;
  if (mSent || mHasWriteFailed) {
    finishAtInputEnd();
    return;
  }
  // After a reset a failed write takes the error of the socket, and the next read finds what looks
  // like an orderly end. The handler of that write may still be queued.
  mWriteResultTimer.emplace(mIo, kWriteResultTimeout);
  mWriteResultTimer->async_wait([self = shared_from_this()](ErrorCode aError) {
    if (!aError && self->mState == State::Exchanging) {
      self->finishAtInputEnd();
    }
  });
}

void Exchange::finishAtInputEnd()
{
  // Without a result the endpoint has closed its output only: it is there and does not read on.
  finish(mHasWriteFailed ? ExchangeEnd::CutShort : ExchangeEnd::Complete);
}

bool Exchange::parse()
{
  while (mConnection->buffer.size() > 0) {
    ErrorCode error;
    size_t used = mParser->put(mConnection->buffer.data(), error);
    mConnection->buffer.consume(used);
    if (error && error != http::error::need_more) {
      finish(ExchangeEnd::NotAnAnswer);
      return false;
    }
    if (!mHeadSeen && mParser->is_header_done()) {
      // An eager parser would add trailers of the same read to the headers before they are read.
      mParser->eager(true);
      if (!handleHead()) {
        return false;
      }
    }
    // The parser leaves unparsed bytes, such as an unterminated line, in the buffer.
    if (mConnection->buffer.size() > kMaxAnswerHeaderBytes) {
      finish(ExchangeEnd::NotAnAnswer);
      return false;
    }
    if (mHeadSeen) {
      std::string body;
      body.swap(mParser->get().body());
      mBodyBytes += body.size();
      if (mBodyBytes > kMaxAnswerBytes || mChunks > kMaxAnswerChunks) {
        finish(ExchangeEnd::NotAnAnswer);
        return false;
      }
      if (!body.empty() && !mSkipping) {
        if (auto handler = mHandler.lock()) {
          handler->onBody(body);
        }
        if (mState != State::Exchanging) {
          return false;
        }
      }
    }
    if (mParser->is_done()) {
      bool interim = mParser->get().result_int() / 100 == 1;
      if (mSkipping || interim) {
        if (++mSkippedAnswers > kMaxSkippedAnswers) {
          finish(ExchangeEnd::NotAnAnswer);
          return false;
        }
        startParser();
        continue;
      }
      mKeepOpen = mParser->keep_alive() && mSent && mConnection->buffer.size() == 0;
      finish(ExchangeEnd::Complete);
      return false;
    }
    if (error == http::error::need_more || used == 0) {
      break;
    }
  }
  return true;
}

bool Exchange::handleHead()
{
  mHeadSeen = true;
  AnswerHead head;
  head.status = static_cast<int>(mParser->get().result_int());
  if (head.status < kMinStatus || head.status > kMaxStatus) {
    finish(ExchangeEnd::NotAnAnswer);
    return false;
  }
  if (head.status / 100 == 1) {
    mHeadSeen = false;
    return true;
  }
  head.headers = linesOf(mParser->get());
  if (containsStatusLine(std::string(mParser->get().reason())) ||
      std::ranges::any_of(head.headers,
                          [](const auto& aLine) { return containsStatusLine(aLine.value); })) {
    // Its status and its headers may belong to different answers.
    finish(ExchangeEnd::NotAnAnswer);
    return false;
  }
  head.facts = mHeaderCodec.readAnswer(head.status, head.headers);
  head.hasLength = !mParser->need_eof();
  if (!head.facts.attemptId.empty() && head.facts.attemptId != mRequest.attemptId) {
    if (!head.hasLength) {
      finish(ExchangeEnd::NotAnAnswer);
      return false;
    }
    mSkipping = true;
    mMayBeLate = true;
    if (auto handler = mHandler.lock()) {
      handler->onLateHead(head);
    }
    return mState == State::Exchanging;
  }
  if (head.facts.attemptId.empty() && mMayBeLate) {
    // It may repeat an answer to an earlier request, so it does not tell whether this one ran.
    finish(ExchangeEnd::NotAnAnswer);
    return false;
  }
  mKeepAlive = head.facts.keepAlive;
  if (auto handler = mHandler.lock()) {
    handler->onHead(head);
  }
  return mState == State::Exchanging;
}

void Exchange::finish(ExchangeEnd aEnd)
{
  if (mState == State::Ended) {
    return;
  }
  mState = State::Ended;
  mWriteResultTimer.reset();
  releaseConnection(aEnd == ExchangeEnd::Complete && mKeepOpen);
  if (auto handler = mHandler.lock()) {
    handler->onEnd(aEnd);
  }
}

void Exchange::releaseConnection(bool aKeepOpen)
{
  auto connection = std::move(mConnection);
  if (!connection) {
    return;
  }
  if (aKeepOpen) {
    connection->recordCarried(mRequest.attemptId);
    mPool.put(
      mRequest.endpoint, std::move(connection), mKeepAlive, std::chrono::steady_clock::now());
    return;
  }
  ErrorCode ignored; // The connection is discarded in any case.
  connection->socket.close(ignored);
}

void Exchange::abort()
{
  if (mState == State::Ended) {
    return;
  }
  mState = State::Ended;
  mWriteResultTimer.reset();
  releaseConnection(false);
}

bool Exchange::isAnswerArriving() const
{
  ErrorCode ignored; // A broken connection has no bytes.
  return mState == State::Exchanging &&
         (mHasInputEnded || mConnection->socket.available(ignored) > 0);
}

void Exchange::setPaused(bool aPaused)
{
  mPaused = aPaused;
  if (!aPaused) {
    read();
  }
}

} // namespace boragepitch::relay
