#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragepitch::serving {

/** One whole event of a text/event-stream, with its blank line. */
struct StreamEvent
{
  std::string_view text;
  std::optional<uint64_t> id;
};

/**
 * Cuts a byte stream into whole events, so that a stream that breaks within an event can be resumed
 * after its last whole one. Not thread-safe.
 */
class EventSplitter
{
public:
  void feed(std::string_view aBytes);
  /** The next whole event; valid until the next call of feed() or restart(). */
  std::optional<StreamEvent> next();
  /** Drops a partial event; the next bytes come from another attempt. */
  void restart();
  /** Bytes of an event that is not whole yet. */
  size_t pending() const { return mBuffer.size() - mStart; }

private:
  std::string mBuffer;
  size_t mStart = 0;
  size_t mSearched = 0;
};

} // namespace boragepitch::serving
