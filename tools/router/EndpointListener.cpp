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
  Changes changes;
  for (const auto& row : aRows) {
    take(row, changes, aNow);
    before.erase(row.key);
  }
  for (const std::string& id : before) {
    gone(id, changes, aNow);
  }
  mRelay.changeEndpoints(std::move(changes));
}

void EndpointListener::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  Changes changes;
  for (const auto& row : aRows) {
    if (row.isDeleted) {
      gone(row.key, changes, aNow);
    } else {
      take(row, changes, aNow);
    }
  }
  mRelay.changeEndpoints(std::move(changes));
}

void EndpointListener::take(const stores::RowChange& aRow, Changes& aChanges, base::TimePoint aNow)
{
  auto record = platform::readEndpoint(aRow.key, aRow.value, mZones);
  if (!record) {
    mLog.write(telemetry::Weight::Critical,
               "endpoint_row_invalid",
               { { "id", aRow.key }, { "error", record.error().describe() } },
               aNow);
    gone(aRow.key, aChanges, aNow);
    return;
  }
  mGuard.present(aRow.key);
  mKnown.insert(aRow.key);
  aChanges.emplace_back(std::move(*record));
}

void EndpointListener::gone(const std::string& aId, Changes& aChanges, base::TimePoint aNow)
{
  if (!mKnown.contains(aId)) {
    return;
  }
  bool isHeld = !mGuard.gone(aId, aNow);
  if (!isHeld) {
    mKnown.erase(aId);
  }
  aChanges.emplace_back(serving::EndpointGone{ aId, isHeld });
}

void EndpointListener::onAlive(base::TimePoint aNow)
{
  Changes changes;
  for (const std::string& id : mGuard.due(aNow)) {
    mKnown.erase(id);
    changes.emplace_back(serving::EndpointGone{ id });
  }
  if (!changes.empty()) {
    mRelay.changeEndpoints(std::move(changes));
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
