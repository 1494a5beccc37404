#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/Error.h"
#include "resources/Snapshot.h"

namespace boragepitch::resources {

enum class ChangeType
{
  Create,  ///< The resource must be absent.
  Replace, ///< The stored resourceVersion must equal the given one.
  Remove,  ///< The stored version must match as for Replace; the spec is ignored.
};

/** One write. resource.resourceVersion is the version that the writer has read. */
struct Change
{
  ChangeType type = ChangeType::Create;
  Resource resource;
};

/**
 * Transactional store of resources. Implementations are thread-safe. Errors: Conflict when a row's
 * version or the base revision differs (nothing written), Unavailable when nothing was written,
 * UnknownOutcome when the answer was lost and the outcome could not be determined.
 */
class ResourceStore
{
public:
  virtual ~ResourceStore() = default;

  /** The latest snapshot, read from the store rather than a cache. */
  virtual base::Result<std::shared_ptr<const Snapshot>> latest() = 0;

  /**
   * Applies all changes as one transaction, or none, and returns the new revision. The transaction
   * requires that the store is still at aBaseRevision, the revision at which the changes were
   * validated; otherwise the error is Conflict with the field "revision".
   */
  virtual base::Result<uint64_t> batch(const std::vector<Change>& aChanges,
                                       uint64_t aBaseRevision) = 0;

  base::Result<uint64_t> create(const Resource& aResource, uint64_t aBaseRevision)
  {
    return batch({ { ChangeType::Create, aResource } }, aBaseRevision);
  }
  base::Result<uint64_t> replace(const Resource& aResource, uint64_t aBaseRevision)
  {
    return batch({ { ChangeType::Replace, aResource } }, aBaseRevision);
  }
  base::Result<uint64_t> remove(const Resource& aResource, uint64_t aBaseRevision)
  {
    return batch({ { ChangeType::Remove, aResource } }, aBaseRevision);
  }
};

/** The snapshot at aRevision that results from the changes; versions are not checked. */
Snapshot applyChanges(const Snapshot& aBase,
                      const std::vector<Change>& aChanges,
                      uint64_t aRevision);

} // namespace boragepitch::resources
