#include "stores/SourceProgress.h"

namespace boragepitch::stores {

namespace {
/** Time in which a process must receive kProgressBytes. Its first bytes come behind those that the
 * link already carries for other processes: up to 0.5 s for six of them at 25 Mbit/s. */
constexpr base::Milliseconds kProgressTime{ 700 };
constexpr uint64_t kProgressBytes = 16 << 10;
/** A process receives a change once, and so does each of those that it waits for: three levels of
 * processes at 330 entries. */
constexpr uint64_t kMaxGain = 4;
} // namespace

SourceProgress::SourceProgress(uint64_t aAnnouncedBytes, base::TimePoint aNow)
  : mAnnouncedBytes(aAnnouncedBytes)
  , mProgressAt(aNow)
{
}

uint64_t SourceProgress::observe(uint64_t aReceived, base::TimePoint aNow)
{
  // The count falls when the process starts anew.
  uint64_t gain = mHasReport && aReceived > mReceived ? aReceived - mReceived : 0;
  mHasReport = true;
  mReceived = aReceived;
  mGained += gain;
  if (mGained >= mGainedAtProgress + kProgressBytes) {
    mGainedAtProgress = mGained;
    mProgressAt = aNow;
  }
  return gain;
}

bool SourceProgress::hasStalled(base::TimePoint aNow) const
{
  return aNow - mProgressAt > base::Duration(kProgressTime);
}

bool SourceProgress::isInVain() const
{
  return mAnnouncedBytes > 0 && mGained > kMaxGain * mAnnouncedBytes;
}

} // namespace boragepitch::stores
