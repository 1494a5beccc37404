#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragepitch::serving {

/** One complete event of a text/event-stream, including the blank line that ends it. */
struct StreamEvent
{
  std::string_view text;
  std::optional<uint64_t> id;
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
  /** Number of buffered bytes of an incomplete event. */
  size_t pending() const { return mBuffer.size() - mStart; }

private:
  std::string mBuffer;
  size_t mStart = 0;       ///< Start of the next event in the buffer.
  size_t mSearchStart = 0; ///< The end of the next event lies at or after this position.
};

} // namespace boragepitch::serving
