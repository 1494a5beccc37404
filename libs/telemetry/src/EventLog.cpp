#include "telemetry/EventLog.h"

#include <cerrno>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace boragepitch::telemetry {

namespace {

size_t classIndex(EventClass aClass)
{
  return static_cast<size_t>(aClass);
}

} // namespace

EventLog::EventLog(int aDescriptor, std::string aNode, EventLogLimits aLimits)
  : mDescriptor(aDescriptor)
  , mNode(std::move(aNode))
  , mLimits(aLimits)
{
  int flags = fcntl(mDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(mDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void EventLog::write(EventClass aClass,
                     std::string_view aEvent,
                     std::initializer_list<Field> aFields,
                     base::TimePoint aNow)
{
  std::lock_guard lock(mMutex);
  startSecond(aNow);
  size_t index = classIndex(aClass);
  if (mLinesThisSecond[index] >= mLimits.linesPerSecond[index] ||
      mPending.size() >= mLimits.pendingBytes) {
    ++mDropped[index];
    return;
  }
  ++mLinesThisSecond[index];
  append(aEvent, aFields, aNow);
}

void EventLog::startSecond(base::TimePoint aNow)
{
  int64_t second = base::toMilliseconds(aNow.time_since_epoch()) / 1000;
  if (second == mCurrentSecond) {
    return;
  }
  mCurrentSecond = second;
  mLinesThisSecond = {};
  if (mDropped != mReportedDropped) {
    append("log_dropped",
           { { "routine", std::to_string(mDropped[0] - mReportedDropped[0]) },
             { "refused", std::to_string(mDropped[1] - mReportedDropped[1]) },
             { "critical", std::to_string(mDropped[2] - mReportedDropped[2]) } },
           aNow);
    mReportedDropped = mDropped;
  }
}

void EventLog::append(std::string_view aEvent,
                      std::initializer_list<Field> aFields,
                      base::TimePoint aNow)
{
  mPending += "t=";
  mPending += std::to_string(base::toMilliseconds(aNow.time_since_epoch()));
  mPending += " node=";
  mPending += mNode;
  mPending += ' ';
  mPending += formatEvent(aEvent, aFields);
  mPending += '\n';
}

void EventLog::flush(base::TimePoint aNow)
{
  std::lock_guard lock(mMutex);
  startSecond(aNow);
  size_t written = 0;
  while (written < mPending.size()) {
    ssize_t count = ::write(mDescriptor, mPending.data() + written, mPending.size() - written);
    if (count <= 0) {
      if (count < 0 && errno == EINTR) {
        continue;
      }
      // EAGAIN means that the pipe is full, any other error that nobody reads it. The rest stays
      // buffered, bounded by pendingBytes.
      break;
    }
    written += static_cast<size_t>(count);
  }
  mPending.erase(0, written);
  mWrittenBytes += written;
}

void EventLog::flushAll(base::TimePoint aNow, base::Milliseconds aLimit)
{
  const auto until = aNow + base::Duration(aLimit);
  for (;;) {
    flush(aNow);
    aNow = std::chrono::steady_clock::now();
    {
      std::lock_guard lock(mMutex);
      if (mPending.empty() || aNow >= until) {
        return;
      }
    }
    pollfd descriptor{ .fd = mDescriptor, .events = POLLOUT, .revents = 0 };
    auto wait = std::chrono::ceil<base::Milliseconds>(until - aNow);
    if (::poll(&descriptor, 1, static_cast<int>(wait.count())) < 0 && errno != EINTR) {
      return;
    }
    if ((descriptor.revents & (POLLERR | POLLNVAL)) != 0) {
      return; // Nobody reads the lines any more.
    }
  }
}

uint64_t EventLog::dropped(EventClass aClass) const
{
  std::lock_guard lock(mMutex);
  return mDropped[classIndex(aClass)];
}

uint64_t EventLog::writtenBytes() const
{
  std::lock_guard lock(mMutex);
  return mWrittenBytes;
}

} // namespace boragepitch::telemetry
