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

/** Class of log lines with a rate limit of its own, so that routine lines cannot crowd out critical
 * ones. */
enum class EventClass
{
  Routine,  ///< A request that succeeded.
  Refused,  ///< A refused, failed or retried request.
  Critical, ///< A change in the process's view of the fleet; start, stop, reload, lost or regained
            ///< dependencies.
};

struct EventLogLimits
{
  /** Lines per second of each class. An entry handles 60 to 100 requests per second; each may be
   * refused once and retried once. */
  std::array<uint32_t, 3> linesPerSecond{ 150, 400, 200 };
  /** Bytes that may wait in memory for a slow reader of the pipe; further lines are dropped. */
  size_t pendingBytes = 256 << 10;
};

/**
 * Writes structured lines "t=<ms> node=<name> event=<name> key=value ..." to a file descriptor.
 * Lines are buffered in memory and written by flush(), which never blocks: what a full pipe does
 * not accept stays buffered up to the limit. Lines over a limit are dropped, counted by class and
 * reported in a log_dropped event. Thread-safe.
 */
class EventLog
{
public:
  /** Sets aDescriptor to non-blocking. */
  EventLog(int aDescriptor, std::string aNode, EventLogLimits aLimits = {});

  void write(EventClass aClass,
             std::string_view aEvent,
             std::initializer_list<Field> aFields,
             base::TimePoint aNow);
  void flush(base::TimePoint aNow);
  /** Writes all buffered lines; waits for a slow reader, but not longer than aLimit. For the last
   * lines of a process. */
  void flushAll(base::TimePoint aNow, base::Milliseconds aLimit);
  /** Lines of a class dropped since the start. */
  uint64_t dropped(EventClass aClass) const;
  uint64_t writtenBytes() const;

private:
  void append(std::string_view aEvent, std::initializer_list<Field> aFields, base::TimePoint aNow);
  void startSecond(base::TimePoint aNow);

  const int mDescriptor;
  const std::string mNode;
  const EventLogLimits mLimits;
  mutable std::mutex mMutex;
  std::string mPending;
  int64_t mCurrentSecond = 0;
  std::array<uint32_t, 3> mLinesThisSecond{};
  std::array<uint64_t, 3> mDropped{};
  std::array<uint64_t, 3> mReportedDropped{};
  uint64_t mWrittenBytes = 0;
};

} // namespace boragepitch::telemetry
