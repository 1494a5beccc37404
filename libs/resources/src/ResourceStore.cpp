#include "resources/ResourceStore.h"

namespace boragepitch::resources {

Snapshot applyChanges(const Snapshot& aBase,
                      const std::vector<Change>& aChanges,
                      uint64_t aRevision)
{
  Snapshot::Map resources = aBase.all();
  for (const Change& change : aChanges) {
    Snapshot::Key key(change.resource.kind, change.resource.name);
    if (change.type == ChangeType::Remove) {
      resources.erase(key);
      continue;
    }
    auto stored = std::make_shared<Resource>(change.resource);
    stored->resourceVersion = aRevision;
    resources[key] = std::move(stored);
  }
  return { aRevision, std::move(resources) };
}

} // namespace boragepitch::resources
