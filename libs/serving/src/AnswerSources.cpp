#include "serving/AnswerSources.h"

#include <algorithm>
#include <cassert>

namespace boragepitch::serving {

namespace {
/** Time to the deadline below which a further send is not worthwhile. */
constexpr base::Milliseconds kMinTimeLeft{ 60 };
} // namespace

std::string_view toString(SendObstacle aObstacle)
{
  switch (aObstacle) {
    case SendObstacle::None:
      return "";
    case SendObstacle::TooManySends:
      return "sends";
    case SendObstacle::NoTime:
      return "no_time";
    case SendObstacle::Attempts:
      return "attempts";
  }
  return "";
}

SourceId AnswerSources::add(base::TimePoint aNow)
{
  mSources.push_back({ .id = ++mSends, .progressAt = aNow });
  return mSends;
}

std::vector<SourceId> AnswerSources::deliver(SourceId aSource, base::TimePoint aNow)
{
  auto found = std::ranges::find(mSources, aSource, &Source::id);
  assert(found != mSources.end());
  found->progressAt = aNow;
  found->hasDelivered = true;
  std::rotate(mSources.begin(), found, std::next(found));
  std::vector<SourceId> others;
  for (size_t i = 1; i < mSources.size(); ++i) {
    others.push_back(mSources[i].id);
  }
  return others;
}

void AnswerSources::resume(base::TimePoint aNow)
{
  if (!mSources.empty()) {
    mSources.front().progressAt = aNow;
  }
}

void AnswerSources::end(SourceId aSource, bool aMayHaveRun)
{
  auto removed =
    std::erase_if(mSources, [&](const Source& aOther) { return aOther.id == aSource; });
  mEndedRuns += removed > 0 && aMayHaveRun ? 1 : 0;
}

bool AnswerSources::isSilent(const Source& aSource, base::TimePoint aNow) const
{
  return aNow - aSource.progressAt >
         (aSource.hasDelivered ? mLimits.nextPartTimeout : mLimits.firstPartTimeout);
}

bool AnswerSources::areAllSilent(base::TimePoint aNow) const
{
  return !mSources.empty() && std::ranges::all_of(mSources, [&](const Source& aSource) {
    return isSilent(aSource, aNow);
  });
}

bool AnswerSources::isCurrentSilent(base::TimePoint aNow) const
{
  return !mSources.empty() && isSilent(mSources.front(), aNow);
}

SendObstacle AnswerSources::obstacleToSend(base::TimePoint aDeadline, base::TimePoint aNow) const
{
  return obstacleAfter(possibleRuns(), aDeadline, aNow);
}

SendObstacle AnswerSources::obstacleToReplaceCurrent(base::TimePoint aDeadline,
                                                     base::TimePoint aNow) const
{
  return obstacleAfter(possibleRuns() - 1, aDeadline, aNow);
}

SendObstacle AnswerSources::obstacleAfter(int aRuns,
                                          base::TimePoint aDeadline,
                                          base::TimePoint aNow) const
{
  if (mSends >= kMaxSends) {
    return SendObstacle::TooManySends;
  }
  if (aDeadline - aNow < kMinTimeLeft) {
    return SendObstacle::NoTime;
  }
  return aRuns > 0 && (!mLimits.mayRepeat || aRuns >= mLimits.maxAttempts) ? SendObstacle::Attempts
                                                                           : SendObstacle::None;
}

} // namespace boragepitch::serving
