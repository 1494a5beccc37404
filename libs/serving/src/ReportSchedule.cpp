#include "serving/ReportSchedule.h"

#include <algorithm>

namespace boragepitch::serving {

ReportSchedule::ReportSchedule(ReportIntervals aIntervals)
  : mIntervals(aIntervals)
{
}

base::Milliseconds ReportSchedule::nextRead(const std::optional<LoadReport>& aReport) const
{
  if (aReport && aReport->isSwitching) {
    return std::min(mIntervals.busy, mIntervals.switching);
  }
  bool isQuiet = aReport && aReport->queued == 0 && !aReport->switchesSoon;
  return isQuiet ? mIntervals.quiet : mIntervals.busy;
}

ReportAudience ReportSchedule::audience(const LoadReport& aReport,
                                        const std::string& aEncoded,
                                        base::TimePoint aNow)
{
  if (aEncoded == mSent && aNow - mSentAt < mIntervals.resend) {
    return ReportAudience::Nobody;
  }
  bool switchChanged = aReport.isSwitching != mWasSwitching;
  bool toAll = switchChanged || aNow - mSentToAllAt >= mIntervals.sparse;
  mSent = aEncoded;
  mSentAt = aNow;
  mSentToAllAt = toAll ? aNow : mSentToAllAt;
  mWasSwitching = aReport.isSwitching;
  return toAll ? ReportAudience::Everyone : ReportAudience::Users;
}

} // namespace boragepitch::serving
