#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "base/Error.h"
#include "base/Time.h"
#include "resources/Snapshot.h"
#include "stores/Stores.h"

namespace boragepitch::control {

/** Converts resources to and from JSON; see resources/Codec.h. */
struct ResourceCodec
{
  std::function<Json::Value(const resources::Resource&)> encode;
  std::function<base::Result<resources::Resource>(const Json::Value&)> decode;
};

/** State of one resource after a commit; resource is null if the commit deleted it. */
struct Change
{
  std::string kind;
  std::string name;
  std::shared_ptr<const resources::Resource> resource;
};

/** One entry of the change log. */
struct LogEntry
{
  uint64_t revision = 0;
  std::string transaction;
  std::vector<Change> changes;
};

Json::Value encodeEntry(const LogEntry& aEntry, const ResourceCodec& aCodec);
base::Result<LogEntry> decodeEntry(const Json::Value& aValue, const ResourceCodec& aCodec);

enum class DeclarationKind
{
  Create,  ///< The resource must not exist.
  Replace, ///< The resource must exist at resourceVersion.
  Delete,  ///< The resource must exist at resourceVersion.
};

/** One change requested by an operator. Delete uses only the kind and name of the resource. */
struct Declaration
{
  DeclarationKind kind = DeclarationKind::Create;
  resources::Resource resource;
  uint64_t resourceVersion = 0; ///< Compared for Replace and Delete.
};

/**
 * Stores the configuration in the table service: the resources in rows res/<kind>/<name>, the
 * current revision in row rev and the change log in rows log/<revision> (docs/design.md,
 * section 6.1). Thread-safe.
 */
class ConfigStore
{
public:
  class Builder
  {
  public:
    /** The table and the clock must outlive the store. */
    Builder& table(stores::TableClient& aTable);
    Builder& clock(const base::Clock& aClock);
    Builder& codec(ResourceCodec aCodec);
    /** Prefix of transaction ids; must be unique for each process start. */
    Builder& owner(std::string aOwner);
    Builder& seed(uint64_t aSeed);
    /** Time after which commit() stops retrying (default 4 s). */
    Builder& deadline(base::Milliseconds aDeadline);
    /** Number of change log entries kept (default 1,000). */
    Builder& retention(uint64_t aEntries);
    std::unique_ptr<ConfigStore> build();

  private:
    friend class ConfigStore;
    stores::TableClient* mTable = nullptr;
    const base::Clock* mClock = nullptr;
    ResourceCodec mCodec;
    std::string mOwner;
    uint64_t mSeed = 1;
    base::Milliseconds mDeadline{ 4000 };
    uint64_t mRetention = 1000;
  };

  virtual ~ConfigStore() = default;

  /**
   * Applies all declarations in one transaction, or none. Errors: Conflict (field "kind/name") if a
   * resource is not at the given version; NotFound; Invalid if the batch is empty, too large or
   * changes a resource twice; Unavailable if nothing was written; UnknownOutcome if the store
   * became unreachable before the outcome was known. With aBaseRevision, the commit also fails with
   * Conflict (field "revision") if the configuration is at another revision, so that validation
   * across resources stays valid.
   */
  virtual base::Result<LogEntry> commit(const std::vector<Declaration>& aDeclarations,
                                        std::optional<uint64_t> aBaseRevision = std::nullopt) = 0;

  virtual base::Result<resources::Resource> read(std::string_view aKind,
                                                 std::string_view aName) = 0;
  /** The current revision; 0 if nothing was ever committed. */
  virtual base::Result<uint64_t> revision() = 0;
  /** All resources at a single revision. */
  virtual base::Result<std::shared_ptr<const resources::Snapshot>> load() = 0;
  /**
   * Up to aLimit consecutive entries after aRevision. NotFound if the log has been pruned past
   * aRevision; load the whole configuration instead.
   */
  virtual base::Result<std::vector<LogEntry>> entriesAfter(uint64_t aRevision, size_t aLimit) = 0;
};

} // namespace boragepitch::control
