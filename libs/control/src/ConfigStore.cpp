#include "control/ConfigStore.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "ConfigRows.h"
#include "base/Json.h"
#include "base/Limits.h"

namespace boragepitch::control {

namespace {

using base::ErrorKind;
using resources::Resource;
using resources::Snapshot;
using stores::Row;
using stores::Transaction;

constexpr size_t kRowsPerPage = 500;
constexpr base::JsonLimits kRowLimits{ .bytes = 4 << 20 };
constexpr size_t kMaxBatchSize = 1000;
constexpr int kMaxLoadAttempts = 8;
constexpr base::Milliseconds kBackoffBase{ 20 };
constexpr base::Milliseconds kBackoffCap{ 500 };

base::Result<uint64_t> parseRevision(const std::string& aText)
{
  uint64_t revision = 0;
  const char* end = aText.data() + aText.size();
  auto [parsed, error] = std::from_chars(aText.data(), end, revision);
  if (error != std::errc() || parsed != end) {
    return base::fail(ErrorKind::Corrupt,
                      kRevisionKey,
                      "the row does not hold a number",
                      "set it to the number of the newest row under log/");
  }
  return revision;
}

/** Contents of the row rev: the revision, and the row version for the precondition. */
struct RevisionRow
{
  uint64_t revision = 0;
  uint64_t version = 0;
};

class ConfigStoreImpl final : public ConfigStore
{
public:
  struct Options
  {
    stores::TableClient& table;
    const base::Clock& clock;
    ResourceCodec codec;
    std::string owner;
    uint64_t seed;
    base::Milliseconds deadline;
    uint64_t retention;
  };

  explicit ConfigStoreImpl(Options aOptions)
    : mOptions(std::move(aOptions))
    , mRng(mOptions.seed)
  {
  }

  base::Result<LogEntry> commit(const std::vector<Declaration>& aDeclarations,
                                std::optional<uint64_t> aBaseRevision) override;
  base::Result<Resource> read(std::string_view aKind, std::string_view aName) override;
  base::Result<uint64_t> revision() override;
  base::Result<std::shared_ptr<const Snapshot>> load() override;
  base::Result<std::vector<LogEntry>> entriesAfter(uint64_t aRevision, size_t aLimit) override;

private:
  struct Draft
  {
    LogEntry entry;
    Transaction transaction;
    RevisionRow revisionRow;
  };

  enum class CommitState
  {
    Committed,
    Superseded, ///< Did not take effect and no longer can.
    Pending,    ///< rev is unchanged: the same transaction may be sent again.
    Unknown,
  };

  base::Result<Draft> draft(const std::vector<Declaration>& aDeclarations);
  base::Result<Change> applyDeclaration(const Declaration& aDeclaration,
                                        const std::map<std::string, Row>& aRows,
                                        Draft& aDraft);
  base::Result<LogEntry> resolve(const Draft& aDraft,
                                 base::Backoff& aBackoff,
                                 base::TimePoint aEndTime);
  CommitState findCommitState(const Draft& aDraft);
  base::Result<RevisionRow> readRevisionRow();
  base::Result<Resource> decodeRow(const Row& aRow) const;
  base::Result<Snapshot::Map> scanResources();
  base::Result<std::shared_ptr<const Snapshot>> loadOnce();
  bool backOff(base::TimePoint aEndTime, base::Backoff& aBackoff);

  Options mOptions;
  std::atomic<uint64_t> mCounter{ 0 };
  std::mutex mMutex; ///< Guards mRng.
  base::Rng mRng;
};

tl::unexpected<base::Error> unknownOutcome()
{
  return base::fail(ErrorKind::UnknownOutcome,
                    "",
                    "the table service stayed away before the outcome was found",
                    "read the resource back before repeating the change");
}

// -- Building a transaction

base::Status checkBatch(const std::vector<Declaration>& aDeclarations)
{
  if (aDeclarations.empty() || aDeclarations.size() > kMaxBatchSize) {
    return base::fail(ErrorKind::Invalid,
                      "batch",
                      "a batch of " + std::to_string(aDeclarations.size()) + " changes",
                      "send 1 to " + std::to_string(kMaxBatchSize) + " changes");
  }
  std::set<std::string> keys;
  for (const Declaration& declaration : aDeclarations) {
    const Resource& resource = declaration.resource;
    if (!keys.insert(resourceKey(resource.kind, resource.name)).second) {
      return base::fail(ErrorKind::Invalid,
                        resource.kind + "/" + resource.name,
                        "the batch changes the resource twice",
                        "send one change for each resource");
    }
  }
  return {};
}

base::Status checkPrecondition(const Declaration& aDeclaration, uint64_t aCurrentVersion)
{
  std::string field = aDeclaration.resource.kind + "/" + aDeclaration.resource.name;
  if (aDeclaration.kind == DeclarationKind::Create) {
    if (aCurrentVersion == 0) {
      return {};
    }
    return base::fail(ErrorKind::Conflict, field, "already exists", "replace it instead");
  }
  if (aCurrentVersion == 0) {
    return base::fail(ErrorKind::NotFound, field, "does not exist", "create it instead");
  }
  if (aCurrentVersion != aDeclaration.resourceVersion) {
    return base::fail(ErrorKind::Conflict,
                      field,
                      "is at resourceVersion " + std::to_string(aCurrentVersion) + ", not " +
                        std::to_string(aDeclaration.resourceVersion),
                      "read it again and repeat the change");
  }
  return {};
}

base::Result<Change> ConfigStoreImpl::applyDeclaration(const Declaration& aDeclaration,
                                                       const std::map<std::string, Row>& aRows,
                                                       Draft& aDraft)
{
  const Resource& resource = aDeclaration.resource;
  std::string key = resourceKey(resource.kind, resource.name);
  auto row = aRows.find(key);
  uint64_t current = 0;
  if (row != aRows.end()) {
    auto decoded = decodeRow(row->second);
    if (!decoded) {
      return tl::make_unexpected(decoded.error());
    }
    current = decoded->resourceVersion;
  }
  if (auto fits = checkPrecondition(aDeclaration, current); !fits) {
    return tl::make_unexpected(fits.error());
  }
  Transaction& transaction = aDraft.transaction;
  transaction.checks.push_back({ key, row == aRows.end() ? 0 : row->second.version });
  if (aDeclaration.kind == DeclarationKind::Delete) {
    transaction.deletes.push_back(key);
    return Change{ resource.kind, resource.name, nullptr };
  }
  auto written = std::make_shared<Resource>(resource);
  written->resourceVersion = aDraft.entry.revision;
  transaction.puts.push_back({ key, base::writeJson(mOptions.codec.encode(*written)) });
  return Change{ resource.kind, resource.name, written };
}

base::Result<ConfigStoreImpl::Draft> ConfigStoreImpl::draft(
  const std::vector<Declaration>& aDeclarations)
{
  std::vector<std::string> keys{ kRevisionKey };
  for (const Declaration& declaration : aDeclarations) {
    keys.push_back(resourceKey(declaration.resource.kind, declaration.resource.name));
  }
  auto rows = mOptions.table.read(keys);
  if (!rows) {
    return tl::make_unexpected(rows.error());
  }
  std::map<std::string, Row> byKey;
  for (Row& row : *rows) {
    byKey[row.key] = std::move(row);
  }
  Draft draft;
  if (auto found = byKey.find(kRevisionKey); found != byKey.end()) {
    auto revision = parseRevision(found->second.value);
    if (!revision) {
      return tl::make_unexpected(revision.error());
    }
    draft.revisionRow = { *revision, found->second.version };
  }
  uint64_t next = draft.revisionRow.revision + 1;
  draft.entry.revision = next;
  draft.entry.transaction = mOptions.owner + "/" + std::to_string(++mCounter);
  draft.transaction.id = draft.entry.transaction;
  draft.transaction.checks.push_back({ kRevisionKey, draft.revisionRow.version });
  for (const Declaration& declaration : aDeclarations) {
    auto change = applyDeclaration(declaration, byKey, draft);
    if (!change) {
      return tl::make_unexpected(change.error());
    }
    draft.entry.changes.push_back(std::move(*change));
  }
  draft.transaction.puts.push_back({ kRevisionKey, std::to_string(next) });
  draft.transaction.puts.push_back(
    { logKey(next), base::writeJson(encodeEntry(draft.entry, mOptions.codec)) });
  if (next > mOptions.retention) {
    draft.transaction.deletes.push_back(logKey(next - mOptions.retention));
  }
  return draft;
}

// -- Committing

bool ConfigStoreImpl::backOff(base::TimePoint aEndTime, base::Backoff& aBackoff)
{
  base::Duration delay;
  {
    std::lock_guard lock(mMutex);
    delay = aBackoff.next(mRng);
  }
  if (mOptions.clock.now() + delay >= aEndTime) {
    return false;
  }
  std::this_thread::sleep_for(delay);
  return true;
}

base::Result<LogEntry> ConfigStoreImpl::commit(const std::vector<Declaration>& aDeclarations,
                                               std::optional<uint64_t> aBaseRevision)
{
  if (auto fits = checkBatch(aDeclarations); !fits) {
    return tl::make_unexpected(fits.error());
  }
  base::TimePoint endTime = mOptions.clock.now() + mOptions.deadline;
  base::Backoff backoff(kBackoffBase, kBackoffCap);
  while (true) {
    auto drafted = draft(aDeclarations);
    if (!drafted) {
      return tl::make_unexpected(drafted.error());
    }
    if (aBaseRevision && drafted->revisionRow.revision != *aBaseRevision) {
      return base::fail(ErrorKind::Conflict,
                        "revision",
                        "the configuration has moved on from revision " +
                          std::to_string(*aBaseRevision),
                        "read the resources again and repeat the change");
    }
    auto resolved = resolve(*drafted, backoff, endTime);
    // A Conflict without a field means that another change was committed first. Draft again, which
    // checks the preconditions again.
    bool superseded =
      !resolved && resolved.error().kind == ErrorKind::Conflict && resolved.error().field.empty();
    if (!superseded) {
      return resolved;
    }
    if (!backOff(endTime, backoff)) {
      return base::fail(ErrorKind::Unavailable,
                        kRevisionKey,
                        "other changes kept overtaking this one",
                        "try again later");
    }
  }
}

base::Result<LogEntry> ConfigStoreImpl::resolve(const Draft& aDraft,
                                                base::Backoff& aBackoff,
                                                base::TimePoint aEndTime)
{
  const auto superseded = base::fail(ErrorKind::Conflict, "", "rev has moved", "try again");
  bool mayHaveTakenEffect = false;
  while (true) {
    auto answer = mOptions.table.commit(aDraft.transaction);
    if (answer) {
      return aDraft.entry;
    }
    ErrorKind kind = answer.error().kind;
    bool nothingWritten = kind == ErrorKind::Conflict || base::isSafeToRepeat(answer.error());
    if (!mayHaveTakenEffect && nothingWritten) {
      return kind == ErrorKind::Conflict ? base::Result<LogEntry>(superseded)
                                         : tl::make_unexpected(answer.error());
    }
    mayHaveTakenEffect = true;
    CommitState state = findCommitState(aDraft);
    while (state == CommitState::Unknown && backOff(aEndTime, aBackoff)) {
      state = findCommitState(aDraft);
    }
    if (state == CommitState::Committed) {
      return aDraft.entry;
    }
    if (state == CommitState::Superseded) {
      return superseded;
    }
    if (state == CommitState::Unknown || !backOff(aEndTime, aBackoff)) {
      return unknownOutcome();
    }
  }
}

ConfigStoreImpl::CommitState ConfigStoreImpl::findCommitState(const Draft& aDraft)
{
  std::string entryKey = logKey(aDraft.entry.revision);
  auto rows = mOptions.table.read({ kRevisionKey, entryKey });
  if (!rows) {
    return CommitState::Unknown;
  }
  uint64_t revision = 0;
  for (const Row& row : *rows) {
    if (row.key == kRevisionKey) {
      revision = parseRevision(row.value).value_or(0);
      continue;
    }
    auto value = base::parseJson(row.value, kRowLimits);
    bool isOurs = value && base::stringOr(*value, "transaction") == aDraft.entry.transaction;
    return isOurs ? CommitState::Committed : CommitState::Superseded;
  }
  // The entry is absent: the revision was not committed yet, or its entry was already pruned.
  return revision < aDraft.entry.revision ? CommitState::Pending : CommitState::Unknown;
}

// -- Reading

base::Result<RevisionRow> ConfigStoreImpl::readRevisionRow()
{
  auto rows = mOptions.table.read({ kRevisionKey });
  if (!rows) {
    return tl::make_unexpected(rows.error());
  }
  if (rows->empty()) {
    return RevisionRow{};
  }
  auto revision = parseRevision(rows->front().value);
  if (!revision) {
    return tl::make_unexpected(revision.error());
  }
  return RevisionRow{ *revision, rows->front().version };
}

base::Result<uint64_t> ConfigStoreImpl::revision()
{
  return readRevisionRow().map(
    [](const RevisionRow& aRevisionRow) { return aRevisionRow.revision; });
}

base::Result<Resource> ConfigStoreImpl::decodeRow(const Row& aRow) const
{
  auto value = base::parseJson(aRow.value, kRowLimits);
  if (!value) {
    return tl::make_unexpected(value.error());
  }
  return mOptions.codec.decode(*value);
}

base::Result<Resource> ConfigStoreImpl::read(std::string_view aKind, std::string_view aName)
{
  auto rows = mOptions.table.read({ resourceKey(aKind, aName) });
  if (!rows) {
    return tl::make_unexpected(rows.error());
  }
  if (rows->empty()) {
    return base::fail(ErrorKind::NotFound,
                      std::string(aKind) + "/" + std::string(aName),
                      "does not exist",
                      "check kind and name");
  }
  return decodeRow(rows->front());
}

base::Result<std::vector<LogEntry>> ConfigStoreImpl::entriesAfter(uint64_t aRevision, size_t aLimit)
{
  auto rows = mOptions.table.scan(kLogPrefix, logKey(aRevision), aLimit);
  if (!rows) {
    return tl::make_unexpected(rows.error());
  }
  std::vector<LogEntry> entries;
  for (const Row& row : *rows) {
    auto value = base::parseJson(row.value, kRowLimits);
    auto entry = value ? decodeEntry(*value, mOptions.codec) : tl::make_unexpected(value.error());
    if (!entry) {
      return tl::make_unexpected(entry.error());
    }
    if (entry->revision != aRevision + 1 + entries.size()) {
      return base::fail(ErrorKind::NotFound,
                        logKey(aRevision + 1),
                        "the change log no longer reaches back to this revision",
                        "load the whole configuration");
    }
    entries.push_back(std::move(*entry));
  }
  return entries;
}

base::Result<Snapshot::Map> ConfigStoreImpl::scanResources()
{
  Snapshot::Map resources;
  std::string after;
  while (true) {
    auto rows = mOptions.table.scan(kResourcePrefix, after, kRowsPerPage);
    if (!rows) {
      return tl::make_unexpected(rows.error());
    }
    for (const Row& row : *rows) {
      auto resource = decodeRow(row);
      if (!resource) {
        return tl::make_unexpected(resource.error());
      }
      Snapshot::Key key(resource->kind, resource->name);
      resources[key] = std::make_shared<const Resource>(std::move(*resource));
    }
    if (rows->size() < kRowsPerPage) {
      return resources;
    }
    after = rows->back().key;
  }
}

base::Result<std::shared_ptr<const Snapshot>> ConfigStoreImpl::loadOnce()
{
  auto before = revision();
  if (!before) {
    return tl::make_unexpected(before.error());
  }
  auto resources = scanResources();
  if (!resources) {
    return tl::make_unexpected(resources.error());
  }
  auto after = revision();
  if (!after) {
    return tl::make_unexpected(after.error());
  }
  // Each row was read at some revision between *before and *after. Applying the log entries in
  // between brings all rows to *after, because entries contain complete resources.
  uint64_t appliedRevision = *before;
  while (appliedRevision < *after) {
    auto entries =
      entriesAfter(appliedRevision, std::min<uint64_t>(*after - appliedRevision, kRowsPerPage));
    if (!entries) {
      return tl::make_unexpected(entries.error());
    }
    if (entries->empty()) {
      return base::fail(ErrorKind::NotFound, kLogPrefix, "the log has a gap", "load again");
    }
    for (const LogEntry& entry : *entries) {
      for (const Change& change : entry.changes) {
        Snapshot::Key key(change.kind, change.name);
        if (change.resource) {
          (*resources)[key] = change.resource;
        } else {
          resources->erase(key);
        }
      }
      appliedRevision = entry.revision;
    }
  }
  return std::make_shared<const Snapshot>(*after, std::move(*resources));
}

base::Result<std::shared_ptr<const Snapshot>> ConfigStoreImpl::load()
{
  for (int attempt = 1;; ++attempt) {
    auto loaded = loadOnce();
    // NotFound: the log was pruned past *before during the scan.
    if (loaded || loaded.error().kind != ErrorKind::NotFound || attempt == kMaxLoadAttempts) {
      return loaded;
    }
  }
}

} // namespace

ConfigStore::Builder& ConfigStore::Builder::table(stores::TableClient& aTable)
{
  mTable = &aTable;
  return *this;
}

ConfigStore::Builder& ConfigStore::Builder::clock(const base::Clock& aClock)
{
  mClock = &aClock;
  return *this;
}

ConfigStore::Builder& ConfigStore::Builder::codec(ResourceCodec aCodec)
{
  mCodec = std::move(aCodec);
  return *this;
}

ConfigStore::Builder& ConfigStore::Builder::owner(std::string aOwner)
{
  mOwner = std::move(aOwner);
  return *this;
}

ConfigStore::Builder& ConfigStore::Builder::seed(uint64_t aSeed)
{
  mSeed = aSeed;
  return *this;
}

ConfigStore::Builder& ConfigStore::Builder::deadline(base::Milliseconds aDeadline)
{
  mDeadline = aDeadline;
  return *this;
}

ConfigStore::Builder& ConfigStore::Builder::retention(uint64_t aEntries)
{
  mRetention = aEntries;
  return *this;
}

std::unique_ptr<ConfigStore> ConfigStore::Builder::build()
{
  static const base::SteadyClock kSteadyClock;
  return std::make_unique<ConfigStoreImpl>(
    ConfigStoreImpl::Options{ *mTable,
                              mClock != nullptr ? *mClock : kSteadyClock,
                              mCodec,
                              mOwner,
                              mSeed,
                              mDeadline,
                              mRetention });
}

} // namespace boragepitch::control
