#pragma once

#include "GatewayFixture.h"

namespace boragepitch::test {

inline const std::string kManifest(64, 'a');

/** Two endpoints of one model, in two zones, and two entries. */
struct GenerateFixture
{
  GenerateFixture()
  {
    fleet.declare("Serving", "m", resources::Serving{ .model = "m", .version = "1" });
    add("e1", "a", kManifest);
    add("e2", "b", kManifest);
    for (const char* name : { "entry-1", "entry-2" }) {
      entries.push_back(std::make_unique<TestEntry>(fleet, table, name));
    }
  }

  void add(const std::string& aName, const std::string& aZone, const std::string& aManifest)
  {
    // Declared before its gateway is built, since the gateway refuses while it is undeclared.
    addModelEndpoint(fleet, aName, aZone, { "m", "1", aManifest });
    endpoints.push_back(std::make_unique<TestEndpoint>(fleet, aName, aZone, aManifest));
    addModelEndpoint(fleet, aName, aZone, { "m", "1", aManifest }, endpoints.back()->data);
    endpoints.back()->gateway->refresh();
  }

  void refresh()
  {
    for (auto& entry : entries) {
      entry->gateway->refresh();
    }
    for (auto& endpoint : endpoints) {
      endpoint->gateway->refresh();
    }
  }

  FakeEngine& engine(size_t aIndex) { return endpoints[aIndex]->engine; }

  FakeFleet fleet;
  FakeTable table;
  std::vector<std::unique_ptr<TestEndpoint>> endpoints;
  std::vector<std::unique_ptr<TestEntry>> entries;
};

} // namespace boragepitch::test
