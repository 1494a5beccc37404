#include "CallerSession.h"

#include <boost/algorithm/string/predicate.hpp>

#include "Call.h"

namespace boragepitch::relay {

namespace {

using namespace std::chrono_literals;

/** Time for a caller to read a last answer and close, before the connection is reset. */
constexpr base::Milliseconds kLinger = 1000ms;
/** Time in which a request body must arrive. */
constexpr base::Milliseconds kBodyTimeout = 15000ms;
constexpr size_t kDiscardBytes = 4096;

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

/** Headers without those that concern this connection, named by Connection ones included. */
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
  ErrorCode ignored; // Without the options small writes are only later.
  mSocket.set_option(Tcp::no_delay(true), ignored);
  mSocket.non_blocking(true, ignored);
  await();
}

void CallerSession::await()
{
  mPhase = Phase::Idle;
  mSince = std::chrono::steady_clock::now();
  if (mBuffer.size() > 0) {
    readHead();
  } else {
    watch();
  }
}

void CallerSession::watch()
{
  if (mWaiting) {
    return;
  }
  mWaiting = true;
  mSocket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode aError) {
    self->mWaiting = false;
    self->onReadable(aError);
  });
}

void CallerSession::onReadable(ErrorCode aError)
{
  if (mPhase == Phase::Closed || mPhase == Phase::Closing) {
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
  // Bytes are the next request, which waits; the end of the connection means that the caller left.
  ErrorCode error;
  char byte = 0;
  size_t count = mSocket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  if (count == 0 && error != asio::error::would_block) {
    callerLeft();
  } else if (error == asio::error::would_block) {
    watch();
  }
}

void CallerSession::readHead()
{
  mPhase = Phase::Reading;
  mSince = std::chrono::steady_clock::now();
  serving::CallerLimits limits;
  if (mCore.deployment) {
    limits = mCore.deployment->limits();
  }
  mParser.emplace();
  mParser->header_limit(static_cast<uint32_t>(limits.headerBytes));
  mParser->body_limit(limits.bodyBytes);
  http::async_read_header(
    mSocket, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aError, size_t) {
      self->onHead(aError);
    });
}

void CallerSession::onHead(ErrorCode aError)
{
  if (mPhase != Phase::Reading) {
    return;
  }
  if (aError == http::error::end_of_stream || aError == asio::error::eof) {
    close();
    return;
  }
  if (aError == http::error::header_limit) {
    reject(431);
    return;
  }
  if (aError == http::error::body_limit) {
    reject(413);
    return;
  }
  if (aError) {
    if (aError.category() == asio::error::get_system_category()) {
      close();
    } else {
      reject(400);
    }
    return;
  }
  if (int status = checkHead(); status != 0) {
    reject(status);
    return;
  }
  if (mParser->is_done()) {
    onRequest({});
    return;
  }
  if (boost::algorithm::iequals(view(mParser->get()[http::field::expect]), "100-continue")) {
    mOut += "HTTP/1.1 100 Continue\r\n\r\n";
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
  // Two framings of one body are how a request is smuggled inside another.
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
  http::async_read(
    mSocket, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aError, size_t) {
      self->onRequest(aError);
    });
}

void CallerSession::onRequest(ErrorCode aError)
{
  if (mPhase != Phase::Reading) {
    return;
  }
  if (aError == http::error::body_limit) {
    reject(413);
    return;
  }
  if (aError) {
    bool broken = aError.category() == asio::error::get_system_category() ||
                  aError == http::error::partial_message || aError == asio::error::eof;
    broken ? close() : reject(400);
    return;
  }
  auto message = mParser->release();
  CallerRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.host = std::string(message[http::field::host]);
  request.headers = endToEndHeaders(message);
  request.body = std::move(message.body());
  request.received = std::chrono::steady_clock::now();
  mKeepAlive = message.keep_alive();
  mChunked = message.version() == 11;
  mIsHead = message.method() == http::verb::head;
  mStreaming = false;
  mFinished = false;
  mPhase = Phase::Serving;
  mSince = request.received;
  mCall = std::make_shared<Call>(mCore, *this, std::move(request));
  if (mBuffer.size() == 0) {
    watch();
  }
  // The call may answer at once and be released by that.
  auto call = mCall;
  call->start(mSince);
}

void CallerSession::reject(int aStatus)
{
  mCore.metrics.rejected.add();
  mCore.log.write(telemetry::EventClass::Refused,
                  "request_malformed",
                  { { "status", std::to_string(aStatus) } },
                  std::chrono::steady_clock::now());
  mKeepAlive = false;
  mPhase = Phase::Serving;
  mStreaming = false;
  mFinished = false;
  mIsHead = false;
  respond(aStatus, {}, {});
}

std::string CallerSession::headText(int aStatus, const HeaderLines& aHeaders) const
{
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
  if (!mKeepAlive || mCore.leaving) {
    text += "Connection: close\r\n";
  }
  return text;
}

void CallerSession::respond(int aStatus, const HeaderLines& aHeaders, std::string_view aBody)
{
  mOut += headText(aStatus, aHeaders);
  bool bodyless = aStatus == 204 || aStatus == 304;
  if (!bodyless) {
    mOut += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  mOut += "\r\n";
  if (!mIsHead && !bodyless) {
    mOut += aBody;
  }
  answered();
}

void CallerSession::beginStream(int aStatus, const HeaderLines& aHeaders)
{
  mStreaming = true;
  if (!mChunked) {
    mKeepAlive = false;
  }
  mOut += headText(aStatus, aHeaders);
  if (mChunked) {
    mOut += "Transfer-Encoding: chunked\r\n";
  }
  mOut += "\r\n";
}

void CallerSession::writeStream(std::string_view aBytes)
{
  if (aBytes.empty() || mIsHead) {
    return;
  }
  if (mChunked) {
    char size[20];
    int length = std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
    mOut.append(size, static_cast<size_t>(length));
  }
  mOut += aBytes;
  if (mChunked) {
    mOut += "\r\n";
  }
  flush();
}

void CallerSession::endStream(bool aComplete)
{
  if (!aComplete) {
    mCall.reset();
    // An orderly close would look like the end of a body without chunks: reset the connection.
    if (!mChunked) {
      ErrorCode ignored;
      mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    mKeepAlive = false;
    mFinished = true;
    flush();
    return;
  }
  if (mChunked && !mIsHead) {
    mOut += "0\r\n\r\n";
  }
  answered();
}

void CallerSession::answered()
{
  mCall.reset();
  mFinished = true;
  if (mCore.leaving) {
    mKeepAlive = false;
  }
  flush();
}

void CallerSession::flush()
{
  if (!mWriting.empty() || mPhase == Phase::Closed) {
    return;
  }
  if (mOut.empty()) {
    onWritten({});
    return;
  }
  mWriting.swap(mOut);
  asio::async_write(
    mSocket, asio::buffer(mWriting), [self = shared_from_this()](ErrorCode aError, size_t) {
      self->mWriting.clear();
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
  if (!mOut.empty()) {
    flush();
    return;
  }
  if (mCall) {
    mCall->onCallerDrained();
    return;
  }
  if (!mFinished || mPhase != Phase::Serving) {
    return;
  }
  if (mKeepAlive) {
    await();
    return;
  }
  // Closing with unread bytes would reset the connection and could destroy the answer.
  mPhase = Phase::Closing;
  mSince = std::chrono::steady_clock::now();
  ErrorCode ignored; // The read below sees a broken connection.
  mSocket.shutdown(Tcp::socket::shutdown_send, ignored);
  auto discard = std::make_shared<std::string>(kDiscardBytes, '\0');
  auto drain = std::make_shared<std::function<void()>>();
  std::weak_ptr<std::function<void()>> weakDrain = drain;
  *drain = [self = shared_from_this(), discard, weakDrain] {
    auto again = weakDrain.lock();
    self->mSocket.async_read_some(asio::buffer(*discard), [self, again](ErrorCode aStop, size_t) {
      if (aStop || self->mPhase == Phase::Closed) {
        self->close();
      } else if (again) {
        (*again)();
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
  ErrorCode ignored; // Nothing depends on how the close ends.
  mSocket.close(ignored);
  mCore.metrics.callers.add(-1);
  mCore.sessions.erase(shared_from_this());
}

void CallerSession::closeIdle()
{
  if (mPhase == Phase::Idle) {
    close();
  }
}

void CallerSession::tick(base::TimePoint aNow)
{
  serving::CallerLimits limits;
  if (mCore.deployment) {
    limits = mCore.deployment->limits();
  }
  auto self = shared_from_this();
  switch (mPhase) {
    case Phase::Idle:
      if (aNow - mSince > limits.idleTimeout) {
        close();
      }
      break;
    case Phase::Reading: {
      bool headDone = mParser && mParser->is_header_done();
      if (aNow - mSince > (headDone ? kBodyTimeout : limits.headerTimeout)) {
        reject(408);
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
      if (aNow - mSince > kLinger) {
        close();
      }
      break;
    case Phase::Closed:
      break;
  }
}

} // namespace boragepitch::relay
