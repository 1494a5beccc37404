#include "EndpointListener.h"

namespace boragepitch::tools {

EndpointListener::EndpointListener(relay::Relay& aRelay,
                                   telemetry::EventLog& aLog,
                                   platform::ZoneRegions aZones,
                                   base::Milliseconds aLapseGrace)
  : mRelay(aRelay)
  , mLog(aLog)
  , mZones(std::move(aZones))
  , mGuard(aLapseGrace)
{
}

void EndpointListener::onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  std::set<std::string> before = mKnown;
  std::vector<serving::EndpointRecord> records;
  for (const auto& row : aRows) {
    take(row, records, aNow);
    before.erase(row.key);
  }
  for (const std::string& id : before) {
    gone(id, aNow);
  }
  mRelay.applyEndpoints(std::move(records));
}

void EndpointListener::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  std::vector<serving::EndpointRecord> records;
  for (const auto& row : aRows) {
    if (row.isDeleted) {
      gone(row.key, aNow);
    } else {
      take(row, records, aNow);
    }
  }
  mRelay.applyEndpoints(std::move(records));
}

void EndpointListener::take(const stores::RowChange& aRow,
                            std::vector<serving::EndpointRecord>& aRecords,
                            base::TimePoint aNow)
{
  auto record = platform::readEndpoint(aRow.key, aRow.value, mZones);
  if (!record) {
    mLog.write(telemetry::Weight::Critical,
               "endpoint_row_invalid",
               { { "id", aRow.key }, { "error", record.error().describe() } },
               aNow);
    gone(aRow.key, aNow);
    return;
  }
  mGuard.present(aRow.key);
  mKnown.insert(aRow.key);
  aRecords.push_back(std::move(*record));
}

void EndpointListener::gone(const std::string& aId, base::TimePoint aNow)
{
  if (!mKnown.contains(aId)) {
    return;
  }
  if (mGuard.gone(aId, aNow)) {
    mKnown.erase(aId);
    mRelay.removeEndpoint(aId);
  } else {
    mRelay.lapseEndpoint(aId);
  }
}

void EndpointListener::onAlive(base::TimePoint aNow)
{
  for (const std::string& id : mGuard.due(aNow)) {
    mKnown.erase(id);
    mRelay.removeEndpoint(id);
  }
  mRelay.confirmList(aNow);
}

void EndpointListener::onReachable(bool aReachable,
                                   const std::string& aReason,
                                   base::TimePoint aNow)
{
  if (aReachable && !mKnown.empty()) {
    mGuard.regained(aNow);
  }
  mLog.write(telemetry::Weight::Critical,
             aReachable ? "store_regained" : "store_lost",
             { { "table", "endpoints" }, { "reason", aReason.empty() ? "-" : aReason } },
             aNow);
}

} // namespace boragepitch::tools
