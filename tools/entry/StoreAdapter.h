#pragma once

#include "control/Fleet.h"
#include "resources/ResourceStore.h"

namespace boragepitch::tools {

/** The resource API's store over the configuration in the table service. Commits are pushed to
 * peers at once. */
class StoreAdapter final : public resources::ResourceStore
{
public:
  /** Both outlive the adapter. */
  StoreAdapter(control::ConfigStore& aStore, control::Fleet& aFleet);

  base::Result<std::shared_ptr<const resources::Snapshot>> latest() override;
  base::Result<uint64_t> batch(const std::vector<resources::Change>& aChanges,
                               uint64_t aBaseRevision) override;

private:
  control::ConfigStore& mStore;
  control::Fleet& mFleet;
};

/** The declarations that the configuration store takes for the API's changes. */
std::vector<control::Declaration> toDeclarations(const std::vector<resources::Change>& aChanges);

} // namespace boragepitch::tools
