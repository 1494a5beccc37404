#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace boragepitch::routing {

/** Fault found in an event stream. */
enum class StreamFault
{
  None,
  Gap,       ///< An event is missing.
  Foreign,   ///< The events belong to another request, attempt or manifest.
  Malformed, ///< Not a valid event, or larger than the bound.
  Refused,   ///< The sender ended the stream with an error event.
};

/**
 * Joins one response's event stream, received in chunks and from one or several attempts, into one
 * sequence without gaps. Passes on each event whole, in order and exactly once. Not thread-safe.
 */
class StreamAssembler
{
public:
  using Sink = std::function<bool(std::string_view)>;

  /** @param aMaxEventBytes larger events are malformed. */
  explicit StreamAssembler(size_t aMaxEventBytes = 1 << 16);

  /**
   * Starts the next attempt. Returns Foreign when the response head names another request or
   * attempt or no manifest, or when events of another manifest were already passed on.
   */
  StreamFault beginAttempt(std::string_view aExpectedRequest,
                           std::string_view aRequest,
                           std::string_view aExpectedAttempt,
                           std::string_view aAttempt,
                           std::string_view aManifest);
  /**
   * Takes bytes of the current attempt and passes each new, complete event to aSink, including the
   * blank line that ends it. Drops events that were already passed on. Stops at a fault or when
   * aSink returns false.
   */
  StreamFault feed(std::string_view aBytes, const Sink& aSink);

  /** Id of the next expected event; the first is 0. */
  uint64_t nextEvent() const { return mNextEvent; }
  bool isDone() const { return mDone; }
  bool sinkClosed() const { return mSinkClosed; }
  /** Manifest of the events passed on; empty before the first. */
  const std::string& manifest() const { return mManifest; }
  /** Data of the error event; set after Refused. */
  const std::string& refusal() const { return mRefusal; }
  uint64_t duplicates() const { return mDuplicates; }

private:
  StreamFault handleEvent(std::string_view aEvent, const Sink& aSink);
  StreamFault passOn(std::string_view aEvent, const Sink& aSink);

  const size_t mMaxEventBytes;
  std::string mBuffer;
  std::string mManifest;
  std::string mAttemptManifest;
  std::string mRefusal;
  uint64_t mNextEvent = 0;
  uint64_t mDuplicates = 0;
  bool mDone = false;
  bool mSinkClosed = false;
};

} // namespace boragepitch::routing
