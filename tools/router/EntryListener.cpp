#include "EntryListener.h"

#include <utility>

namespace boragepitch::tools {

EntryListener::EntryListener(relay::Relay& aRelay,
                             LoaderNotifier& aNotifier,
                             telemetry::EventLog& aLog,
                             serving::EntryIdentity aSelf,
                             OnHolders aOnHolders)
  : mRelay(aRelay)
  , mNotifier(aNotifier)
  , mLog(aLog)
  , mSelf(std::move(aSelf))
  , mOnHolders(std::move(aOnHolders))
{
}

void EntryListener::onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  auto entries = mHeldEntries.with(std::exchange(mEntries, {}));
  auto loaders = mHeldLoaders.with(std::exchange(mLoaders, {}));
  for (const auto& row : aRows) {
    applyRow(row);
  }
  if (std::exchange(mWasRestored, false)) {
    auto until = aNow + base::Duration(serving::kRewriteTime);
    mHeldEntries.hold(entries, mEntries, until);
    mHeldLoaders.hold(loaders, mLoaders, until);
  }
  updateNodes();
}

void EntryListener::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint /*aNow*/)
{
  for (const auto& row : aRows) {
    applyRow(row);
  }
  updateNodes();
}

void EntryListener::onCallSucceeded(base::TimePoint aNow)
{
  bool hasExpired = mHeldEntries.expire(aNow);
  hasExpired = mHeldLoaders.expire(aNow) || hasExpired;
  if (hasExpired) {
    updateNodes();
  }
}

std::optional<base::TimePoint> EntryListener::wakeAt() const
{
  return serving::earlier(mHeldEntries.nextExpiry(), mHeldLoaders.nextExpiry());
}

void EntryListener::applyRow(const stores::RowChange& aRow)
{
  std::string_view key = aRow.key;
  if (key.starts_with(kEntryPrefix)) {
    applyEntryRow(aRow, std::string(key.substr(std::string_view(kEntryPrefix).size())));
  } else if (key.starts_with(kLoaderPrefix)) {
    applyLoaderRow(aRow, std::string(key.substr(std::string_view(kLoaderPrefix).size())));
  }
}

void EntryListener::applyEntryRow(const stores::RowChange& aRow, std::string aName)
{
  mHeldEntries.release(aName);
  auto row = readEntryRow(aRow.value);
  if (aRow.isDeleted || !row || aName == mSelf.name) {
    mEntries.erase(aName);
  } else {
    mEntries[std::move(aName)] = *row;
  }
}

void EntryListener::applyLoaderRow(const stores::RowChange& aRow, std::string aName)
{
  mHeldLoaders.release(aName);
  auto row = readLoaderRow(aRow.value);
  if (aRow.isDeleted || !row) {
    mLoaders.erase(aName);
  } else {
    mLoaders[std::move(aName)] = *row;
  }
}

void EntryListener::updateNodes()
{
  std::vector<relay::Peer> peers;
  std::vector<serving::EntryIdentity> identities;
  std::vector<stores::CopyHolder> holders;
  for (const auto& [name, row] : mHeldEntries.with(mEntries)) {
    if (row.region == mSelf.region) {
      holders.push_back({ name, row.peers, row.bandwidth });
    }
    identities.push_back({ name, row.region });
    peers.push_back({ identities.back(), row.peers });
  }
  mNotifier.setNodes(identities, mHeldLoaders.with(mLoaders));
  mRelay.setPeers(std::move(peers));
  mOnHolders(std::move(holders));
}

void EntryListener::onRestored(base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical, "store_restored", { { "table", "nodes" } }, aNow);
  mWasRestored = true;
}

void EntryListener::onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical,
             aReachable ? "store_regained" : "store_lost",
             { { "table", "nodes" }, { "reason", aReason.empty() ? "-" : aReason } },
             aNow);
}

} // namespace boragepitch::tools
