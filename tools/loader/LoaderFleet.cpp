#include "LoaderFleet.h"

#include <algorithm>
#include <utility>

#include "base/Digest.h"

namespace boragepitch::tools {

namespace {
/** Bounds the memory that announcements can take. */
constexpr size_t kMaxEntries = 1000;
} // namespace

LoaderFleet::LoaderFleet(std::string aSelf,
                         LoaderRow aSelfRow,
                         std::string aEngine,
                         serving::SubsetOptions aSubset,
                         telemetry::EventLog& aLog)
  : mSelf(std::move(aSelf))
  , mSelfRow(std::move(aSelfRow))
  , mEngine(std::move(aEngine))
  , mSubset(aSubset)
  , mLog(aLog)
  , mConfig(std::make_shared<resources::Snapshot>())
{
  std::lock_guard lock(mMutex);
  rebuildNodes();
}

std::shared_ptr<const resources::Snapshot> LoaderFleet::config() const
{
  return mConfig;
}

std::shared_ptr<const control::NodeTable> LoaderFleet::nodes() const
{
  std::lock_guard lock(mMutex);
  return mNodes;
}

bool LoaderFleet::mayStartNewWork(base::TimePoint /*aNow*/) const
{
  return true;
}

void LoaderFleet::publish(control::NodeState /*aSelf*/) {}

control::NodeState LoaderFleet::stateOf(const std::string& aId, const LoaderRow& aRow) const
{
  control::NodeState state;
  state.id = aId;
  state.kind = control::NodeKind::Agent;
  state.zone = aRow.zone;
  state.region = aRow.region;
  state.weightsAddress = aRow.weights;
  state.endpoint = aRow.service;
  state.phase = control::Phase::Ready;
  return state;
}

void LoaderFleet::rebuildNodes()
{
  mLoaders[mSelf] = mSelfRow;
  auto nodes = std::make_shared<control::NodeTable>();
  for (const auto& [id, row] : mHeldLoaders.with(mLoaders)) {
    (*nodes)[id].state = stateOf(id, row);
  }
  mNodes = std::move(nodes);
}

void LoaderFleet::applyRow(const stores::RowChange& aRow)
{
  if (aRow.key.starts_with(kEntryPrefix)) {
    applyEntryRow(aRow);
    return;
  }
  if (!aRow.key.starts_with(kLoaderPrefix)) {
    return;
  }
  std::string id = aRow.key.substr(std::string_view(kLoaderPrefix).size());
  mHeldLoaders.release(id);
  auto row = readLoaderRow(aRow.value);
  if (aRow.isDeleted || !row) {
    mLoaders.erase(id);
  } else {
    mLoaders[id] = *row;
  }
}

void LoaderFleet::applyEntryRow(const stores::RowChange& aRow)
{
  std::string name = aRow.key.substr(std::string_view(kEntryPrefix).size());
  mHeldEntries.release(name);
  auto row = readEntryRow(aRow.value);
  if (aRow.isDeleted || !row) {
    mEntries.erase(name);
  } else {
    mEntries[name] = *row;
  }
}

void LoaderFleet::addEntry(const std::string& aName, const EntryRow& aRow)
{
  std::lock_guard lock(mMutex);
  auto known = mEntries.find(aName);
  if ((known != mEntries.end() && known->second == aRow) || mEntries.size() >= kMaxEntries) {
    return;
  }
  mEntries[aName] = aRow;
  rebuildTargets();
}

void LoaderFleet::rebuildTargets()
{
  auto entries = mHeldEntries.with(mEntries);
  std::vector<serving::EntryIdentity> identities;
  for (const auto& [name, row] : entries) {
    identities.push_back({ name, row.region });
  }
  mSubset.setEntries(identities);
  auto users = mSubset.entriesUsing(mEngine, mSelfRow.region);
  mTargets.clear();
  for (const auto& [name, row] : entries) {
    mTargets.push_back({ row.peers, users.contains(name) });
  }
}

void LoaderFleet::onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  std::lock_guard lock(mMutex);
  auto loaders = mHeldLoaders.with(std::exchange(mLoaders, {}));
  auto entries = mHeldEntries.with(std::exchange(mEntries, {}));
  for (const auto& row : aRows) {
    applyRow(row);
  }
  if (std::exchange(mWasRestored, false)) {
    auto until = aNow + base::Duration(serving::kRewriteTime);
    mHeldLoaders.hold(loaders, mLoaders, until);
    mHeldEntries.hold(entries, mEntries, until);
  }
  rebuildNodes();
  rebuildTargets();
}

void LoaderFleet::onCallSucceeded(base::TimePoint aNow)
{
  std::lock_guard lock(mMutex);
  bool hasExpired = mHeldLoaders.expire(aNow);
  hasExpired = mHeldEntries.expire(aNow) || hasExpired;
  if (hasExpired) {
    rebuildNodes();
    rebuildTargets();
  }
}

std::optional<base::TimePoint> LoaderFleet::wakeAt() const
{
  std::lock_guard lock(mMutex);
  return serving::earlier(mHeldLoaders.nextExpiry(), mHeldEntries.nextExpiry());
}

void LoaderFleet::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint /*aNow*/)
{
  std::lock_guard lock(mMutex);
  for (const auto& row : aRows) {
    applyRow(row);
  }
  rebuildNodes();
  rebuildTargets();
}

void LoaderFleet::onRestored(base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical, "store_restored", { { "table", "nodes" } }, aNow);
  std::lock_guard lock(mMutex);
  mWasRestored = true;
}

void LoaderFleet::onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical,
             aReachable ? "store_regained" : "store_lost",
             { { "table", "nodes" }, { "reason", aReason.empty() ? "-" : aReason } },
             aNow);
}

std::vector<ReportTarget> LoaderFleet::reportTargets() const
{
  std::lock_guard lock(mMutex);
  return mTargets;
}

std::pair<size_t, size_t> LoaderFleet::rank() const
{
  std::lock_guard lock(mMutex);
  auto hashOf = [](const std::string& aId) { return base::fastHash(base::asBytes(aId)); };
  uint64_t own = hashOf(mSelf);
  size_t rank = 0;
  size_t count = 0;
  for (const auto& [id, row] : mHeldLoaders.with(mLoaders)) {
    if (row.service == mSelfRow.service) {
      ++count;
      rank += hashOf(id) < own ? 1 : 0;
    }
  }
  return { rank, count };
}

} // namespace boragepitch::tools
