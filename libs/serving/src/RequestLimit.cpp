#include "serving/RequestLimit.h"

#include <algorithm>
#include <cmath>

namespace boragepitch::serving {

namespace {

/** Entries that share a limit near zero; each request a second admits one more. In four seconds the
 * platform tolerates half of the limit, two requests for each one a second, and five more: the
 * sharers exceed the limit by one request each and by kCredit of the limit at most. */
constexpr size_t kMinSharers = 4;
/** Time without requests that an entry may catch up on. */
constexpr base::Milliseconds kCredit{ 500 };
/** Bounds that prevent an overflow: the interval of the lower one is above kMaxInterval, and no
 * deployment has as many entries as would share the upper one. */
constexpr double kMinPerSecond = 0.01;
constexpr double kMaxPerSecond = 1e6;
/** Longest time between the requests of one that shares the limit, however low: the endpoint tells
 * the end of the limit in answers only. Longer than the time in which the platform counts. */
constexpr base::Milliseconds kMaxInterval{ 5000 };
/** Time between the requests of all entries that do not share the limit. */
constexpr base::Milliseconds kOutsiderInterval{ 20000 };
/** Smaller changes of the limit are not worth a log line: it may differ in every answer. */
constexpr double kNotableShare = 0.1;

bool differNotably(std::optional<double> aLeft, std::optional<double> aRight)
{
  if (!aLeft || !aRight) {
    return aLeft.has_value() != aRight.has_value();
  }
  return std::abs(*aLeft - *aRight) > kNotableShare * std::max(*aLeft, *aRight);
}

} // namespace

bool RequestLimit::record(std::optional<double> aPerSecond,
                          base::TimePoint aSentAt,
                          base::TimePoint aNow)
{
  auto before = mPerSecond;
  if (!aPerSecond) {
    // Other answers may have been written before the limit was named.
    if (mPerSecond && aSentAt > mNamedAt) {
      mPerSecond.reset();
    }
    return differNotably(before, mPerSecond);
  }
  if (!mPerSecond) {
    mSince = aNow;
    mUsedUntil = aNow;
  }
  bool isNewest = !mPerSecond || aSentAt >= mSentAt;
  mPerSecond = isNewest ? *aPerSecond : std::min(*mPerSecond, *aPerSecond);
  mSentAt = std::max(mSentAt, aSentAt);
  mNamedAt = aNow;
  return differNotably(before, mPerSecond);
}

size_t RequestLimit::sharersOf(const LimitSharers& aSharers) const
{
  auto wanted = kMinSharers + static_cast<size_t>(std::min(*mPerSecond, kMaxPerSecond));
  return std::min(aSharers.regular, wanted);
}

base::Duration RequestLimit::intervalOf(size_t aSharers) const
{
  std::chrono::duration<double> interval(static_cast<double>(aSharers) /
                                         std::max(*mPerSecond, kMinPerSecond));
  return std::min(std::chrono::duration_cast<base::Duration>(interval),
                  base::Duration(kMaxInterval));
}

void RequestLimit::recordSend(const LimitSharers& aSharers, base::TimePoint aNow)
{
  mLastSend = aNow;
  if (mPerSecond) {
    mUsedUntil = std::max(mUsedUntil, aNow) + intervalOf(sharersOf(aSharers));
  }
}

base::TimePoint RequestLimit::nextSend(const LimitSharers& aSharers) const
{
  size_t sharers = sharersOf(aSharers);
  if (aSharers.rank < sharers) {
    auto interval = intervalOf(sharers);
    if (interval >= kMaxInterval || mLastSend <= mSince) {
      return mLastSend + interval;
    }
    return mUsedUntil - base::Duration(kCredit);
  }
  base::Duration turn(kOutsiderInterval);
  if (mLastSend <= mSince) {
    // All entries learn of the limit at about the same time.
    return mSince + turn * (1 + aSharers.rank - sharers);
  }
  return mLastSend + turn * std::max<size_t>(1, aSharers.all - std::min(aSharers.all, sharers));
}

base::Duration RequestLimit::waitTime(const LimitSharers& aSharers, base::TimePoint aNow) const
{
  return mPerSecond ? std::max(base::Duration(0), nextSend(aSharers) - aNow) : base::Duration(0);
}

base::Duration RequestLimit::retryTime(const LimitSharers& aSharers, base::TimePoint aNow) const
{
  // An entry outside the division waits for minutes, while the others take requests.
  return mPerSecond ? std::min(waitTime(aSharers, aNow), intervalOf(sharersOf(aSharers)))
                    : base::Duration(0);
}

} // namespace boragepitch::serving
