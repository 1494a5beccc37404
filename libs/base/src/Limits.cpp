#include "base/Limits.h"

#include <algorithm>

namespace boragepitch::base {

TokenBucket::TokenBucket(double aRate, double aBurst, TimePoint aNow)
  : mRate(aRate)
  , mBurst(aBurst)
  , mLevel(aBurst)
  , mUpdated(aNow)
{
}

double TokenBucket::levelAt(TimePoint aNow) const
{
  if (aNow <= mUpdated) {
    return mLevel;
  }
  double elapsed = std::chrono::duration<double>(aNow - mUpdated).count();
  return std::min(mBurst, mLevel + elapsed * mRate);
}

bool TokenBucket::tryTake(double aUnits, TimePoint aNow)
{
  if (levelAt(aNow) <= 0) {
    return false;
  }
  takeAlways(aUnits, aNow);
  return true;
}

void TokenBucket::takeAlways(double aUnits, TimePoint aNow)
{
  mLevel = levelAt(aNow) - aUnits;
  mUpdated = std::max(mUpdated, aNow);
}

Duration TokenBucket::timeUntilAvailable(TimePoint aNow) const
{
  double level = levelAt(aNow);
  if (level > 0) {
    return Duration::zero();
  }
  // The extra microsecond makes up for rounding down, after which the level might not be positive
  // yet.
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-level / mRate)) +
         std::chrono::microseconds(1);
}

void TokenBucket::setRate(double aRate, TimePoint aNow)
{
  mLevel = levelAt(aNow);
  mUpdated = std::max(mUpdated, aNow);
  mRate = aRate;
}

Backoff::Backoff(Duration aBase, Duration aCap)
  : mBase(aBase)
  , mCap(aCap)
{
}

Duration Backoff::next(Rng& aRng)
{
  static constexpr uint32_t kMaxShift = 20;
  Duration ceiling =
    std::min<Duration>(mCap, Duration(mBase * (1LL << std::min(mFailures, kMaxShift))));
  ++mFailures;
  return Duration(std::uniform_int_distribution<Duration::rep>(0, ceiling.count())(aRng));
}

RetryBudget::RetryBudget(double aRatio, double aReserve)
  : mRatio(aRatio)
  , mReserve(aReserve)
  , mBalance(aReserve)
{
}

void RetryBudget::recordFirstTry()
{
  // Without the cap, a long period without retries would save up budget for a retry storm.
  mBalance = std::min(mBalance + mRatio, 10 * mReserve + 10 * mRatio);
}

bool RetryBudget::tryRetry()
{
  if (mBalance < 1) {
    return false;
  }
  mBalance -= 1;
  return true;
}

} // namespace boragepitch::base
