#include "serving/LeaveMemory.h"

namespace boragepitch::serving {

namespace {
/** Copies are some seconds old, and the store may be away for as long again. */
constexpr base::Milliseconds kMemoryTime{ 180000 };
/** Rows of endpoints that do not write lapse after three heartbeats; live ones write within two
 * seconds. */
constexpr base::Milliseconds kConfirmTime{ 10000 };
/** Bounds the memory; a fleet has hundreds of endpoints. */
constexpr size_t kMaxLeaves = 20000;
} // namespace

void LeaveMemory::record(const std::string& aId, Leave aLeave)
{
  if (mLeaves.size() >= kMaxLeaves / 2) {
    std::erase_if(mLeaves, [&](const auto& aEntry) {
      return aLeave.at - aEntry.second.at > base::Duration(kMemoryTime);
    });
  }
  if (mLeaves.size() < kMaxLeaves) {
    mLeaves.insert_or_assign(aId, aLeave);
  }
}

void LeaveMemory::recordDraining(const std::string& aId,
                                 uint64_t aStartTimeMs,
                                 base::TimePoint aNow)
{
  auto found = mLeaves.find(aId);
  bool isKnown =
    found != mLeaves.end() && !found->second.isRemoved && found->second.startTimeMs == aStartTimeMs;
  if (!isKnown) {
    record(aId, { aStartTimeMs, false, aNow });
  }
}

void LeaveMemory::recordRemoval(const std::string& aId, uint64_t aStartTimeMs, base::TimePoint aNow)
{
  record(aId, { aStartTimeMs, true, aNow });
}

LeaveMemory::Verdict LeaveMemory::judge(const EndpointRecord& aRecord, base::TimePoint aNow) const
{
  auto found = mLeaves.find(aRecord.id);
  if (!mRestoredAt || found == mLeaves.end() || found->second.at > *mRestoredAt ||
      aRecord.startTimeMs > found->second.startTimeMs ||
      *mRestoredAt - found->second.at > base::Duration(kMemoryTime)) {
    return Verdict::Valid;
  }
  if (!found->second.isRemoved) {
    return Verdict::Draining;
  }
  return aNow < confirmedBy() ? Verdict::Unconfirmed : Verdict::Valid;
}

base::TimePoint LeaveMemory::confirmedBy() const
{
  return mRestoredAt ? *mRestoredAt + base::Duration(kConfirmTime) : base::TimePoint::min();
}

} // namespace boragepitch::serving
