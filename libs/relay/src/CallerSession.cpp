#include "CallerSession.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/algorithm/string/predicate.hpp>

#include "Call.h"
#include "serving/RetryAdvice.h"

namespace boragepitch::relay {

namespace {

using namespace std::chrono_literals;

/** Time for a caller to read the last answer and close, before the relay closes the connection. */
constexpr base::Milliseconds kLingerTimeout = 1000ms;
/** Timeout for reading a request with a body. */
constexpr base::Milliseconds kBodyTimeout = 15000ms;
constexpr size_t kDiscardBytes = 4096;
/** Memory of a connection beside what it has read and what it is to write. */
constexpr size_t kSessionBytes = 4096;
/** Bytes that one read may add to an unfinished line. */
constexpr size_t kReadAheadBytes = 16384;
/** Memory of buffers that is kept for the next request or answer. */
constexpr size_t kKeptBytes = 16384;
/** A caller that has taken no byte for this long is not reading: within a deployment the window of
 * a connection opens again within milliseconds. */
constexpr base::Milliseconds kStalledTime = 1000ms;
/** Time after an answer in which a stopping process still takes the caller's next request. Callers
 * that have more to ask do so at once. */
constexpr base::Milliseconds kNextRequestTime = 200ms;
/** Reason of what is broken off, in log lines. */
constexpr const char* kEndOfProcess = "end_of_process";

std::string_view view(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

bool concernsConnectionOnly(http::field aField)
{
  switch (aField) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

/** Headers without the hop-by-hop ones and those that the Connection header names. */
HeaderLines endToEndHeaders(const http::fields& aFields)
{
  HeaderLines lines;
  http::token_list named{ aFields[http::field::connection] };
  for (const auto& field : aFields) {
    bool dropped = concernsConnectionOnly(field.name()) || named.exists(field.name_string());
    if (!dropped) {
      lines.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
  }
  return lines;
}

} // namespace

CallerSession::CallerSession(Core& aCore, Tcp::socket aSocket)
  : mCore(aCore)
  , mSocket(std::move(aSocket))
{
}

CallerSession::~CallerSession() = default;

void CallerSession::start()
{
  mCore.sessions.insert(shared_from_this());
  mCore.metrics.callers.add(1);
  ErrorCode ignored; // Without these options small writes are only delayed.
  mSocket.set_option(Tcp::no_delay(true), ignored);
  mSocket.non_blocking(true, ignored);
  awaitRequest();
}

void CallerSession::awaitRequest()
{
  mPhase = Phase::Idle;
  mPhaseStart = std::chrono::steady_clock::now();
  mBodyBytes = 0;
  mPayloadBytes = 0;
  mFramingBytes = 0;
  mIsGivenUp = false;
  mAnsweredId.clear();
  if (mBuffer.size() == 0 && mBuffer.capacity() > kKeptBytes) {
    mBuffer.shrink_to_fit();
  }
  updateCharge();
  if (mBuffer.size() > 0) {
    readHead();
  } else {
    awaitReadable();
  }
}

void CallerSession::awaitReadable()
{
  if (mIsAwaitingReadable) {
    return;
  }
  mIsAwaitingReadable = true;
  mSocket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode aError) {
    self->mIsAwaitingReadable = false;
    self->onReadable(aError);
  });
}

void CallerSession::onReadable(ErrorCode aError)
{
  if (mPhase == Phase::Closed || mPhase == Phase::Closing ||
      aError == asio::error::operation_aborted) {
    return;
  }
  if (aError) {
    callerLeft();
    return;
  }
  if (mPhase == Phase::Idle) {
    readHead();
    return;
  }
  if (mPhase != Phase::Serving) {
    return;
  }
  // Readable bytes belong to the next request and stay unread; end of file means that the caller
  // left.
  ErrorCode error;
  char byte = 0;
  size_t count = mSocket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  if (count == 0 && error != asio::error::would_block) {
    callerLeft();
  } else if (error == asio::error::would_block) {
    awaitReadable();
  }
}

void CallerSession::readHead()
{
  mPhase = Phase::Reading;
  mPhaseStart = std::chrono::steady_clock::now();
  serving::CallerLimits limits;
  if (mCore.deployment) {
    limits = mCore.deployment->limits();
  }
  mParser.emplace();
  mParser->header_limit(static_cast<uint32_t>(limits.headerBytes));
  mParser->body_limit(limits.bodyBytes);
  // Beast buffers an unfinished line or trailer section as a whole.
  mBuffer.max_size(std::max(limits.headerBytes, mCore.options.maxFramingBytes) + kReadAheadBytes);
  http::async_read_header(
    mSocket, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aError, size_t) {
      self->onHead(aError);
    });
}

void CallerSession::onHead(ErrorCode aError)
{
  if (mPhase != Phase::Reading) {
    releaseRequest(); // It was refused, or the connection closed, while the read was outstanding.
    return;
  }
  if (mIsGivenUp) {
    refuseForMemory();
    return;
  }
  if (aError == http::error::end_of_stream || aError == asio::error::eof) {
    close();
    return;
  }
  if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    rejectRead(431);
    return;
  }
  if (aError == http::error::body_limit) {
    rejectRead(413);
    return;
  }
  if (aError) {
    if (aError.category() == asio::error::get_system_category()) {
      close();
    } else {
      rejectRead(400);
    }
    return;
  }
  if (int status = checkHead(); status != 0) {
    rejectRead(status);
    return;
  }
  if (mParser->is_done()) {
    onRequest({});
    return;
  }
  auto length = mParser->content_length();
  if (!mCore.makeRoom(length ? static_cast<size_t>(*length) : 0)) {
    refuseForMemory();
    return;
  }
  if (boost::algorithm::iequals(view(mParser->get()[http::field::expect]), "100-continue")) {
    mQueued += "HTTP/1.1 100 Continue\r\n\r\n";
    flush();
  }
  readBody();
}

int CallerSession::checkHead() const
{
  const auto& head = mParser->get();
  if (head.version() != 11 && head.version() != 10) {
    return 400;
  }
  if (head.count(http::field::host) != 1 || head.target().empty() || head.target()[0] != '/') {
    return 400;
  }
  // Ambiguous framing of a body permits request smuggling.
  size_t encodings = head.count(http::field::transfer_encoding);
  size_t lengths = head.count(http::field::content_length);
  if (encodings > 1 || lengths > 1 || (encodings > 0 && lengths > 0)) {
    return 400;
  }
  if (encodings == 1 &&
      (head.version() == 10 ||
       !boost::algorithm::iequals(view(head[http::field::transfer_encoding]), "chunked"))) {
    return 400;
  }
  return 0;
}

void CallerSession::readBody()
{
  http::async_read_some(
    mSocket, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aError, size_t aBytes) {
      self->onBodyBytes(aError, aBytes);
    });
}

void CallerSession::onBodyBytes(ErrorCode aError, size_t aBytes)
{
  if (mPhase != Phase::Reading) {
    releaseRequest(); // It was refused, or the connection closed, while the read was outstanding.
    return;
  }
  // A length that the head names is reserved, and takes memory as the bytes arrive.
  const std::string& body = mParser->get().body();
  mBodyBytes = mParser->content_length() ? body.size() : body.capacity();
  mFramingBytes += aBytes - std::min(aBytes, body.size() - mPayloadBytes);
  mPayloadBytes = body.size();
  updateCharge();
  if (mCore.memory.isExceeded()) {
    mCore.relieveMemory(std::chrono::steady_clock::now());
  }
  if (mPhase != Phase::Reading) {
    return; // Closed, as its caller does not read either.
  }
  if (mIsGivenUp) {
    refuseForMemory();
  } else if (aError == http::error::buffer_overflow || isFramingExcessive()) {
    rejectFraming();
  } else if (aError || mParser->is_done()) {
    onRequest(aError);
  } else {
    readBody();
  }
}

bool CallerSession::isFramingExcessive() const
{
  const RelayOptions& options = mCore.options;
  return mFramingBytes > options.maxFramingBytes + options.framingBytesPerByte * mPayloadBytes;
}

void CallerSession::rejectFraming()
{
  mCore.metrics.framingRejected.add();
  rejectRead(400);
}

void CallerSession::rejectRead(int aStatus)
{
  reject(aStatus);
  releaseRequest();
}

void CallerSession::refuseForMemory()
{
  mCore.metrics.refusedForMemory.add();
  refuseUnread("memory", serving::retryAfterFull(mCore.rng));
  releaseRequest();
}

void CallerSession::releaseRequest()
{
  mParser.reset();
  mBuffer.clear();
  mBuffer.shrink_to_fit();
  mBodyBytes = 0;
  updateCharge();
}

size_t CallerSession::unfinishedBytes() const
{
  return mPhase == Phase::Reading && !mIsGivenUp ? mBodyBytes + mBuffer.capacity() : 0;
}

size_t CallerSession::pipelinedBytes() const
{
  return mPhase == Phase::Serving && mBuffer.size() > 0 ? mBuffer.capacity() : 0;
}

void CallerSession::dropPipelined()
{
  mCore.metrics.refusedForMemory.add();
  mKeepAlive = false;
  mBuffer.clear();
  mBuffer.shrink_to_fit();
  updateCharge();
}

size_t CallerSession::endingBytes() const
{
  return mPhase == Phase::Reading && mIsGivenUp ? mBodyBytes + mBuffer.capacity() : 0;
}

void CallerSession::giveUpRequest()
{
  mIsGivenUp = true;
  ErrorCode ignored; // A broken connection has no read to cancel; its end is reported.
  mSocket.cancel(ignored);
}

void CallerSession::observeProgress(base::TimePoint aNow)
{
  size_t unacknowledged = mWriting.empty() ? 0 : unacknowledgedBytes();
  if (unacknowledged != mUnacknowledged) {
    mUnacknowledged = unacknowledged;
    mWrittenAt = aNow;
  }
}

size_t CallerSession::unacknowledgedBytes() const
{
  int count = 0;
  // Fails only on a broken connection, whose write reports it.
  bool isKnown = ::ioctl(const_cast<Tcp::socket&>(mSocket).native_handle(), SIOCOUTQ, &count) == 0;
  return isKnown && count > 0 ? static_cast<size_t>(count) : 0;
}

bool CallerSession::hasStalled(base::Milliseconds aTime, base::TimePoint aNow)
{
  auto isOver = [&] { return aNow - mWrittenAt > base::Duration(aTime); };
  if (mPhase == Phase::Closed || mWriting.empty() || !isOver()) {
    return false;
  }
  observeProgress(aNow); // The event loop may have been stalled, not the caller.
  return isOver();
}

size_t CallerSession::stalledBytes(base::TimePoint aNow)
{
  return hasStalled(kStalledTime, aNow) ? backlog() : 0;
}

void CallerSession::closeUnread(base::TimePoint aNow)
{
  mCore.metrics.closedUnread.add();
  mCore.log.write(telemetry::EventClass::Refused,
                  "caller_not_reading",
                  { { "caller", callerAddress() },
                    { "unwritten_bytes", std::to_string(backlog()) },
                    { "stalled_ms", milliseconds(aNow - mWrittenAt) },
                    { "held_bytes", std::to_string(mCore.memory.held()) } },
                  aNow);
  callerLeft();
  // The write that was broken off refers to mWriting until the next turn of the event loop. It is
  // not counted until then, so that nothing else is given up for it.
  mQueued = {};
  mCharge.set(kSessionBytes);
}

std::optional<base::TimePoint> CallerSession::withoutRequestSince() const
{
  bool isWithout =
    mPhase == Phase::Idle || (mPhase == Phase::Reading && mParser && !mParser->is_header_done());
  return isWithout ? std::optional(mPhaseStart) : std::nullopt;
}

bool CallerSession::closeForOthers()
{
  if (!withoutRequestSince() || unreadBytes() > 0) {
    return false;
  }
  mCore.metrics.closedForOthers.add();
  mCore.log.write(
    telemetry::EventClass::Refused,
    "connection_closed_for_others",
    { { "caller", callerAddress() }, { "connections", std::to_string(mCore.sessions.size()) } },
    std::chrono::steady_clock::now());
  close();
  return true;
}

std::string CallerSession::callerAddress() const
{
  ErrorCode error;
  auto caller = mSocket.remote_endpoint(error);
  return error ? "-" : caller.address().to_string() + ":" + std::to_string(caller.port());
}

void CallerSession::refuseUnread(std::string_view aReason, base::Milliseconds aRetryAfter)
{
  mCore.metrics.refused.add();
  mCore.log.write(telemetry::EventClass::Refused,
                  "request_unread",
                  { { "reason", std::string(aReason) },
                    { "caller", callerAddress() },
                    { "read_bytes", std::to_string(mBodyBytes) },
                    { "held_bytes", std::to_string(mCore.memory.held()) } },
                  std::chrono::steady_clock::now());
  mKeepAlive = false;
  mPhase = Phase::Serving;
  mIsStreaming = false;
  mIsAnswerComplete = false;
  mIsHead = false;
  auto delay = std::chrono::duration<double>(aRetryAfter);
  char seconds[32];
  std::snprintf(seconds, sizeof(seconds), "%.3f", delay.count());
  respond(503, { { "Retry-After", seconds } }, {});
}

void CallerSession::updateCharge()
{
  mCharge.set(kSessionBytes + mBodyBytes + mBuffer.capacity() + mQueued.capacity() +
              mWriting.capacity());
}

void CallerSession::onRequest(ErrorCode aError)
{
  if (mPhase != Phase::Reading) {
    return;
  }
  if (aError == http::error::body_limit) {
    rejectRead(413);
    return;
  }
  if (aError) {
    bool broken = aError.category() == asio::error::get_system_category() ||
                  aError == http::error::partial_message || aError == asio::error::eof;
    broken ? close() : rejectRead(400);
    return;
  }
  auto message = mParser->release();
  CallerRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.host = std::string(message[http::field::host]);
  request.headers = endToEndHeaders(message);
  request.body = std::make_shared<const std::string>(std::move(message.body()));
  request.received = std::chrono::steady_clock::now();
  mKeepAlive = message.keep_alive();
  mIsChunked = message.version() == 11;
  mIsHead = message.method() == http::verb::head;
  mIsStreaming = false;
  mIsAnswerComplete = false;
  mIsCut = false;
  mPhase = Phase::Serving;
  mPhaseStart = request.received;
  mCall = std::make_shared<Call>(mCore, *this, std::move(request));
  if (mBuffer.size() == 0) {
    awaitReadable();
  }
  // The call may answer at once, which releases mCall.
  auto call = mCall;
  call->start(mPhaseStart);
}

void CallerSession::reject(int aStatus)
{
  mCore.metrics.rejected.add();
  mCore.log.write(telemetry::EventClass::Refused,
                  "request_malformed",
                  { { "status", std::to_string(aStatus) },
                    { "caller", callerAddress() },
                    { "framing_bytes", std::to_string(mFramingBytes) },
                    { "payload_bytes", std::to_string(mPayloadBytes) } },
                  std::chrono::steady_clock::now());
  mKeepAlive = false;
  mPhase = Phase::Serving;
  mIsStreaming = false;
  mIsAnswerComplete = false;
  mIsHead = false;
  respond(aStatus, {}, {});
}

std::string CallerSession::headText(int aStatus, const HeaderLines& aHeaders)
{
  // The caller is told here or not at all: after a head without it, it may send its next request.
  mKeepAlive = mKeepAlive && !mCore.stop.hasStarted();
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(aStatus)));
  text.append(reason.data(), reason.size());
  text += "\r\n";
  for (const HeaderLine& line : aHeaders) {
    text += line.name;
    text += ": ";
    text += line.value;
    text += "\r\n";
  }
  if (!mKeepAlive) {
    text += "Connection: close\r\n";
  }
  return text;
}

void CallerSession::respond(int aStatus, const HeaderLines& aHeaders, std::string_view aBody)
{
  mQueued += headText(aStatus, aHeaders);
  bool bodyless = aStatus == 204 || aStatus == 304;
  if (!bodyless) {
    mQueued += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  mQueued += "\r\n";
  if (!mIsHead && !bodyless) {
    mQueued += aBody;
  }
  finishAnswer();
}

void CallerSession::beginStream(int aStatus, const HeaderLines& aHeaders)
{
  mIsStreaming = true;
  if (!mIsChunked) {
    mKeepAlive = false;
    resetOnClose(true);
  }
  mQueued += headText(aStatus, aHeaders);
  if (mIsChunked) {
    mQueued += "Transfer-Encoding: chunked\r\n";
  }
  mQueued += "\r\n";
}

void CallerSession::writeStream(std::string_view aBytes)
{
  if (aBytes.empty() || mIsHead) {
    return;
  }
  if (mIsChunked) {
    char size[20];
    int length = std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
    mQueued.append(size, static_cast<size_t>(length));
  }
  mQueued += aBytes;
  if (mIsChunked) {
    mQueued += "\r\n";
  }
  flush();
}

void CallerSession::endStream(bool aComplete)
{
  if (!aComplete) {
    releaseCall();
    mKeepAlive = false;
    mIsCut = true;
    mIsAnswerComplete = true;
    flush();
    return;
  }
  if (!mIsChunked) {
    resetOnClose(false);
  } else if (!mIsHead) {
    mQueued += "0\r\n\r\n";
  }
  finishAnswer();
}

void CallerSession::resetOnClose(bool aReset)
{
  // Not by set_option(): Asio clears a lingering that it knows of when it destroys the socket.
  // Fails only on a broken connection, which has no orderly close either.
  linger option{ .l_onoff = aReset ? 1 : 0, .l_linger = 0 };
  static_cast<void>(
    ::setsockopt(mSocket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option)));
}

void CallerSession::releaseCall()
{
  if (mCall) {
    mAnsweredId = mCall->attemptId();
    mCall.reset();
  }
}

void CallerSession::finishAnswer()
{
  releaseCall();
  mIsAnswerComplete = true;
  flush();
}

void CallerSession::flush()
{
  updateCharge();
  if (!mWriting.empty() || mPhase == Phase::Closed) {
    return;
  }
  if (mQueued.empty()) {
    onWritten({});
    return;
  }
  mWriting.swap(mQueued);
  mWrittenAt = std::chrono::steady_clock::now();
  writeSome();
}

void CallerSession::writeSome()
{
  mSocket.async_write_some(asio::buffer(mWriting) + mWrittenBytes,
                           [self = shared_from_this()](ErrorCode aError, size_t aBytes) {
                             self->mWrittenBytes += aBytes;
                             // Giving up a read cancels the write of an interim answer as well.
                             bool isInterrupted = aError == asio::error::operation_aborted &&
                                                  self->mPhase != Phase::Closed;
                             if ((!aError || isInterrupted) &&
                                 self->mWrittenBytes < self->mWriting.size()) {
                               self->mWrittenAt = std::chrono::steady_clock::now();
                               self->writeSome();
                               return;
                             }
                             // Gives the memory of a long answer back, and keeps that of a short
                             // one for the next.
                             if (self->mWriting.capacity() > kKeptBytes) {
                               self->mWriting = {};
                             }
                             self->mWriting.clear();
                             self->mWrittenBytes = 0;
                             self->updateCharge();
                             self->onWritten(aError);
                           });
}

void CallerSession::onWritten(ErrorCode aError)
{
  if (mPhase == Phase::Closed) {
    return;
  }
  if (aError) {
    callerLeft();
    return;
  }
  if (!mQueued.empty()) {
    flush();
    return;
  }
  if (mCall) {
    mCall->onCallerDrained();
    return;
  }
  if (!mIsAnswerComplete || mPhase != Phase::Serving) {
    return;
  }
  if (mKeepAlive) {
    awaitRequest();
    return;
  }
  if (mIsCut && !mIsChunked) {
    close(); // Without the shutdown below, which would mark the end of the body.
    return;
  }
  // Closing with unread bytes would reset the connection and could discard the answer before the
  // caller reads it.
  mPhase = Phase::Closing;
  mPhaseStart = std::chrono::steady_clock::now();
  ErrorCode ignored; // The read below reports a broken connection.
  mSocket.shutdown(Tcp::socket::shutdown_send, ignored);
  auto discard = std::make_shared<std::string>(kDiscardBytes, '\0');
  auto drain = std::make_shared<std::function<void()>>();
  std::weak_ptr<std::function<void()>> weakDrain = drain;
  *drain = [self = shared_from_this(), discard, weakDrain] {
    auto nextRead = weakDrain.lock();
    self->mSocket.async_read_some(asio::buffer(*discard),
                                  [self, nextRead](ErrorCode aStop, size_t) {
                                    if (aStop || self->mPhase == Phase::Closed) {
                                      self->close();
                                    } else if (nextRead) {
                                      (*nextRead)();
                                    }
                                  });
  };
  (*drain)();
}

void CallerSession::callerLeft()
{
  if (mCall) {
    auto call = std::move(mCall);
    mCall.reset();
    call->onCallerLeft();
  }
  close();
}

void CallerSession::close()
{
  if (mPhase == Phase::Closed) {
    return;
  }
  mPhase = Phase::Closed;
  ErrorCode ignored; // The socket is not used any more.
  mSocket.close(ignored);
  mCore.metrics.callers.add(-1);
  mCore.sessions.erase(shared_from_this());
}

void CallerSession::closeIdle(base::TimePoint aNow)
{
  if (mPhase != Phase::Idle || aNow - mPhaseStart < base::Duration(kNextRequestTime)) {
    return;
  }
  if (unreadBytes() == 0) {
    close();
  }
}

void CallerSession::refuseUnfinished()
{
  if (mPhase == Phase::Reading && unreadBytes() == 0) {
    refuseUnread(kEndOfProcess, serving::retryAfterStop(mCore.rng));
  }
}

bool CallerSession::owesAnswer() const
{
  switch (mPhase) {
    case Phase::Idle:
      return unreadBytes() > 0;
    case Phase::Reading:
    case Phase::Serving:
      return true;
    case Phase::Closing:
    case Phase::Closed:
      break;
  }
  return false;
}

void CallerSession::logUnfinished(base::TimePoint aNow) const
{
  if (mCall) {
    mCall->logUnfinished(aNow);
    return;
  }
  size_t unread = unreadBytes();
  bool isUnread = mPhase == Phase::Reading || (mPhase == Phase::Idle && unread > 0);
  if (isUnread || backlog() > 0) {
    mCore.log.write(telemetry::EventClass::Refused,
                    isUnread ? "request_unread" : "answer_unwritten",
                    { { "reason", kEndOfProcess },
                      { "id", mAnsweredId.empty() ? "-" : mAnsweredId },
                      { "read_bytes", std::to_string(mBodyBytes) },
                      { "unread_bytes", std::to_string(unread) },
                      { "unwritten_bytes", std::to_string(backlog()) },
                      { "phase_ms", milliseconds(aNow - mPhaseStart) } },
                    aNow);
  }
}

size_t CallerSession::unreadBytes() const
{
  ErrorCode error; // A broken connection has none.
  size_t count = mSocket.available(error);
  return error ? 0 : count;
}

void CallerSession::tick(base::TimePoint aNow)
{
  serving::CallerLimits limits;
  if (mCore.deployment) {
    limits = mCore.deployment->limits();
  }
  auto self = shared_from_this();
  updateCharge(); // A read that is underway may have enlarged the buffer.
  observeProgress(aNow);
  if (hasStalled(mCore.options.unreadTimeout, aNow)) {
    closeUnread(aNow);
    return;
  }
  switch (mPhase) {
    case Phase::Idle:
      if (aNow - mPhaseStart > limits.idleTimeout && unreadBytes() == 0) {
        close();
      }
      break;
    case Phase::Reading: {
      bool headDone = mParser && mParser->is_header_done();
      if (aNow - mPhaseStart > (headDone ? kBodyTimeout : limits.headerTimeout)) {
        ErrorCode ignored; // A broken connection has no read to cancel; its end is reported.
        mSocket.cancel(ignored);
        reject(408);
      } else if (mIsGivenUp) {
        giveUpRequest(); // The read had just received bytes when it was cancelled.
      }
      break;
    }
    case Phase::Serving:
      if (mCall) {
        auto call = mCall;
        call->tick(aNow);
      }
      break;
    case Phase::Closing:
      if (aNow - mPhaseStart > kLingerTimeout) {
        close();
      }
      break;
    case Phase::Closed:
      break;
  }
}

} // namespace boragepitch::relay
