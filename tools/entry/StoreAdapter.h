#pragma once

#include "control/Fleet.h"
#include "resources/ResourceStore.h"

namespace boragepitch::tools {

/** Implements the resource API's store on the configuration in the table service. Commits are
 * pushed to peers at once. */
class StoreAdapter final : public resources::ResourceStore
{
public:
  /** Both references must outlive the adapter. */
  StoreAdapter(control::ConfigStore& aStore, control::Fleet& aFleet);

  base::Result<std::shared_ptr<const resources::Snapshot>> latest() override;
  base::Result<uint64_t> batch(const std::vector<resources::Change>& aChanges,
                               uint64_t aBaseRevision) override;

private:
  control::ConfigStore& mStore;
  control::Fleet& mFleet;
};

/** Converts changes of the resource API to declarations of the configuration store. */
std::vector<control::Declaration> toDeclarations(const std::vector<resources::Change>& aChanges);

} // namespace boragepitch::tools
