#define BOOST_TEST_MODULE router_settings
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <regex>
#include <sstream>

#include "RouterSettings.h"

using namespace boragepitch;
using namespace std::chrono_literals;

namespace {

std::string replaced(const std::string& aText, const char* aPattern, const std::string& aValue)
{
  return std::regex_replace(aText, std::regex(aPattern), aValue);
}

/** The settings file that the platform makes of our template. */
std::string settingsFile(double aGracePeriodSeconds)
{
  std::ifstream file(BP_ROUTER_TEMPLATE);
  std::ostringstream content;
  content << file.rdbuf();
  std::string text = replaced(
    content.str(), R"(\{\{bounds\.grace_period_s\}\})", std::to_string(aGracePeriodSeconds));
  text = replaced(text, R"(\{\{#zones\}\}[\s\S]*\{\{/zones\}\})", "north = region");
  text = replaced(text, R"(\{\{(listen|platform)\.[a-z]+\}\})", "127.0.0.1:7000");
  text = replaced(text, R"(\{\{ip\}\})", "127.0.0.1");
  text = replaced(text, R"(\{\{bounds\.[a-z_]+_ms\}\})", "2000");
  return replaced(text, R"(\{\{[^}]+\}\})", "1");
}

} // namespace

// Guards against a stop that lasts until the platform kills the process, which cuts requests in
// flight without an answer (LOST).
BOOST_AUTO_TEST_CASE(aStopEndsBeforeTheProcessIsKilled)
{
  for (double seconds : { 1.0, 2.5, 5.0, 8.0, 30.0 }) {
    BOOST_TEST_CONTEXT("grace period of " << seconds << " s")
    {
      auto parsed = tools::routerSchema().parse(settingsFile(seconds), "router.ini");
      BOOST_REQUIRE_MESSAGE(parsed.has_value(),
                            (parsed ? std::string() : parsed.error().front().describe()));
      std::chrono::duration<double> gracePeriod(seconds);
      BOOST_TEST(parsed->number("leave.grace_period") == seconds);
      BOOST_TEST((tools::leaveLimit(gracePeriod) < gracePeriod));
      BOOST_TEST((tools::leaveLimit(gracePeriod) >= gracePeriod * 0.75));
    }
  }
}
