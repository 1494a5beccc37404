#include "routing/PoisonTracker.h"

#include <algorithm>

namespace boragepitch::routing {

namespace {

/** Crash ids kept per fingerprint; two make it poison. */
constexpr size_t kMaxCrashIds = 4;

} // namespace

PoisonTracker::PoisonTracker(size_t aMaxFingerprints, size_t aMaxPublished, base::Duration aMaxAge)
  : mMaxFingerprints(aMaxFingerprints)
  , mMaxPublished(aMaxPublished)
  , mMaxAge(aMaxAge)
{
}

Suspicion PoisonTracker::suspicion(std::string_view aFingerprint) const
{
  auto found = mRecords.find(aFingerprint);
  if (found == mRecords.end()) {
    return Suspicion::None;
  }
  size_t crashes = found->second.crashes.size();
  if (crashes >= 2) {
    return Suspicion::Poison;
  }
  return crashes == 1 ? Suspicion::Suspect : Suspicion::None;
}

PoisonTracker::Record& PoisonTracker::touchRecord(const std::string& aFingerprint,
                                                  base::TimePoint aNow)
{
  if (mRecords.size() >= mMaxFingerprints && !mRecords.contains(aFingerprint)) {
    auto oldest =
      std::min_element(mRecords.begin(), mRecords.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.updatedAt < aRight.second.updatedAt;
      });
    mRecords.erase(oldest);
  }
  Record& record = mRecords[aFingerprint];
  record.updatedAt = aNow;
  return record;
}

void PoisonTracker::publish(control::Suspect aSuspect, base::TimePoint aNow)
{
  mPublished.insert(mPublished.begin(), { std::move(aSuspect), aNow });
  if (mPublished.size() > mMaxPublished) {
    mPublished.pop_back();
  }
}

void PoisonTracker::recordCrash(const std::string& aFingerprint,
                                const std::string& aCrashId,
                                base::TimePoint aNow)
{
  Record& entry = touchRecord(aFingerprint, aNow);
  if (entry.crashes.size() < kMaxCrashIds && entry.crashes.insert(aCrashId).second) {
    publish({ aFingerprint, aCrashId }, aNow);
  }
}

bool PoisonTracker::recordCompletion(const std::string& aFingerprint, base::TimePoint aNow)
{
  auto found = mRecords.find(aFingerprint);
  // A request that was in flight at two crashes stays poison even when an earlier attempt completes
  // late.
  if (found == mRecords.end() || found->second.crashes.size() != 1) {
    return false;
  }
  clear(aFingerprint, found->second, aNow);
  return true;
}

bool PoisonTracker::recordProgress(const std::string& aFingerprint, base::TimePoint aNow)
{
  auto found = mRecords.find(aFingerprint);
  if (found == mRecords.end() || found->second.crashes.size() != 1 ||
      !found->second.cleared.empty()) {
    return false;
  }
  clear(aFingerprint, found->second, aNow);
  return true;
}

bool PoisonTracker::isCleared(std::string_view aFingerprint, const std::string& aCrashId) const
{
  auto found = mRecords.find(aFingerprint);
  return found != mRecords.end() && found->second.cleared.contains(aCrashId);
}

void PoisonTracker::clear(const std::string& aFingerprint, Record& aRecord, base::TimePoint aNow)
{
  std::string crash = *aRecord.crashes.begin();
  aRecord.crashes.clear();
  aRecord.cleared.insert(crash);
  aRecord.updatedAt = aNow;
  std::erase_if(mPublished, [&](const Published& aEntry) {
    return aEntry.suspect.fingerprint == aFingerprint;
  });
  publish({ aFingerprint, std::string(kClearedPrefix) + crash }, aNow);
}

void PoisonTracker::learn(const control::Suspect& aSuspect, base::TimePoint aNow)
{
  bool clearing = aSuspect.crashId.starts_with(kClearedPrefix);
  std::string crash = clearing ? aSuspect.crashId.substr(kClearedPrefix.size()) : aSuspect.crashId;
  auto found = mRecords.find(aSuspect.fingerprint);
  if (found != mRecords.end()) {
    // Node records repeat known suspects; a repeat must not postpone the record's expiry.
    const Record& known = found->second;
    if (known.cleared.contains(crash) || (!clearing && known.crashes.contains(crash))) {
      return;
    }
  }
  Record& entry = touchRecord(aSuspect.fingerprint, aNow);
  if (!clearing) {
    if (entry.crashes.size() < kMaxCrashIds) {
      entry.crashes.insert(crash);
    }
    return;
  }
  if (entry.crashes.size() < 2) {
    entry.crashes.erase(crash);
  }
  if (entry.cleared.size() < kMaxCrashIds) {
    entry.cleared.insert(crash);
  }
}

std::vector<control::Suspect> PoisonTracker::published() const
{
  std::vector<control::Suspect> suspects;
  for (const Published& entry : mPublished) {
    suspects.push_back(entry.suspect);
  }
  return suspects;
}

bool PoisonTracker::expire(base::TimePoint aNow)
{
  std::erase_if(mRecords,
                [&](const auto& aEntry) { return aNow - aEntry.second.updatedAt > mMaxAge; });
  return std::erase_if(mPublished, [&](const Published& aEntry) {
           return aNow - aEntry.publishedAt > mMaxAge;
         }) > 0;
}

} // namespace boragepitch::routing
