#include <cstddef>
#include <iostream>
#include <vector>

#include <resources/Snapshot.h>
#include <rollout/DesiredState.h>
#include <weights/Manifest.h>

// Uses two coordination libraries without a daemon: builds the manifest of a model, and computes
// the desired state of one endpoint from a set of declarations.
int main()
{
  using namespace boragepitch;

  std::vector<std::byte> model(3'000'000, std::byte{ 42 });
  constexpr uint32_t kChunkBytes = 1 << 20;
  auto manifest = weights::Manifest::fromBytes("drafter", "v1", kChunkBytes, model);
  if (!manifest) {
    std::cerr << manifest.error().describe() << "\n";
    return 1;
  }
  std::cout << "manifest " << manifest->id().toString() << ", " << manifest->chunkCount()
            << " chunks\n";

  resources::Snapshot::Map declared;
  auto declare = [&](const std::string& aKind, const std::string& aName, resources::Spec aSpec) {
    declared[{ aKind, aName }] = std::make_shared<resources::Resource>(
      resources::Resource{ aKind, aName, 1, std::move(aSpec) });
  };
  declare("Zone", "fraser", resources::Zone{ "fraser", true });
  declare("Vm", "vm-1", resources::Vm{ "fraser", true });
  declare("Endpoint", "drafter-1", resources::Endpoint{ .vm = "vm-1" });
  declare("ModelVersion",
          "drafter-v1",
          resources::ModelVersion{
            "drafter", "v1", manifest->id().toString(), manifest->size(), "drafter/v1", "" });
  declare("Serving", "drafter", resources::Serving{ .model = "drafter", .version = "v1" });

  auto desired = rollout::desiredState(resources::Snapshot(1, std::move(declared)), "drafter-1");
  for (const rollout::WantedManifest& wanted : desired.manifests) {
    std::cout << "drafter-1 holds " << wanted.model << "/" << wanted.version << "\n";
  }
  return desired.manifests.empty() ? 1 : 0;
}
