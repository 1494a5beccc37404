#include "serving/VersionSchedule.h"

#include <algorithm>

namespace boragepitch::serving {

namespace {
/** Versions kept; far more than can wait for their enforcement at once. */
constexpr size_t kMaxVersions = 64;
} // namespace

bool VersionSchedule::declare(uint64_t aVersion, base::TimePoint aEnforceFrom)
{
  auto [entry, isNew] = mEnforceFrom.emplace(aVersion, aEnforceFrom);
  if (!isNew && entry->second <= aEnforceFrom) {
    return false;
  }
  entry->second = aEnforceFrom;
  if (mEnforceFrom.size() > kMaxVersions) {
    mEnforceFrom.erase(mEnforceFrom.begin());
  }
  return true;
}

uint64_t VersionSchedule::required(base::TimePoint aNow) const
{
  auto isEnforced = [&](const auto& aEntry) { return aNow >= aEntry.second; };
  auto newest = std::find_if(mEnforceFrom.rbegin(), mEnforceFrom.rend(), isEnforced);
  return newest == mEnforceFrom.rend() ? 0 : newest->first;
}

std::optional<DueVersion> VersionSchedule::next(base::TimePoint aNow) const
{
  std::optional<DueVersion> next;
  for (auto entry = mEnforceFrom.upper_bound(required(aNow)); entry != mEnforceFrom.end();
       ++entry) {
    if (!next || entry->second <= next->at) {
      next = DueVersion{ entry->first, entry->second };
    }
  }
  return next;
}

uint64_t VersionSchedule::newest() const
{
  return mEnforceFrom.empty() ? 0 : mEnforceFrom.rbegin()->first;
}

} // namespace boragepitch::serving
