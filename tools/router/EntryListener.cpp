#include "EntryListener.h"

#include "NodeRows.h"

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
  if (!aRow.key.starts_with(kEntryPrefix) || aRow.key == kEntryPrefix + mSelf) {
    return;
  }
  auto address = net::parseAddress(aRow.value);
  if (aRow.isDeleted || !address) {
    mEntries.erase(aRow.key);
  } else {
    mEntries[aRow.key] = *address;
  }
}

void EntryListener::updatePeers()
{
  std::vector<net::Address> peers;
  for (const auto& [key, address] : mEntries) {
    peers.push_back(address);
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
