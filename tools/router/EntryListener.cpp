#include "EntryListener.h"

namespace boragepitch::tools {

EntryListener::EntryListener(relay::Relay& aRelay, telemetry::EventLog& aLog, std::string aSelf)
  : mRelay(aRelay)
  , mLog(aLog)
  , mSelf(std::move(aSelf))
{
}

void EntryListener::onSnapshot(const std::vector<stores::RowChange>& aRows,
                               base::TimePoint /*aNow*/)
{
  mEntries.clear();
  for (const auto& row : aRows) {
    applyRow(row);
  }
  updatePeers();
}

void EntryListener::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint /*aNow*/)
{
  for (const auto& row : aRows) {
    applyRow(row);
  }
  updatePeers();
}

void EntryListener::applyRow(const stores::RowChange& aRow)
{
  if (!aRow.key.starts_with(kEntryPrefix)) {
    return;
  }
  std::string name = aRow.key.substr(std::string_view(kEntryPrefix).size());
  auto row = readEntryRow(aRow.value);
  if (aRow.isDeleted || !row || name == mSelf) {
    mEntries.erase(name);
  } else {
    mEntries[name] = *row;
  }
}

void EntryListener::updatePeers()
{
  std::vector<relay::Peer> peers;
  for (const auto& [name, row] : mEntries) {
    peers.push_back({ { name, row.region }, row.peers });
  }
  mRelay.setPeers(std::move(peers));
}

void EntryListener::onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical,
             aReachable ? "store_regained" : "store_lost",
             { { "table", "nodes" }, { "reason", aReason.empty() ? "-" : aReason } },
             aNow);
}

} // namespace boragepitch::tools
