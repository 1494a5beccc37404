#define BOOST_TEST_MODULE resources_codec
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "base/Json.h"
#include "resources/Codec.h"
#include "resources/Conditions.h"
#include "support/ResourceGenerators.h"

using namespace boragepitch;
using namespace boragepitch::resources;

static Json::Value parse(const std::string& aText)
{
  return base::parseJson(aText).value();
}

// Guards against fields that are lost or changed by writing and parsing.
RC_BOOST_PROP(everyKindSurvivesARoundTrip, ())
{
  Resource resource = test::makeResource(*rc::gen::inRange(0, test::kResourceKinds));
  Json::Value json = toJson(resource);
  auto parsed = fromJson(parse(base::writeJson(json)));
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(toJson(*parsed) == json);
  RC_ASSERT(parsed->spec.index() == resource.spec.index());
}

// Guards against damaged input that is accepted with another meaning, crashes the reader, or is
// refused without naming the field and the remedy.
RC_BOOST_PROP(damagedInputIsRefusedOrKeepsItsMeaning, ())
{
  Json::Value json = toJson(test::makeResource(*rc::gen::inRange(0, test::kResourceKinds)));
  int times = *rc::gen::inRange(1, 4);
  for (int i = 0; i < times; ++i) {
    test::damage(json);
  }
  auto parsed = fromJson(json);
  auto errors = findErrors(json);
  RC_ASSERT(parsed.has_value() == errors.empty());
  for (const base::Error& error : errors) {
    RC_ASSERT(error.kind == base::ErrorKind::Invalid);
    RC_ASSERT(!error.field.empty() && !error.message.empty() && !error.remedy.empty());
  }
  if (!parsed) {
    RC_ASSERT(parsed.error().field == errors.front().field);
    return;
  }
  Json::Value again = toJson(*parsed);
  for (const std::string& key : json["spec"].getMemberNames()) {
    RC_ASSERT(again["spec"][key] == json["spec"][key]);
  }
}

// Guards against reporting only the first error of a resource.
BOOST_AUTO_TEST_CASE(reportsEveryErrorWithItsPath)
{
  auto errors = findErrors(parse(R"({"kind":"Serving","name":"Bad Name","extra":1,"spec":{
    "model":"m","version":7,"urgency":10,"minAvailable":-1,"zones":["a","a","B"],"typo":true}})"));
  std::vector<std::string> fields;
  for (const auto& error : errors) {
    fields.push_back(error.field);
  }
  std::vector<std::string> expected{
    "name",         "spec.version", "spec.zones[1]", "spec.zones[2]", "spec.minAvailable",
    "spec.urgency", "spec.typo",    "extra"
  };
  BOOST_TEST(fields == expected, boost::test_tools::per_element());
}

// Guards against nested list elements whose errors do not say which element is wrong.
BOOST_AUTO_TEST_CASE(namesTheElementOfAList)
{
  auto errors = findErrors(parse(R"({"kind":"Service","name":"s","spec":{"calls":[
    {"method":"GET","path":"/a","repeatable":true},{"method":"get","path":"a","repeatable":1}]}})"));
  BOOST_REQUIRE(errors.size() == 3);
  BOOST_TEST(errors[0].field == "spec.calls[1].method");
  BOOST_TEST(errors[1].field == "spec.calls[1].path");
  BOOST_TEST(errors[2].field == "spec.calls[1].repeatable");
}

// Guards against names that break keys of the store or paths of the API.
BOOST_AUTO_TEST_CASE(namesFollowThePattern)
{
  for (const char* name : { "a", "a-b", "0", "vm-12" }) {
    BOOST_TEST(isValidName(name), name);
  }
  for (const std::string& name : { std::string(),
                                   std::string("-a"),
                                   std::string("a-"),
                                   std::string("A"),
                                   std::string("a/b"),
                                   std::string("a.b"),
                                   std::string("a\0b", 3),
                                   std::string(64, 'a') }) {
    BOOST_TEST(!isValidName(name), name);
  }
  BOOST_TEST(isValidName(std::string(63, 'a')));
}

// Guards against a resource that cannot be written back as read because it has a status.
BOOST_AUTO_TEST_CASE(acceptsItsOwnOutputWithStatus)
{
  Json::Value json = toJson(Resource{ "Zone", "atl", 4, Zone{ "south", true } });
  json["status"] = statusToJson({ { "InService", true, "Declared", "in service", 0, 0 } });
  BOOST_TEST(findErrors(json).empty());
}
