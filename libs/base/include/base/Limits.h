#pragma once

#include <cstdint>

#include "base/Rng.h"
#include "base/Time.h"

namespace boragepitch::base {

/**
 * Token bucket that refills at a rate in units per second. Not thread-safe.
 * High-priority callers use takeAlways(), which may drive the level below zero; low-priority
 * callers use tryTake() and wait until the level is positive again.
 */
class TokenBucket
{
public:
  /** @param aRate units per second, positive; @param aBurst largest level, positive. */
  TokenBucket(double aRate, double aBurst, TimePoint aNow);

  /** Takes aUnits if the level is positive, even if that makes it negative; false otherwise. */
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

  /** Returns the delay before the next try, uniform in [0, min(cap, base * 2^failures)], and counts
   * one failure. */
  Duration next(Rng& aRng);
  void reset() { mFailures = 0; }
  uint32_t failures() const { return mFailures; }

private:
  Duration mBase;
  Duration mCap;
  uint32_t mFailures = 0;
};

/**
 * Limits retries to a fraction of first tries, so that retries cannot multiply the load.
 * Not thread-safe.
 */
class RetryBudget
{
public:
  /** @param aRatio retries allowed per first try; @param aReserve retries allowed before any first
   * try. */
  RetryBudget(double aRatio, double aReserve);

  void recordFirstTry();
  /** Spends one retry if the budget allows it; false otherwise. */
  bool tryRetry();

private:
  double mRatio;
  double mReserve;
  double mBalance;
};

} // namespace boragepitch::base
