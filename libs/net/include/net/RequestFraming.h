#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/Time.h"

namespace boragepitch::net {

/** Bounds for one request, from its first byte to its last. */
struct RequestLimits
{
  /** Request line and headers. */
  size_t headBytes = 64 << 10;
  /** One line: of the head, of a chunk's size and extension, or of the trailers. */
  size_t lineBytes = 16 << 10;
  /** Chunk sizes, extensions and trailers together. */
  size_t framingBytes = 64 << 10;
  /** Further bytes of that kind for each byte of payload; a chunk of one byte needs 5. */
  size_t framingRatio = 16;
  /** Payload without a declared length. */
  size_t bodyBytes = 1 << 20;
  /** From the first byte to the last. */
  base::Milliseconds time{ 60000 };
};

/** Why a server closes a connection. */
enum class RequestFault
{
  Head,
  Line,
  Framing,
  Body,
  Time,
  /** The length of the body is not unique or not a number. */
  Length,
  /** The server holds too many bytes of requests in all. */
  Memory,
  /** Too many connections wait for the server. */
  Connections,
};

/** The name of a fault in metrics and log lines. */
std::string_view toString(RequestFault aFault);

/**
 * Counts the bytes of one HTTP/1.1 request against its limits, in pieces of any size. It only
 * counts: the parser of the server decides what the bytes mean. Bytes after the end that it finds
 * count as payload, so that a parser which reads further is bounded, too. Holds at most one line of
 * the head.
 */
class RequestFraming
{
public:
  explicit RequestFraming(RequestLimits aLimits);

  /** The next request starts. */
  void begin();
  /** Counts bytes that were read. The first fault of a request stays until begin(). */
  std::optional<RequestFault> consume(std::string_view aBytes, base::TimePoint aNow);
  /** The fault at this time if no further byte comes. */
  std::optional<RequestFault> check(base::TimePoint aNow) const;
  /** When the request must be complete; nothing before its first byte and after its last. */
  std::optional<base::TimePoint> deadline() const;
  /** Whether the whole request has been consumed. */
  bool isComplete() const { return mState == State::End; }
  /** Bytes that the server may hold for the request. A body whose declared length exceeds
   * bodyBytes does not count, since the server discards it. */
  size_t heldBytes() const;

private:
  enum class State
  {
    Head,
    Payload,
    ChunkSize,
    ChunkData,
    ChunkEnd,
    Trailers,
    End,
  };

  size_t consumeLine(std::string_view aBytes);
  size_t consumePayload(std::string_view aBytes);
  size_t consumeSurplus(std::string_view aBytes);
  void endLine();
  void endHead();
  void readHeader();
  void readChunkSize();
  void countPayload(size_t aBytes);
  void fail(RequestFault aFault);

  const RequestLimits mLimits;
  State mState = State::Head;
  std::optional<RequestFault> mFault;
  std::optional<base::TimePoint> mStart;
  /** Unfinished line of the head, or the first digits of a chunk's size. */
  std::string mLine;
  size_t mLineBytes = 0;
  bool mHasRequestLine = false;
  size_t mHeadBytes = 0;
  size_t mFramingBytes = 0;
  size_t mPayloadBytes = 0;
  uint64_t mRemaining = 0; ///< Of the declared payload, or of the chunk.
  std::optional<uint64_t> mLength;
  bool mIsChunked = false;
  bool mHasEncoding = false;
};

} // namespace boragepitch::net
