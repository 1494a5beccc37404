#define BOOST_TEST_MODULE resources_examples
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "base/Json.h"
#include "resources/Codec.h"
#include "resources/Validate.h"

using namespace boragepitch;
using namespace boragepitch::resources;

/** Applies the resources of one file as bpctl apply does. */
static Snapshot applyFile(const Snapshot& aBase, const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::string text(std::istreambuf_iterator<char>(file), {});
  auto list = base::parseJson(text);
  BOOST_REQUIRE_MESSAGE(list.has_value(), aPath);
  std::vector<Change> changes;
  for (const Json::Value& json : *list) {
    for (const base::Error& error : findErrors(json)) {
      BOOST_ERROR(aPath.string() + ": " + error.describe());
    }
    Resource resource = fromJson(json).value();
    const Resource* stored = aBase.find(resource.kind, resource.name);
    resource.resourceVersion = stored == nullptr ? 0 : stored->resourceVersion;
    changes.push_back({ stored == nullptr ? ChangeType::Create : ChangeType::Replace, resource });
  }
  for (const base::Error& error : validate(aBase, changes)) {
    BOOST_ERROR(aPath.string() + ": " + error.describe());
  }
  return applyChanges(aBase, changes, aBase.revision() + 1);
}

// Guards against examples that the resource API refuses.
BOOST_AUTO_TEST_CASE(declarationsOfBothDeploymentsAreAccepted)
{
  for (const char* deployment : { "hoopline", "peachwarm" }) {
    auto folder = std::filesystem::path(BP_EXAMPLES) / deployment;
    Snapshot snapshot;
    for (const char* file : { "fleet.json", "workspaces.json", "serving.json", "update.json" }) {
      snapshot = applyFile(snapshot, folder / file);
    }
    BOOST_TEST(snapshot.revision() == 4);
  }
}
