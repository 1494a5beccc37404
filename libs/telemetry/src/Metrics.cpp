#include "telemetry/Metrics.h"

#include <cmath>
#include <limits>
#include <mutex>
#include <sstream>

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>

namespace boragepitch::telemetry {

namespace {

namespace bh = boost::histogram;

constexpr double kMinSeconds = 1e-5;
constexpr double kMaxSeconds = 100;
constexpr int kBucketCount = 70;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Cells = bh::dense_storage<bh::accumulators::thread_safe<uint64_t>>;
using Histogram = decltype(bh::make_histogram_with(Cells(), Axis(kBucketCount, 1e-5, 100)));

} // namespace

struct LatencyHistogram::Impl
{
  Histogram cells = bh::make_histogram_with(Cells(), Axis(kBucketCount, kMinSeconds, kMaxSeconds));
  std::atomic<uint64_t> nanoseconds{ 0 };
};

LatencyHistogram::LatencyHistogram()
  : mImpl(std::make_unique<Impl>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(base::Duration aDuration)
{
  auto nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(aDuration).count();
  nanoseconds = nanoseconds < 0 ? 0 : nanoseconds;
  mImpl->cells(static_cast<double>(nanoseconds) * 1e-9);
  mImpl->nanoseconds.fetch_add(static_cast<uint64_t>(nanoseconds), std::memory_order_relaxed);
}

std::vector<std::pair<double, uint64_t>> LatencyHistogram::cumulative() const
{
  std::vector<std::pair<double, uint64_t>> buckets;
  uint64_t total = 0;
  for (int i = -1; i <= kBucketCount; ++i) {
    total += static_cast<uint64_t>(mImpl->cells.at(i));
    double bound = std::numeric_limits<double>::infinity();
    if (i < kBucketCount) {
      bound = mImpl->cells.axis().value(i + 1);
    }
    buckets.emplace_back(bound, total);
  }
  return buckets;
}

uint64_t LatencyHistogram::count() const
{
  return cumulative().back().second;
}

double LatencyHistogram::sumSeconds() const
{
  return static_cast<double>(mImpl->nanoseconds.load(std::memory_order_relaxed)) * 1e-9;
}

double LatencyHistogram::quantileSeconds(double aQuantile) const
{
  auto buckets = cumulative();
  uint64_t total = buckets.back().second;
  if (total == 0) {
    return 0;
  }
  auto rank = static_cast<uint64_t>(std::ceil(aQuantile * static_cast<double>(total)));
  for (const auto& [bound, count] : buckets) {
    if (count >= rank && count > 0) {
      return std::isinf(bound) ? kMaxSeconds : bound;
    }
  }
  return kMaxSeconds;
}

struct Registry::Impl
{
  template<typename Metric>
  struct Family
  {
    std::string help;
    std::map<std::string, std::unique_ptr<Metric>> byLabels;
  };

  template<typename Metric>
  Metric& findOrCreate(std::map<std::string, Family<Metric>>& aFamilies,
                       const std::string& aName,
                       const std::string& aHelp,
                       const std::string& aLabels)
  {
    std::lock_guard lock(mutex);
    Family<Metric>& family = aFamilies[aName];
    family.help = aHelp;
    auto& metric = family.byLabels[aLabels];
    if (!metric) {
      metric = std::make_unique<Metric>();
    }
    return *metric;
  }

  mutable std::mutex mutex;
  std::map<std::string, Family<Counter>> counters;
  std::map<std::string, Family<Gauge>> gauges;
  std::map<std::string, Family<LatencyHistogram>> histograms;
};

Registry::Registry()
  : mImpl(std::make_unique<Impl>())
{
}

Registry::~Registry() = default;

Counter& Registry::counter(const std::string& aName,
                           const std::string& aHelp,
                           const std::string& aLabels)
{
  return mImpl->findOrCreate(mImpl->counters, aName, aHelp, aLabels);
}

Gauge& Registry::gauge(const std::string& aName,
                       const std::string& aHelp,
                       const std::string& aLabels)
{
  return mImpl->findOrCreate(mImpl->gauges, aName, aHelp, aLabels);
}

LatencyHistogram& Registry::histogram(const std::string& aName,
                                      const std::string& aHelp,
                                      const std::string& aLabels)
{
  return mImpl->findOrCreate(mImpl->histograms, aName, aHelp, aLabels);
}

namespace {

std::string labelBlock(const std::string& aLabels)
{
  return aLabels.empty() ? "" : "{" + aLabels + "}";
}

template<typename Families>
void writeValues(std::ostream& aOut, const Families& aFamilies, const char* aType)
{
  for (const auto& [name, family] : aFamilies) {
    aOut << "# HELP " << name << " " << family.help << "\n# TYPE " << name << " " << aType << "\n";
    for (const auto& [labels, metric] : family.byLabels) {
      aOut << name << labelBlock(labels) << " " << metric->value() << "\n";
    }
  }
}

void writeHistogram(std::ostream& aOut,
                    const std::string& aName,
                    const std::string& aLabels,
                    const LatencyHistogram& aHistogram)
{
  std::string prefix = aLabels.empty() ? "" : aLabels + ",";
  for (const auto& [bound, count] : aHistogram.cumulative()) {
    aOut << aName << "_bucket{" << prefix << "le=\"";
    if (std::isinf(bound)) {
      aOut << "+Inf";
    } else {
      aOut << bound;
    }
    aOut << "\"} " << count << "\n";
  }
  aOut << aName << "_sum" << labelBlock(aLabels) << " " << aHistogram.sumSeconds() << "\n";
  aOut << aName << "_count" << labelBlock(aLabels) << " " << aHistogram.count() << "\n";
}

} // namespace

std::string Registry::exposition() const
{
  std::ostringstream out;
  std::lock_guard lock(mImpl->mutex);
  writeValues(out, mImpl->counters, "counter");
  writeValues(out, mImpl->gauges, "gauge");
  for (const auto& [name, family] : mImpl->histograms) {
    out << "# HELP " << name << " " << family.help << "\n# TYPE " << name << " histogram\n";
    for (const auto& [labels, histogram] : family.byLabels) {
      writeHistogram(out, name, labels, *histogram);
    }
  }
  return out.str();
}

} // namespace boragepitch::telemetry
