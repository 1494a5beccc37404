#include "EntryListener.h"

namespace boragepitch::tools {

EntryListener::EntryListener(relay::Relay& aRelay,
                             LoaderNotifier& aNotifier,
                             telemetry::EventLog& aLog,
                             std::string aSelf)
  : mRelay(aRelay)
  , mNotifier(aNotifier)
  , mLog(aLog)
  , mSelf(std::move(aSelf))
{
}

void EntryListener::onSnapshot(const std::vector<stores::RowChange>& aRows,
                               base::TimePoint /*aNow*/)
{
  mEntries.clear();
  mLoaders.clear();
  for (const auto& row : aRows) {
    applyRow(row);
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
  auto row = readEntryRow(aRow.value);
  if (aRow.isDeleted || !row || aName == mSelf) {
    mEntries.erase(aName);
  } else {
    mEntries[std::move(aName)] = *row;
  }
}

void EntryListener::applyLoaderRow(const stores::RowChange& aRow, std::string aName)
{
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
  for (const auto& [name, row] : mEntries) {
    identities.push_back({ name, row.region });
    peers.push_back({ identities.back(), row.peers });
  }
  mNotifier.setNodes(identities, mLoaders);
  mRelay.setPeers(std::move(peers));
}

void EntryListener::onRestored(base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical, "store_restored", { { "table", "nodes" } }, aNow);
}

void EntryListener::onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical,
             aReachable ? "store_regained" : "store_lost",
             { { "table", "nodes" }, { "reason", aReason.empty() ? "-" : aReason } },
             aNow);
}

} // namespace boragepitch::tools
