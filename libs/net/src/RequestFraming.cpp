#include "net/RequestFraming.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace boragepitch::net {

namespace {

/** Digits of a chunk's size that are kept; more significant digits than that exceed any limit. */
constexpr size_t kMaxSizeDigits = 16;

bool equalsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  auto lower = [](char aChar) { return aChar >= 'A' && aChar <= 'Z' ? aChar + 32 : +aChar; };
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [lower](char aL, char aR) {
      return lower(aL) == lower(aR);
    });
}

std::string_view trim(std::string_view aText)
{
  static constexpr std::string_view kSpace = " \t\r\n";
  size_t begin = std::min(aText.find_first_not_of(kSpace), aText.size());
  return aText.substr(begin, aText.find_last_not_of(kSpace) + 1 - begin);
}

std::optional<uint64_t> parseNumber(std::string_view aText, int aBase)
{
  uint64_t value = 0;
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value, aBase);
  if (error != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::string_view toString(RequestFault aFault)
{
  switch (aFault) {
    case RequestFault::Head:
      return "head";
    case RequestFault::Line:
      return "line";
    case RequestFault::Framing:
      return "framing";
    case RequestFault::Body:
      return "body";
    case RequestFault::Time:
      return "time";
    case RequestFault::Length:
      return "length";
    case RequestFault::Memory:
      return "memory";
    case RequestFault::Connections:
      return "connections";
  }
  return "unknown";
}

RequestFraming::RequestFraming(RequestLimits aLimits)
  : mLimits(aLimits)
{
}

void RequestFraming::begin()
{
  mState = State::Head;
  mFault.reset();
  mStart.reset();
  mLine.clear();
  mLineBytes = mHeadBytes = mFramingBytes = mPayloadBytes = 0;
  mHasRequestLine = mIsChunked = mHasEncoding = false;
  mRemaining = 0;
  mLength.reset();
}

std::optional<RequestFault> RequestFraming::consume(std::string_view aBytes, base::TimePoint aNow)
{
  if (!mStart && !aBytes.empty()) {
    mStart = aNow;
  }
  while (!mFault && !aBytes.empty()) {
    size_t used = 0;
    if (mState == State::Payload || mState == State::ChunkData) {
      used = consumePayload(aBytes);
    } else if (mState == State::End) {
      used = consumeSurplus(aBytes);
    } else {
      used = consumeLine(aBytes);
    }
    aBytes.remove_prefix(used);
  }
  return check(aNow);
}

std::optional<RequestFault> RequestFraming::check(base::TimePoint aNow) const
{
  if (mFault) {
    return mFault;
  }
  auto end = deadline();
  return end && aNow >= *end ? std::optional(RequestFault::Time) : std::nullopt;
}

std::optional<base::TimePoint> RequestFraming::deadline() const
{
  return mStart && !isComplete() ? std::optional(*mStart + mLimits.time) : std::nullopt;
}

size_t RequestFraming::heldBytes() const
{
  bool isDiscarded = mLength && *mLength > mLimits.bodyBytes;
  size_t unfinishedFraming = mState == State::Head ? 0 : mLineBytes;
  return mHeadBytes + (isDiscarded ? 0 : mPayloadBytes) + unfinishedFraming;
}

size_t RequestFraming::consumeLine(std::string_view aBytes)
{
  size_t newline = aBytes.find('\n');
  bool isWhole = newline != std::string_view::npos;
  size_t used = isWhole ? newline + 1 : aBytes.size();
  size_t& total = mState == State::Head ? mHeadBytes : mFramingBytes;
  total += used;
  mLineBytes += used;
  if (mLineBytes > mLimits.lineBytes) {
    fail(RequestFault::Line);
  } else if (mHeadBytes > mLimits.headBytes) {
    fail(RequestFault::Head);
  } else if (mFramingBytes > mLimits.framingBytes &&
             mFramingBytes - mLimits.framingBytes > mPayloadBytes * mLimits.framingRatio) {
    fail(RequestFault::Framing);
  } else {
    mLine.append(aBytes.substr(0, used));
    if (isWhole) {
      endLine();
    }
  }
  return used;
}

void RequestFraming::endLine()
{
  switch (mState) {
    case State::Head:
      if (!mHasRequestLine) {
        mHasRequestLine = true;
      } else if (mLine == "\r\n") {
        endHead();
      } else {
        readHeader();
      }
      break;
    case State::ChunkSize:
      readChunkSize();
      break;
    case State::ChunkEnd:
      mState = State::ChunkSize;
      break;
    default: // Trailers.
      if (mLine == "\r\n") {
        mState = State::End;
      }
      break;
  }
  mLine.clear();
  mLineBytes = 0;
}

void RequestFraming::readHeader()
{
  std::string_view line = mLine;
  size_t colon = line.find(':');
  if (colon == std::string_view::npos || !line.ends_with("\r\n")) {
    return;
  }
  std::string_view name = line.substr(0, colon);
  std::string_view value = trim(line.substr(colon + 1));
  if (equalsIgnoringCase(name, "Content-Length")) {
    auto length = parseNumber(value, 10);
    if (!length || mLength) {
      fail(RequestFault::Length);
    }
    mLength = length;
  } else if (equalsIgnoringCase(name, "Transfer-Encoding")) {
    mIsChunked = !mHasEncoding && equalsIgnoringCase(value, "chunked");
    mHasEncoding = true;
  }
}

void RequestFraming::endHead()
{
  // Two statements of the length are how one request is hidden in another.
  if (mHasEncoding && mLength) {
    fail(RequestFault::Length);
  } else if (mIsChunked) {
    mState = State::ChunkSize;
  } else {
    mRemaining = mLength.value_or(0);
    mState = mRemaining > 0 ? State::Payload : State::End;
  }
}

void RequestFraming::readChunkSize()
{
  std::string_view digits = trim(mLine);
  digits = digits.substr(0, digits.find_first_not_of("0123456789abcdefABCDEF"));
  size_t zeros = std::min(digits.find_first_not_of('0'), digits.size());
  digits.remove_prefix(zeros);
  if (digits.empty()) {
    mState = State::Trailers;
    return;
  }
  auto size = digits.size() <= kMaxSizeDigits ? parseNumber(digits, 16) : std::nullopt;
  mRemaining = size.value_or(std::numeric_limits<uint64_t>::max());
  mState = State::ChunkData;
}

size_t RequestFraming::consumePayload(std::string_view aBytes)
{
  auto used = static_cast<size_t>(std::min<uint64_t>(mRemaining, aBytes.size()));
  mRemaining -= used;
  countPayload(used);
  if (mRemaining == 0) {
    mState = mState == State::ChunkData ? State::ChunkEnd : State::End;
  }
  return used;
}

size_t RequestFraming::consumeSurplus(std::string_view aBytes)
{
  countPayload(aBytes.size());
  return aBytes.size();
}

void RequestFraming::countPayload(size_t aBytes)
{
  mPayloadBytes += aBytes;
  // The server answers 413 to a declared length beyond the limit and discards what comes.
  bool isDeclared = mState == State::Payload;
  if (!isDeclared && mPayloadBytes > mLimits.bodyBytes) {
    fail(RequestFault::Body);
  }
}

void RequestFraming::fail(RequestFault aFault)
{
  if (!mFault) {
    mFault = aFault;
  }
}

} // namespace boragepitch::net
