#pragma once

#include <string>
#include <vector>

#include <json/value.h>
#include <rapidcheck.h>

#include "resources/Codec.h"

namespace boragepitch::test {

inline rc::Gen<std::string> anyName()
{
  return rc::gen::map(rc::gen::inRange(0, 6),
                      [](int aIndex) {
                        static const std::vector<std::string> kNames{ "a",    "atl", "drafter",
                                                                      "vm-1", "x9",  "long-name" };
                        return kNames[static_cast<size_t>(aIndex)];
                      });
}

inline std::vector<std::string> distinct(std::vector<std::string> aNames)
{
  std::sort(aNames.begin(), aNames.end());
  aNames.erase(std::unique(aNames.begin(), aNames.end()), aNames.end());
  return aNames;
}

inline rc::Gen<std::vector<std::string>> anyNames()
{
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(anyName()), distinct);
}

/** A valid resource of any kind. */
inline resources::Resource makeResource(int aKind)
{
  using namespace resources;
  auto name = [] { return *anyName(); };
  Resource resource;
  resource.name = name();
  resource.resourceVersion = *rc::gen::inRange<uint64_t>(0, 1'000'000);
  switch (aKind) {
    case 0:
      resource.spec = ModelVersion{ name(), "1.0", std::string(64, 'a'), 5'000'000'000, "m/v", "" };
      break;
    case 1:
      resource.spec = Serving{ name(),
                               "v2",
                               *anyNames(),
                               *anyNames(),
                               *rc::gen::inRange(0, 101),
                               *rc::gen::inRange(0, 10),
                               *anyNames() };
      break;
    case 2:
      resource.spec = Zone{ name(), *rc::gen::arbitrary<bool>() };
      break;
    case 3:
      resource.spec = Vm{ name(), *rc::gen::arbitrary<bool>() };
      break;
    case 4:
      resource.spec = Endpoint{ name(),
                                EndpointType::Service,
                                name(),
                                Role::Decode,
                                true,
                                *rc::gen::inRange(1, 1025),
                                *rc::gen::inRange(1, 1025) };
      break;
    case 5:
      resource.spec = Service{ { { "POST", "/book", false }, { "*", "/list/", true } } };
      break;
    case 6:
      resource.spec = Workspace{ *rc::gen::inRange(1, 1001), *rc::gen::inRange(1, 1001) };
      break;
    default:
      resource.spec = Rollout{ name(), "v2", *rc::gen::inRange<uint64_t>(0, 100), *anyNames() };
  }
  resource.kind = std::string(kindOf(resource.spec));
  return resource;
}

constexpr int kResourceKinds = 8;

/** A JSON value of an arbitrary type, with which damage() replaces a member. */
inline Json::Value anyJson()
{
  switch (*rc::gen::inRange(0, 9)) {
    case 0:
      return Json::nullValue;
    case 1:
      return true;
    case 2:
      return -1;
    case 3:
      return 1.5;
    case 4:
      return "";
    case 5:
      return std::string(1000, 'x');
    case 6:
      return Json::Value(Json::arrayValue);
    case 7:
      return Json::Value(Json::objectValue);
    default:
      return Json::UInt64(UINT64_MAX);
  }
}

/** Replaces, removes or adds one member of an object or of an object nested in it. */
inline void damage(Json::Value& aObject)
{
  auto members = aObject.getMemberNames();
  if (members.empty() || *rc::gen::inRange(0, 5) == 0) {
    aObject["unknown"] = anyJson();
    return;
  }
  auto& key = members[*rc::gen::inRange<size_t>(0, members.size())];
  Json::Value& member = aObject[key];
  if (member.isObject() && *rc::gen::inRange(0, 3) != 0) {
    damage(member);
  } else if (*rc::gen::inRange(0, 3) == 0) {
    aObject.removeMember(key);
  } else {
    member = anyJson();
  }
}

} // namespace boragepitch::test
