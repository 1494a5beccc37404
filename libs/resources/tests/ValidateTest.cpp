#define BOOST_TEST_MODULE resources_validate
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "resources/Codec.h"
#include "resources/Diff.h"
#include "resources/Validate.h"
#include "support/ResourceGenerators.h"

using namespace boragepitch;
using namespace boragepitch::resources;
using base::ErrorKind;

static Resource resource(const std::string& aName, Spec aSpec, uint64_t aVersion = 0)
{
  return { std::string(kindOf(aSpec)), aName, aVersion, std::move(aSpec) };
}

static Change create(const std::string& aName, Spec aSpec)
{
  return { ChangeType::Create, resource(aName, std::move(aSpec)) };
}

static ModelVersion model(const std::string& aModel, const std::string& aVersion)
{
  return { aModel, aVersion, std::string(64, 'a'), 1000, aModel + "/" + aVersion, "" };
}

static Serving serving(const std::string& aModel, const std::string& aVersion)
{
  Serving spec;
  spec.model = aModel;
  spec.version = aVersion;
  return spec;
}

/** Revision 1: one zone, VM, endpoint, model with two versions, its Serving. */
static Snapshot fleet()
{
  std::vector<Change> changes{
    create("atl", Zone{ "south" }),          create("vm-1", Vm{ "atl" }),
    create("e-1", Endpoint{ .vm = "vm-1" }), create("m-v1", model("m", "v1")),
    create("m-v2", model("m", "v2")),        create("m", serving("m", "v1"))
  };
  BOOST_REQUIRE(validate(Snapshot(), changes).empty());
  return applyChanges(Snapshot(), changes, 1);
}

static void expectSingleError(const std::vector<base::Error>& aErrors,
                              ErrorKind aKind,
                              const std::string& aPart)
{
  BOOST_REQUIRE(aErrors.size() == 1);
  std::string text = aErrors[0].describe();
  BOOST_TEST((aErrors[0].kind == aKind), text);
  BOOST_TEST(text.find(aPart) != std::string::npos, text);
  BOOST_TEST(!aErrors[0].remedy.empty());
}

// Guards against declarations that reference missing resources.
BOOST_AUTO_TEST_CASE(refusesMissingReferences)
{
  Snapshot base = fleet();
  expectSingleError(
    validate(base, { create("vm-2", Vm{ "sav" }) }), ErrorKind::Invalid, "Zone/sav");
  expectSingleError(
    validate(base, { create("e-2", Endpoint{ .vm = "no" }) }), ErrorKind::Invalid, "Vm/no");
  expectSingleError(
    validate(base, { create("x", serving("x", "v1")) }), ErrorKind::Invalid, "version v1");
  Serving wrongZone = serving("m", "v1");
  wrongZone.zones = { "sav" };
  expectSingleError(validate(base, { { ChangeType::Replace, resource("m", wrongZone, 1) } }),
                    ErrorKind::Invalid,
                    "spec.zones[0]");
  BOOST_TEST(
    validate(base, { create("vm-2", Vm{ "sav" }), create("sav", Zone{ "south" }) }).empty());
}

// Guards against deleting a resource that another one still references.
BOOST_AUTO_TEST_CASE(refusesDeletionOfResourcesInUse)
{
  Snapshot base = fleet();
  auto removal = [](const std::string& aName, Spec aSpec) {
    return Change{ ChangeType::Remove, resource(aName, std::move(aSpec), 1) };
  };
  expectSingleError(
    validate(base, { removal("atl", Zone{}) }), ErrorKind::Invalid, "used by Vm/vm-1");
  expectSingleError(
    validate(base, { removal("vm-1", Vm{}) }), ErrorKind::Invalid, "used by Endpoint/e-1");
  expectSingleError(
    validate(base, { removal("m-v1", ModelVersion{}) }), ErrorKind::Invalid, "used by Serving/m");
  BOOST_TEST(validate(base, { removal("m-v2", ModelVersion{}) }).empty());
  BOOST_TEST(validate(base, { removal("m", Serving{}), removal("m-v1", ModelVersion{}) }).empty());
}

// Guards against two declarations that tell one endpoint to serve two versions of a model.
BOOST_AUTO_TEST_CASE(refusesContradictoryServings)
{
  Snapshot base = fleet();
  expectSingleError(
    validate(base, { create("other", serving("m", "v2")) }), ErrorKind::Invalid, "e-1");
  Serving elsewhere = serving("m", "v2");
  elsewhere.endpoints = { "f-" };
  BOOST_TEST(validate(base, { create("other", elsewhere) }).empty());
  Snapshot both = applyChanges(base, { create("other", elsewhere) }, 2);
  Serving overlapping = elsewhere;
  overlapping.endpoints = { "f-", "e" };
  expectSingleError(validate(both, { { ChangeType::Replace, resource("other", overlapping, 2) } }),
                    ErrorKind::Invalid,
                    "disjoint");
}

// Guards against a model version whose contents change, and against operators who write Rollouts.
BOOST_AUTO_TEST_CASE(refusesImmutableAndPlannerOnlyWrites)
{
  Snapshot base = fleet();
  ModelVersion changed = model("m", "v1");
  changed.manifest = std::string(64, 'b');
  expectSingleError(validate(base, { { ChangeType::Replace, resource("m-v1", changed, 1) } }),
                    ErrorKind::Invalid,
                    "never changes");
  expectSingleError(
    validate(base, { create("again", model("m", "v1")) }), ErrorKind::Invalid, "already declares");
  Change rollout = create("m", Rollout{ "m", "v1", 1, {} });
  expectSingleError(validate(base, { rollout }), ErrorKind::Invalid, "planner");
  BOOST_TEST(validate(base, { rollout }, Writer::Planner).empty());
}

// Guards against lost updates when two operators change one resource (F9).
BOOST_AUTO_TEST_CASE(refusesStaleVersionsAndDuplicates)
{
  Snapshot base = fleet();
  expectSingleError(
    validate(base, { { ChangeType::Replace, resource("atl", Zone{ "south" }, 7) } }),
    ErrorKind::Conflict,
    "is 1, not 7");
  expectSingleError(
    validate(base, { create("atl", Zone{ "south" }) }), ErrorKind::Conflict, "exists");
  expectSingleError(validate(base, { { ChangeType::Remove, resource("sav", Zone{}, 1) } }),
                    ErrorKind::NotFound,
                    "does not exist");
  expectSingleError(validate(base, { create("sav", Zone{ "s" }), create("sav", Zone{ "t" }) }),
                    ErrorKind::Invalid,
                    "twice");
}

// Guards against one faulty stored resource that blocks every unrelated declaration.
BOOST_AUTO_TEST_CASE(existingFaultsDoNotBlockOtherChanges)
{
  Snapshot broken = applyChanges(fleet(), { create("vm-9", Vm{ "gone" }) }, 2);
  BOOST_TEST(validate(broken, { create("sav", Zone{ "south" }) }).empty());
}

// Guards against differences that, applied to the older snapshot, do not give the newer one.
RC_BOOST_PROP(applyingDifferencesToOldGivesNew, ())
{
  auto build = [] {
    Snapshot::Map map;
    int count = *rc::gen::inRange(0, 10);
    for (int i = 0; i < count; ++i) {
      auto generated = test::makeResource(*rc::gen::inRange(0, test::kResourceKinds));
      generated.resourceVersion %= 3;
      map[{ generated.kind, generated.name }] = std::make_shared<Resource>(generated);
    }
    return Snapshot(1, map);
  };
  Snapshot older = build();
  Snapshot newer = build();
  Snapshot::Map result = older.all();
  for (const Difference& difference : differences(older, newer)) {
    Snapshot::Key key{ difference.resource->kind, difference.resource->name };
    RC_ASSERT(result.contains(key) == (difference.type != DifferenceType::Added));
    if (difference.type == DifferenceType::Removed) {
      result.erase(key);
    } else {
      result[key] = difference.resource;
    }
  }
  RC_ASSERT(result.size() == newer.all().size());
  for (const auto& [key, stored] : newer.all()) {
    RC_ASSERT(result.contains(key) && result[key]->resourceVersion == stored->resourceVersion);
  }
}
