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

bool CrashSuspects::record(const CrashEvidence& aEvidence, base::TimePoint aNow)
{
  std::erase_if(mRecords,
                [&](const auto& aEntry) { return aNow - aEntry.second.updatedAt > mMaxAge; });
  if (mRecords.size() >= mMaxFingerprints && !mRecords.contains(aEvidence.fingerprint)) {
    auto oldest =
      std::min_element(mRecords.begin(), mRecords.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.updatedAt < aRight.second.updatedAt;
      });
    mRecords.erase(oldest);
  }
  Record& record = mRecords[aEvidence.fingerprint];
  record.updatedAt = aNow;
  return record.crashedEndpoints.insert(aEvidence.endpoint).second;
}

void CrashSuspects::clear(uint64_t aFingerprint)
{
  mRecords.erase(aFingerprint);
}

bool CrashSuspects::isQuarantined(uint64_t aFingerprint, base::TimePoint aNow) const
{
  auto found = mRecords.find(aFingerprint);
  return found != mRecords.end() && aNow - found->second.updatedAt <= mMaxAge &&
         found->second.crashedEndpoints.size() >= kCrashesToQuarantine;
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
