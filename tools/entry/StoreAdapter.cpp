#include "StoreAdapter.h"

namespace boragepitch::tools {

std::vector<control::Declaration> toDeclarations(const std::vector<resources::Change>& aChanges)
{
  std::vector<control::Declaration> declarations;
  for (const resources::Change& change : aChanges) {
    control::Declaration declaration;
    declaration.resource = change.resource;
    declaration.resourceVersion = change.resource.resourceVersion;
    switch (change.type) {
      case resources::ChangeType::Create:
        declaration.kind = control::DeclarationKind::Create;
        break;
      case resources::ChangeType::Replace:
        declaration.kind = control::DeclarationKind::Replace;
        break;
      case resources::ChangeType::Remove:
        declaration.kind = control::DeclarationKind::Delete;
        break;
    }
    declarations.push_back(std::move(declaration));
  }
  return declarations;
}

StoreAdapter::StoreAdapter(control::ConfigStore& aStore, control::Fleet& aFleet)
  : mStore(aStore)
  , mFleet(aFleet)
{
}

base::Result<std::shared_ptr<const resources::Snapshot>> StoreAdapter::latest()
{
  // Snapshots are immutable and identified by revision, so the fleet's snapshot is current while
  // the store has the same revision.
  auto revision = mStore.revision();
  if (!revision) {
    return tl::make_unexpected(revision.error());
  }
  auto known = mFleet.config();
  if (known->revision() == *revision) {
    return known;
  }
  return mStore.load();
}

base::Result<uint64_t> StoreAdapter::batch(const std::vector<resources::Change>& aChanges,
                                           uint64_t aBaseRevision)
{
  auto entry = mStore.commit(toDeclarations(aChanges), aBaseRevision);
  if (!entry) {
    return tl::make_unexpected(entry.error());
  }
  mFleet.offerRevision(*entry);
  return entry->revision;
}

} // namespace boragepitch::tools
