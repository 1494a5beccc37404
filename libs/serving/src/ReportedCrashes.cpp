#include "serving/ReportedCrashes.h"

#include <algorithm>

namespace boragepitch::serving {

namespace {
/** Bytes that an endpoint sent before it crashed may arrive this long after the report. */
constexpr base::Milliseconds kMaxTransit{ 250 };
/** An endpoint that crashed is back after seconds, and the list may name its former start time for
 * a while: later answers may be those of its next start. */
constexpr base::Milliseconds kMaxReportAge{ 2000 };
} // namespace

void ReportedCrashes::add(const CrashEvidence& aEvidence, base::TimePoint aNow)
{
  std::erase_if(mReports, [&](const Report& aReport) {
    return aNow - aReport.at > base::Duration(kMaxReportAge);
  });
  if (mReports.size() >= mMaxReports) {
    mReports.erase(mReports.begin());
  }
  mReports.push_back({ aEvidence, aNow });
}

std::vector<CrashEvidence> ReportedCrashes::refute(std::string_view aEndpoint,
                                                   base::TimePoint aOpenedAt,
                                                   base::TimePoint aNow)
{
  std::vector<CrashEvidence> refuted;
  std::erase_if(mReports, [&](const Report& aReport) {
    auto age = aNow - aReport.at;
    bool isRefuted = aReport.evidence.endpoint == aEndpoint && aOpenedAt < aReport.at &&
                     age > base::Duration(kMaxTransit) && age <= base::Duration(kMaxReportAge);
    if (isRefuted) {
      refuted.push_back(aReport.evidence);
    }
    return isRefuted || age > base::Duration(kMaxReportAge);
  });
  return refuted;
}

void ReportedCrashes::remove(const CrashEvidence& aEvidence)
{
  std::erase_if(mReports, [&](const Report& aReport) {
    return aReport.evidence.endpoint == aEvidence.endpoint &&
           aReport.evidence.fingerprint == aEvidence.fingerprint;
  });
}

} // namespace boragepitch::serving
