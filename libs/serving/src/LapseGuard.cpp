#include "serving/LapseGuard.h"

#include <algorithm>

namespace boragepitch::serving {

namespace {
/** Entries are taken to have lapsed when more than this share of the list is missing. Far fewer
 * leave on their own during an outage. */
constexpr double kMinLapsedShare = 0.5;
} // namespace

LapseGuard::LapseGuard(base::Milliseconds aGrace)
  : mGrace(aGrace)
{
}

void LapseGuard::listRegained(size_t aKnown, base::TimePoint aNow)
{
  mRegainedAt = aNow;
  mKnown = aKnown;
  mMissing.clear();
}

void LapseGuard::listRestored(base::TimePoint aNow)
{
  mRestoredAt = aNow;
}

void LapseGuard::markListed(const std::string& aId)
{
  mPendingRemovals.erase(aId);
  mMissing.erase(aId);
}

std::set<std::string> LapseGuard::delayRemovals(const std::set<std::string>& aMissing,
                                                Source aSource,
                                                base::TimePoint aNow)
{
  for (const std::string& id : aMissing) {
    mPendingRemovals.erase(id);
  }
  // What is removed from a restored list was written again, or lapsed, since.
  if (aSource == Source::WholeList && mRestoredAt && aNow - *mRestoredAt < mGrace) {
    for (const std::string& id : aMissing) {
      mPendingRemovals.emplace(id, *mRestoredAt + mGrace);
    }
    return aMissing;
  }
  if (!mRegainedAt || aNow - *mRegainedAt >= mGrace) {
    return {};
  }
  mMissing.insert(aMissing.begin(), aMissing.end());
  if (static_cast<double>(mMissing.size()) <= kMinLapsedShare * static_cast<double>(mKnown)) {
    return {};
  }
  for (const std::string& id : aMissing) {
    mPendingRemovals.emplace(id, *mRegainedAt + mGrace);
  }
  return aMissing;
}

std::optional<base::TimePoint> LapseGuard::nextDueTime() const
{
  std::optional<base::TimePoint> next;
  for (const auto& [id, at] : mPendingRemovals) {
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

std::vector<std::string> LapseGuard::takeDueRemovals(base::TimePoint aNow)
{
  std::vector<std::string> ids;
  for (auto entry = mPendingRemovals.begin(); entry != mPendingRemovals.end();) {
    if (aNow < entry->second) {
      ++entry;
      continue;
    }
    ids.push_back(entry->first);
    entry = mPendingRemovals.erase(entry);
  }
  return ids;
}

} // namespace boragepitch::serving
