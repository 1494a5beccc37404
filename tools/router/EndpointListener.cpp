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
  Changes changes = parseRows(aRows, aNow);
  std::set<std::string> missing = mKnownIds;
  for (const auto& row : aRows) {
    missing.erase(row.key);
  }
  for (const std::string& id : missing) {
    changes.emplace_back(serving::EndpointGone{ id });
  }
  apply(std::move(changes), aNow);
}

void EndpointListener::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  apply(parseRows(aRows, aNow), aNow);
}

EndpointListener::Changes EndpointListener::parseRows(const std::vector<stores::RowChange>& aRows,
                                                      base::TimePoint aNow) const
{
  Changes changes;
  for (const auto& row : aRows) {
    if (row.isDeleted) {
      changes.emplace_back(serving::EndpointGone{ row.key });
      continue;
    }
    auto record = platform::readEndpoint(row.key, row.value, mZones);
    if (record) {
      changes.emplace_back(std::move(*record));
      continue;
    }
    mLog.write(telemetry::EventClass::Critical,
               "endpoint_row_invalid",
               { { "id", row.key }, { "error", record.error().describe() } },
               aNow);
    changes.emplace_back(serving::EndpointGone{ row.key });
  }
  return changes;
}

void EndpointListener::apply(Changes aChanges, base::TimePoint aNow)
{
  std::set<std::string> missing; // Endpoints that are gone after the last change.
  for (const auto& change : aChanges) {
    if (const auto* record = std::get_if<serving::EndpointRecord>(&change)) {
      mKnownIds.insert(record->id);
      mGuard.markListed(record->id);
      missing.erase(record->id);
    } else if (const auto& id = std::get<serving::EndpointGone>(change).id;
               mKnownIds.contains(id)) {
      missing.insert(id);
    }
  }
  std::set<std::string> delayed = mGuard.delayRemovals(missing, aNow);
  for (auto& change : aChanges) {
    if (auto* gone = std::get_if<serving::EndpointGone>(&change)) {
      gone->hasLapsed = delayed.contains(gone->id);
    }
  }
  for (const std::string& id : missing) {
    if (!delayed.contains(id)) {
      mKnownIds.erase(id);
    }
  }
  mRelay.changeEndpoints(std::move(aChanges));
}

void EndpointListener::onCallSucceeded(base::TimePoint aNow)
{
  Changes changes;
  for (const std::string& id : mGuard.takeDueRemovals(aNow)) {
    mKnownIds.erase(id);
    changes.emplace_back(serving::EndpointGone{ id });
  }
  if (!changes.empty()) {
    mRelay.changeEndpoints(std::move(changes));
  }
  mRelay.confirmList(aNow);
}

void EndpointListener::onRestored(base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical, "store_restored", { { "table", "endpoints" } }, aNow);
}

void EndpointListener::onReachable(bool aReachable,
                                   const std::string& aReason,
                                   base::TimePoint aNow)
{
  if (aReachable && !mKnownIds.empty()) {
    mGuard.listRegained(mKnownIds.size(), aNow);
  }
  mLog.write(telemetry::EventClass::Critical,
             aReachable ? "store_regained" : "store_lost",
             { { "table", "endpoints" }, { "reason", aReason.empty() ? "-" : aReason } },
             aNow);
}

} // namespace boragepitch::tools
