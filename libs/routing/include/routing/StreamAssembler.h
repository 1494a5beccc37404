#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace boragepitch::routing {

/** What is wrong with a stream; None while it is sound. */
enum class StreamFault
{
  None,
  Gap,       ///< An event is missing.
  Foreign,   ///< The events are of another request, attempt or manifest.
  Malformed, ///< Not an event, or larger than the bound.
  Refused,   ///< The sender ended the stream with an error event.
};

/**
 * Joins the pieces of one response's event stream, from one or several attempts, into one gapless
 * sequence. Each event is passed on exactly once, in order, whole. Not thread-safe.
 */
class StreamAssembler
{
public:
  using Sink = std::function<bool(std::string_view)>;

  /** @param aMaxEventBytes events larger than this are malformed. */
  explicit StreamAssembler(size_t aMaxEventBytes = 1 << 16);

  /**
   * Starts the next attempt. Returns Foreign when the attempt's head names another request or
   * attempt, or when events of another manifest were passed on already.
   */
  StreamFault beginAttempt(std::string_view aExpectedRequest,
                           std::string_view aRequest,
                           std::string_view aExpectedAttempt,
                           std::string_view aAttempt,
                           std::string_view aManifest);
  /**
   * Takes bytes of the current attempt and hands each new whole event to aSink (with its blank
   * line). Events that were passed on before are dropped. Stops at a fault or when aSink returns
   * false.
   */
  StreamFault feed(std::string_view aBytes, const Sink& aSink);

  /** Id of the next event that is needed; the first is 0. */
  uint64_t nextEvent() const { return mNext; }
  bool isDone() const { return mDone; }
  bool sinkClosed() const { return mSinkClosed; }
  /** Manifest of the events passed on; empty while there are none. */
  const std::string& manifest() const { return mManifest; }
  /** Data of the error event after Refused. */
  const std::string& refusal() const { return mRefusal; }
  uint64_t duplicates() const { return mDuplicates; }

private:
  StreamFault take(std::string_view aEvent, const Sink& aSink);
  StreamFault pass(std::string_view aEvent, const Sink& aSink);

  const size_t mMaxEventBytes;
  std::string mPending;
  std::string mManifest;
  std::string mAttemptManifest;
  std::string mRefusal;
  uint64_t mNext = 0;
  uint64_t mDuplicates = 0;
  bool mDone = false;
  bool mSinkClosed = false;
};

} // namespace boragepitch::routing
