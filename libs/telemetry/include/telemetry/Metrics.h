#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/Time.h"

namespace boragepitch::telemetry {

/** Monotonic counter. Lock-free. */
class Counter
{
public:
  void add(uint64_t aBy = 1) { mValue.fetch_add(aBy, std::memory_order_relaxed); }
  uint64_t value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<uint64_t> mValue{ 0 };
};

/** Value that can rise and fall. Lock-free. */
class Gauge
{
public:
  void set(int64_t aValue) { mValue.store(aValue, std::memory_order_relaxed); }
  void add(int64_t aBy) { mValue.fetch_add(aBy, std::memory_order_relaxed); }
  int64_t value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<int64_t> mValue{ 0 };
};

/**
 * Distribution of durations from 10 microseconds to 100 seconds, 10 buckets per decade, in a
 * Boost.Histogram with thread-safe cells. Recording is lock-free.
 */
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();

  void record(base::Duration aDuration);
  uint64_t count() const;
  double sumSeconds() const;
  /** Upper bound in seconds of the bucket that holds the quantile aQuantile in [0, 1]; 0 when
   * empty. */
  double quantileSeconds(double aQuantile) const;
  /** Pairs of upper bound in seconds and cumulative count, in rising order; the last bound is
   * infinity. */
  std::vector<std::pair<double, uint64_t>> cumulative() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/**
 * The metrics of one process, by name and optional label text such as zone="atl". References stay
 * valid for the lifetime of the registry. Look-ups take a lock, so hot paths should keep the
 * reference.
 */
class Registry
{
public:
  Registry();
  ~Registry();

  Counter& counter(const std::string& aName,
                   const std::string& aHelp,
                   const std::string& aLabels = "");
  Gauge& gauge(const std::string& aName, const std::string& aHelp, const std::string& aLabels = "");
  LatencyHistogram& histogram(const std::string& aName,
                              const std::string& aHelp,
                              const std::string& aLabels = "");
  /** All metrics in the text exposition format that scrapers read. Names should end with their unit
   * (_seconds, _bytes, _total). */
  std::string exposition() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace boragepitch::telemetry
