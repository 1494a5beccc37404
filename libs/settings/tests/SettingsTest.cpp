#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "settings/Settings.h"

using namespace boragepitch;

namespace {

settings::Schema schema()
{
  return settings::Schema::Builder()
    .text("node.id", "Name of this process.")
    .address("node.control", "Control address.", "127.0.0.1:7001")
    .integer("limit.cold", "Cold limit.", "requests", 1, 1024, 4)
    .duration("gossip.interval", "Gossip interval.", 10, 60000, 1000)
    .choice("log.level", "Level.", { "info", "debug" }, "info")
    .flag("x.on", "Flag.", false)
    .addresses("node.seeds", "Seeds.")
    .freeSection("keys", "Keys by id.", 16)
    .build();
}

} // namespace

// Guards against defaults and values being mixed up.
BOOST_AUTO_TEST_CASE(readsValuesAndDefaults)
{
  auto result = schema().parse("[node]\nid = a1 ; comment\nseeds = 127.0.0.1:1, 127.0.0.2:2\n"
                               "[limit]\ncold=7\n[keys]\nk1=0123456789abcdef\n",
                               "f.ini");
  BOOST_REQUIRE(result);
  BOOST_TEST(result->text("node.id") == "a1");
  BOOST_TEST(result->integer("limit.cold") == 7);
  BOOST_TEST(result->duration("gossip.interval").count() == 1000);
  BOOST_TEST(result->addresses("node.seeds").size() == 2U);
  BOOST_TEST(result->section("keys").at("k1") == "0123456789abcdef");
}

// Guards against reporting only the first error, or errors without line, key, range and unit.
BOOST_AUTO_TEST_CASE(reportsEveryErrorWithLineAndRange)
{
  auto result = schema().parse("[limit]\ncold = 5000\nwarm = 1\n[gossip]\ninterval = 1s\n"
                               "[log]\nlevel = loud\nlevel = info\n[keys]\nk=short\n",
                               "f.ini");
  BOOST_REQUIRE(!result);
  std::string all;
  for (const auto& error : result.error()) {
    all += error.describe() + "\n";
  }
  BOOST_TEST(result.error().size() == 7U);
  BOOST_TEST(
    all.find("f.ini:2 limit.cold: '5000' is not accepted; give integer from 1 to 1024 requests") !=
    std::string::npos);
  BOOST_TEST(all.find("f.ini:3 limit.warm: unknown key") != std::string::npos);
  BOOST_TEST(all.find("f.ini:5 gossip.interval") != std::string::npos);
  BOOST_TEST(all.find("60000 ms") != std::string::npos);
  BOOST_TEST(all.find("f.ini:8 log.level: given more than once") != std::string::npos);
  BOOST_TEST(all.find("f.ini node.id: required key is missing") != std::string::npos);
}

// Guards against a program that does not start because a template rendered an empty value, and
// against an empty value in place of a required one.
BOOST_AUTO_TEST_CASE(anEmptyValueCountsAsNotGiven)
{
  auto result = schema().parse("[node]\nid = a\ncontrol =\nseeds =\n[limit]\ncold =\n"
                               "[gossip]\ninterval = \n[log]\nlevel =\n[x]\non =\n",
                               "f.ini");
  BOOST_REQUIRE(result);
  BOOST_TEST(result->address("node.control").toString() == "127.0.0.1:7001");
  BOOST_TEST(result->addresses("node.seeds").empty());
  BOOST_TEST(result->integer("limit.cold") == 4);
  BOOST_TEST(result->duration("gossip.interval").count() == 1000);
  BOOST_TEST(result->text("log.level") == "info");
  BOOST_TEST(!result->flag("x.on"));
  BOOST_TEST(!schema().parse("[node]\nid =\n", "f.ini").has_value());
  BOOST_TEST(!schema().parse("[node]\nid = a\n[limit]\ncold =\ncold = 5\n", "f.ini").has_value());
}

// Guards against crashes on arbitrary files.
RC_BOOST_PROP(anyTextGivesSettingsOrErrors, (const std::string& aText))
{
  auto result = schema().parse(aText, "generated");
  RC_ASSERT(result.has_value() || !result.error().empty());
}

// Guards against rejecting an integer within its range, or accepting one outside.
RC_BOOST_PROP(integersAreAcceptedExactlyInRange, (int aValue))
{
  auto result =
    schema().parse("[node]\nid=a\n[limit]\ncold=" + std::to_string(aValue) + "\n", "generated");
  RC_ASSERT(result.has_value() == (aValue >= 1 && aValue <= 1024));
}
