#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragepitch::serving {

/** One complete block of lines of a text/event-stream, including the blank line that ends it. */
struct StreamEvent
{
  std::string_view text;
  std::optional<uint64_t> id;
  bool hasFields = true; ///< False for a block of comments, which is no event.
};

/**
 * Splits a byte stream into complete events, so that a stream that breaks within an event can be
 * resumed after its last complete event. Not thread-safe.
 */
class EventSplitter
{
public:
  void feed(std::string_view aBytes);
  /** The next complete event, if any; valid until the next call of feed() or restart(). */
  std::optional<StreamEvent> next();
  /** Discards all buffered bytes, because the next bytes come from another attempt. */
  void restart();
  /** Buffered bytes after the last complete event. */
  std::string_view pending() const { return std::string_view(mBuffer).substr(mStart); }
  size_t heldBytes() const { return mBuffer.capacity(); }
  /** False if the stream may end here: nothing but whole comments and empty lines is pending. */
  bool isInsideEvent() const;

private:
  std::string mBuffer;
  size_t mStart = 0;     ///< Start of the next event in the buffer.
  size_t mLineStart = 0; ///< Start of the first line that is not yet known to be complete.
  size_t mScanned = 0;   ///< Up to here that line has no end: a long one is not searched again.
};

} // namespace boragepitch::serving
