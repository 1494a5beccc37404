#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "resources/Kinds.h"

namespace boragepitch::resources {

/** One stored resource. */
struct Resource
{
  std::string kind; ///< "ModelVersion", "Serving", "Zone", "Vm", "Endpoint", "Service",
                    ///< "Workspace", "Rollout".
  std::string name;
  uint64_t resourceVersion = 0; ///< Revision at which it was last written.
  Spec spec;
};

/** All resources at one revision. Immutable once shared; safe to read from any thread. */
class Snapshot
{
public:
  using Key = std::pair<std::string, std::string>; ///< Kind and name.
  using Map = std::map<Key, std::shared_ptr<const Resource>>;

  Snapshot() = default;
  Snapshot(uint64_t aRevision, Map aResources)
    : mRevision(aRevision)
    , mResources(std::move(aResources))
  {
  }

  /** Revision of the store; 0 when none has been read yet. */
  uint64_t revision() const { return mRevision; }
  const Map& all() const { return mResources; }

  /** The resource of a kind and name; null when absent. */
  const Resource* find(std::string_view aKind, std::string_view aName) const
  {
    auto found = mResources.find(Key(aKind, aName));
    return found == mResources.end() ? nullptr : found->second.get();
  }

  /** The spec of a resource, such as find<Zone>("Zone", "atl"); null when absent. */
  template<typename T>
  const T* spec(std::string_view aKind, std::string_view aName) const
  {
    const Resource* resource = find(aKind, aName);
    return resource == nullptr ? nullptr : std::get_if<T>(&resource->spec);
  }

  /** Calls aVisit(const Resource&, const T&) for each resource of the spec type T. */
  template<typename T, typename Visit>
  void each(Visit&& aVisit) const
  {
    for (const auto& [key, resource] : mResources) {
      if (const T* spec = std::get_if<T>(&resource->spec)) {
        aVisit(*resource, *spec);
      }
    }
  }

private:
  uint64_t mRevision = 0;
  Map mResources;
};

} // namespace boragepitch::resources
