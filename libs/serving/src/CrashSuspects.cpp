#include "serving/CrashSuspects.h"

#include <algorithm>

#include "base/Digest.h"

namespace boragepitch::serving {

namespace {
/** Number of crashes after which a request is quarantined. */
constexpr size_t kCrashesToQuarantine = 3;
} // namespace

CrashSuspects::CrashSuspects(size_t aMaxFingerprints, base::Duration aMaxAge)
  : mMaxFingerprints(aMaxFingerprints)
  , mMaxAge(aMaxAge)
{
}

CrashSuspects::Record& CrashSuspects::recordOf(uint64_t aFingerprint, base::TimePoint aNow)
{
  std::erase_if(mRecords,
                [&](const auto& aEntry) { return aNow - aEntry.second.updatedAt > mMaxAge; });
  if (mRecords.size() >= mMaxFingerprints && !mRecords.contains(aFingerprint)) {
    auto oldest =
      std::min_element(mRecords.begin(), mRecords.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.updatedAt < aRight.second.updatedAt;
      });
    mRecords.erase(oldest);
  }
  return mRecords[aFingerprint];
}

bool CrashSuspects::record(const CrashEvidence& aEvidence, base::TimePoint aNow)
{
  Record& record = recordOf(aEvidence.fingerprint, aNow);
  record.updatedAt = aNow;
  return record.crashedEndpoints.insert(aEvidence.endpoint).second;
}

bool CrashSuspects::recordCompletion(uint64_t aFingerprint, base::TimePoint aNow)
{
  // Requests without a record are not remembered: nearly all complete, and none is suspected.
  auto found = mRecords.find(aFingerprint);
  if (found == mRecords.end()) {
    return false;
  }
  bool wasSuspected = found->second.isAdopted || !found->second.crashedEndpoints.empty();
  found->second = { {}, false, aNow, aNow };
  return wasSuspected;
}

void CrashSuspects::retract(const CrashEvidence& aEvidence, base::TimePoint aNow)
{
  auto found = mRecords.find(aEvidence.fingerprint);
  if (found == mRecords.end()) {
    return;
  }
  Record& record = found->second;
  record.crashedEndpoints.erase(aEvidence.endpoint);
  if (record.crashedEndpoints.size() < kCrashesToQuarantine) {
    // A quarantine that others tell of rests on the same evidence.
    record.isAdopted = false;
    record.clearedAt = aNow;
  }
}

bool CrashSuspects::adopt(const QuarantinedRequest& aTold, base::TimePoint aNow)
{
  auto evidenceAt = aNow - base::Duration(aTold.evidenceAge);
  if (aTold.evidenceAge > mMaxAge || isQuarantined(aTold.fingerprint, aNow)) {
    return false;
  }
  Record& record = recordOf(aTold.fingerprint, aNow);
  if (record.clearedAt && *record.clearedAt >= evidenceAt) {
    return false;
  }
  record.isAdopted = true;
  record.updatedAt = std::max(record.updatedAt, evidenceAt);
  return true;
}

std::vector<QuarantinedRequest> CrashSuspects::quarantined(size_t aMaxRequests,
                                                           base::TimePoint aNow)
{
  std::vector<QuarantinedRequest> list;
  auto next = mRecords.lower_bound(mNextTold);
  for (size_t i = 0; i < mRecords.size() && list.size() < aMaxRequests; ++i, ++next) {
    next = next == mRecords.end() ? mRecords.begin() : next;
    const auto& [fingerprint, record] = *next;
    mNextTold = fingerprint + 1;
    if (isQuarantined(record, aNow)) {
      list.push_back(
        { fingerprint, std::chrono::duration_cast<base::Milliseconds>(aNow - record.updatedAt) });
    }
  }
  return list;
}

bool CrashSuspects::isQuarantined(const Record& aRecord, base::TimePoint aNow) const
{
  return aNow - aRecord.updatedAt <= mMaxAge &&
         (aRecord.isAdopted || aRecord.crashedEndpoints.size() >= kCrashesToQuarantine);
}

bool CrashSuspects::isQuarantined(uint64_t aFingerprint, base::TimePoint aNow) const
{
  auto found = mRecords.find(aFingerprint);
  return found != mRecords.end() && isQuarantined(found->second, aNow);
}

bool CrashSuspects::isSuspected(uint64_t aFingerprint, base::TimePoint aNow) const
{
  auto found = mRecords.find(aFingerprint);
  return found != mRecords.end() && aNow - found->second.updatedAt <= mMaxAge &&
         (found->second.isAdopted || !found->second.crashedEndpoints.empty());
}

uint64_t requestFingerprint(std::string_view aTarget,
                            std::string_view aCaller,
                            std::string_view aBody)
{
  uint64_t hash = base::fastHash(base::asBytes(aTarget));
  hash = base::fastHash(base::asBytes(aCaller), hash);
  return base::fastHash(base::asBytes(aBody), hash);
}

} // namespace boragepitch::serving
