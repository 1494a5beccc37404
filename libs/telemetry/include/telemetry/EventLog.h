#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>

#include "base/Time.h"
#include "telemetry/Log.h"
#include "telemetry/Metrics.h"

namespace boragepitch::telemetry {

/** Decides which lines are left out first when there are too many. */
enum class Weight
{
  Routine,  ///< A request that went well.
  Refused,  ///< A refused, failed or repeated request.
  Critical, ///< A change of what the process believes; start, stop, reload, dependencies.
};

struct EventLogLimits
{
  /** Lines a second of each weight. An entry handles 60 to 100 requests a second; each may be
   * refused once and repeated once. */
  std::array<uint32_t, 3> linesPerSecond{ 150, 400, 200 };
  /** Bytes that wait for the reader of the pipe; more are left out. */
  size_t pendingBytes = 256 << 10;
};

/**
 * Structured lines "t=<ms> event=<name> key=value ..." on a file descriptor. Lines gather in memory
 * and are written by flush(), which never blocks: what a full pipe does not take stays pending up
 * to the limit. Lines over a limit are counted by weight and reported in a line of their own.
 * Thread-safe.
 */
class EventLog
{
public:
  /** Sets aDescriptor to non-blocking. */
  EventLog(int aDescriptor, std::string aNode, EventLogLimits aLimits = {});

  void write(Weight aWeight,
             std::string_view aEvent,
             std::initializer_list<Field> aFields,
             base::TimePoint aNow);
  void flush(base::TimePoint aNow);
  /** Lines left out since the start, by weight. */
  uint64_t dropped(Weight aWeight) const;
  uint64_t writtenBytes() const;

private:
  void append(std::string_view aEvent, std::initializer_list<Field> aFields, base::TimePoint aNow);
  void startSecond(base::TimePoint aNow);

  const int mDescriptor;
  const std::string mNode;
  const EventLogLimits mLimits;
  mutable std::mutex mMutex;
  std::string mPending;
  int64_t mSecond = 0;
  std::array<uint32_t, 3> mLines{};
  std::array<uint64_t, 3> mDropped{};
  std::array<uint64_t, 3> mReported{};
  uint64_t mWritten = 0;
};

} // namespace boragepitch::telemetry
