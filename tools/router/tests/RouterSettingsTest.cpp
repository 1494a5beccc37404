#define BOOST_TEST_MODULE router_settings
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <regex>
#include <sstream>

#include "LoaderSettings.h"
#include "RouterSettings.h"

using namespace boragepitch;
using namespace std::chrono_literals;

namespace {

std::string replaced(const std::string& aText, const char* aPattern, const std::string& aValue)
{
  return std::regex_replace(aText, std::regex(aPattern), aValue);
}

/** The template of a program, with values for the fields that the platform gives to any machine. */
std::string filledIn(const char* aTemplate)
{
  std::ifstream file(aTemplate);
  std::ostringstream content;
  content << file.rdbuf();
  std::string text =
    replaced(content.str(), R"(\{\{#zones\}\}[\s\S]*\{\{/zones\}\})", "north = region");
  text = replaced(text, R"(\{\{(listen|platform)\.[a-z]+\}\})", "127.0.0.1:7000");
  text = replaced(text, R"(\{\{ip\}\})", "127.0.0.1");
  text = replaced(text, R"(\{\{internal_port_range\.[0-9]\}\})", "7001");
  text = replaced(text, R"(\{\{app\}\})", "127.0.0.1:7002");
  return replaced(text, R"(\{\{(node_name|zone|region|backend)\}\})", "n");
}

/** The settings file that the platform makes of our template.
 * @param aSeconds value of all bounds in seconds. */
std::string settingsFile(double aSeconds)
{
  std::ostringstream seconds;
  seconds << aSeconds;
  std::string text =
    replaced(filledIn(BP_ROUTER_TEMPLATE), R"(\{\{bounds\.[a-z_]+_s\}\})", seconds.str());
  text = replaced(text, R"(\{\{bounds\.[a-z_]+_ms\}\})", "2000");
  text = replaced(text, R"(\{\{limits\.memory_mb\}\})", "260");
  text = replaced(text, R"(\{\{limits\.max_fds\}\})", "4200");
  return replaced(text, R"(\{\{[^}]+\}\})", "1");
}

settings::Settings settingsWith(double aSeconds)
{
  auto parsed = tools::routerSchema().parse(settingsFile(aSeconds), "router.ini");
  BOOST_REQUIRE_MESSAGE(parsed.has_value(),
                        (parsed ? std::string() : parsed.error().front().describe()));
  return *parsed;
}

} // namespace

// Guards against a stop that lasts until the platform kills the process, which cuts requests in
// flight without an answer (LOST).
BOOST_AUTO_TEST_CASE(aStopEndsBeforeTheProcessIsKilled)
{
  for (auto gracePeriod : { 1000ms, 2500ms, 5000ms, 8000ms, 30000ms }) {
    BOOST_TEST_CONTEXT("grace period of " << gracePeriod.count() << " ms")
    {
      double seconds = std::chrono::duration<double>(gracePeriod).count();
      auto settings = settingsWith(seconds);
      auto read = tools::milliseconds(settings.number("leave.grace_period"));
      BOOST_TEST((read == gracePeriod));
      BOOST_TEST((tools::leaveLimit(read) < gracePeriod));
      BOOST_TEST((tools::leaveEndTime(read) > 0ms));
      BOOST_TEST((tools::leaveLimit(read) + tools::leaveEndTime(read) < gracePeriod));
      BOOST_TEST((tools::leaveLimit(read) >= gracePeriod * 3 / 4));
    }
  }
}

// Guards against a program that does not start because a bound of the platform has a fraction.
BOOST_AUTO_TEST_CASE(secondsMayHaveAFraction)
{
  BOOST_TEST((tools::milliseconds(settingsWith(2.5).number("retries.window")) == 2500ms));
}

// Guards against a program that does not start on a platform which names no limits and no bounds:
// their placeholders are rendered empty.
BOOST_AUTO_TEST_CASE(limitsAndBoundsMayBeEmpty)
{
  auto withoutValues = [](const char* aTemplate) {
    return replaced(filledIn(aTemplate), R"(\{\{(limits|bounds)\.[a-z_]+\}\})", "");
  };
  auto router = tools::routerSchema().parse(withoutValues(BP_ROUTER_TEMPLATE), "router.ini");
  BOOST_REQUIRE_MESSAGE(router.has_value(),
                        (router ? std::string() : router.error().front().describe()));
  BOOST_TEST(router->number("limits.memory") == 260);
  BOOST_TEST(router->integer("limits.descriptors") == 6300);
  auto loader = tools::loaderSchema().parse(withoutValues(BP_LOADER_TEMPLATE), "loader.ini");
  BOOST_REQUIRE_MESSAGE(loader.has_value(),
                        (loader ? std::string() : loader.error().front().describe()));
}

// Guards against a budget for callers that exceeds the memory of a machine whose platform names
// none.
BOOST_AUTO_TEST_CASE(heldBytesAreWithinTheMachinesMemory)
{
  size_t unknown = tools::heldBytes(260, 0);
  BOOST_TEST(tools::heldBytes(260, size_t{ 64 } << 30) == unknown);
  BOOST_TEST(tools::heldBytes(260, 112'000'000) == tools::heldBytes(112, 0));
  BOOST_TEST(tools::heldBytes(112, size_t{ 64 } << 30) == tools::heldBytes(112, 0));
}
