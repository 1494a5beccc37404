#include "serving/GracefulStop.h"

#include <algorithm>

namespace boragepitch::serving {

namespace {
/** Time reserved at the end of a stop to write the last answers. */
constexpr base::Milliseconds kAnswerMargin{ 200 };
} // namespace

GracefulStop::GracefulStop(base::Duration aAcceptTime, base::Duration aLimit)
  : mAcceptTime(aAcceptTime)
  , mLimit(aLimit)
{
}

bool GracefulStop::start(base::TimePoint aSignalledAt)
{
  if (mStartedAt) {
    return false;
  }
  mStartedAt = aSignalledAt;
  return true;
}

std::optional<base::Duration> GracefulStop::elapsed(base::TimePoint aNow) const
{
  return mStartedAt ? std::optional(aNow - *mStartedAt) : std::nullopt;
}

bool GracefulStop::acceptsConnections(base::TimePoint aNow) const
{
  return !mStartedAt || aNow - *mStartedAt < mAcceptTime;
}

bool GracefulStop::isOver(base::TimePoint aNow) const
{
  return mStartedAt && aNow - *mStartedAt > mLimit;
}

base::TimePoint GracefulStop::answerBy() const
{
  return mStartedAt ? *mStartedAt + mLimit - base::Duration(kAnswerMargin) : base::TimePoint::max();
}

bool GracefulStop::admits(base::TimePoint aDeadline,
                          bool aMayRepeat,
                          std::optional<base::Duration> aExpected,
                          base::TimePoint aNow) const
{
  if (!mStartedAt || aDeadline <= answerBy()) {
    return true;
  }
  // Callers that come later know of the stop, or hear of it from this answer.
  bool mayBeCut = aMayRepeat && acceptsConnections(aNow);
  return mayBeCut && aExpected && aNow + *aExpected <= answerBy();
}

} // namespace boragepitch::serving
