#define BOOST_TEST_MODULE telemetry
#include <boost/test/unit_test.hpp>

#include <thread>

#include "telemetry/Log.h"
#include "telemetry/Metrics.h"

using namespace boragepitch;
using namespace std::chrono_literals;

// Guards against values that break the key=value form of a line.
BOOST_AUTO_TEST_CASE(logValuesAreQuoted)
{
  BOOST_TEST(telemetry::formatEvent("start", { { "a", "b" }, { "c", "d \"e\"\n" } }) ==
             "event=start a=b c=\"d \\\"e\\\" \"");
}

// Guards against lost counts when threads record at once.
BOOST_AUTO_TEST_CASE(histogramCountsFromManyThreads)
{
  telemetry::LatencyHistogram histogram;
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < 1000; ++j) {
        histogram.record(10ms);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  BOOST_TEST(histogram.count() == 4000U);
  BOOST_TEST(histogram.quantileSeconds(0.5) >= 0.01);
  BOOST_TEST(histogram.quantileSeconds(0.5) <= 0.0126);
  BOOST_TEST(histogram.sumSeconds() == 40, boost::test_tools::tolerance(1e-6));
}

// Guards against dropping durations outside the range of the buckets.
BOOST_AUTO_TEST_CASE(histogramKeepsOutliers)
{
  telemetry::LatencyHistogram histogram;
  histogram.record(0s);
  histogram.record(1000s);
  BOOST_TEST(histogram.count() == 2U);
}

// Guards against an exposition that scrapers cannot parse.
BOOST_AUTO_TEST_CASE(expositionHasTypesLabelsAndBuckets)
{
  telemetry::Registry registry;
  registry.counter("bp_requests_total", "Requests.", "zone=\"atl\"").add(3);
  registry.gauge("bp_running", "Running requests.").set(-1);
  registry.histogram("bp_latency_seconds", "Latency.").record(1ms);
  std::string text = registry.exposition();
  BOOST_TEST(text.find("# TYPE bp_requests_total counter\nbp_requests_total{zone=\"atl\"} 3\n") !=
             std::string::npos);
  BOOST_TEST(text.find("bp_running -1\n") != std::string::npos);
  BOOST_TEST(text.find("bp_latency_seconds_bucket{le=\"+Inf\"} 1\n") != std::string::npos);
  BOOST_TEST(text.find("bp_latency_seconds_count 1\n") != std::string::npos);
}
