#pragma once

#include <cstdint>

#include "base/Rng.h"
#include "base/Time.h"

namespace boragepitch::base {

/**
 * Token bucket over a rate in units a second. Not thread-safe.
 * High-priority users may drive the level below zero; low-priority users then wait.
 */
class TokenBucket
{
public:
  /** @param aRate units a second, positive; @param aBurst largest level, positive. */
  TokenBucket(double aRate, double aBurst, TimePoint aNow);

  /** Takes aUnits when the level is positive (it may go negative by one request); false otherwise.
   */
  bool tryTake(double aUnits, TimePoint aNow);
  /** Takes aUnits unconditionally. */
  void takeAlways(double aUnits, TimePoint aNow);
  /** Time until tryTake can succeed. */
  Duration timeUntilAvailable(TimePoint aNow) const;
  void setRate(double aRate, TimePoint aNow);
  double rate() const { return mRate; }

private:
  double levelAt(TimePoint aNow) const;

  double mRate;
  double mBurst;
  double mLevel;
  TimePoint mUpdated;
};

/** Exponential backoff with full jitter. Not thread-safe. */
class Backoff
{
public:
  Backoff(Duration aBase, Duration aCap);

  /** Delay before the next try, uniform in [0, min(cap, base * 2^failures)], and counts one
   * failure. */
  Duration next(Rng& aRng);
  void reset() { mFailures = 0; }
  uint32_t failures() const { return mFailures; }

private:
  Duration mBase;
  Duration mCap;
  uint32_t mFailures = 0;
};

/**
 * Allows retries in proportion to first tries, so that retries cannot multiply load.
 * Not thread-safe.
 */
class RetryBudget
{
public:
  /** @param aRatio retries allowed for each first try; @param aReserve retries allowed with no
   * traffic. */
  RetryBudget(double aRatio, double aReserve);

  void recordFirstTry();
  /** True and spends one retry when the budget allows it. */
  bool tryRetry();

private:
  double mRatio;
  double mReserve;
  double mBalance;
};

} // namespace boragepitch::base
