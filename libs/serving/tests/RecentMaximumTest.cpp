#define BOOST_TEST_MODULE serving_recent_maximum
#include <boost/test/unit_test.hpp>

#include "serving/RecentMaximum.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

// Guards against a delay that is forgotten at once, and against one that is remembered for good.
BOOST_AUTO_TEST_CASE(remembersForOneToTwoIntervals)
{
  const base::TimePoint start{ 1h };
  RecentMaximum maximum(2500ms);
  BOOST_TEST(!maximum.value().has_value());
  maximum.observe(400ms, start);
  for (auto at = 50ms; at <= 10000ms; at += 50ms) {
    maximum.observe(1ms, start + at);
    if (at <= 2500ms) {
      BOOST_TEST((maximum.value() == 400ms));
    } else if (at > 5100ms) {
      BOOST_TEST((maximum.value() == 1ms));
    }
  }
  // A gap without observations, as after a suspension.
  maximum.observe(300ms, start + 1min);
  maximum.observe(2ms, start + 2min);
  BOOST_TEST((maximum.value() == 2ms));
}
