#include "EndpointListener.h"

#include <algorithm>
#include <set>
#include <utility>

#include "StoreCallLog.h"
#include "serving/HeldEntries.h"

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
  Changes changes = judgeSnapshot(parseRows(aRows, aNow), aNow);
  auto missing = mKnown;
  // An endpoint whose row is of a former start is not listed yet: it writes its row again.
  for (const auto& row : aRows) {
    if (!mUnconfirmed.contains(row.key)) {
      missing.erase(row.key);
    }
  }
  for (const auto& [id, startTimeMs] : missing) {
    changes.emplace_back(serving::EndpointGone{ id });
  }
  apply(std::move(changes), serving::LapseGuard::Source::WholeList, aNow);
}

EndpointListener::Changes EndpointListener::judgeSnapshot(Changes aChanges, base::TimePoint aNow)
{
  using Verdict = serving::LeaveMemory::Verdict;
  mUnconfirmed.clear();
  bool isConfirmed = aNow >= mLeaves.confirmedBy();
  auto earlierLeaves = isConfirmed ? std::set<std::string>() : findEarlierLeaves(aChanges);
  Changes judged;
  for (auto& change : aChanges) {
    auto* record = std::get_if<serving::EndpointRecord>(&change);
    auto verdict = record != nullptr ? mLeaves.judge(*record, aNow) : Verdict::Valid;
    bool isOutdated = record != nullptr && !isConfirmed &&
                      (isOfFormerStart(*record) || earlierLeaves.contains(record->id));
    if (verdict == Verdict::Unconfirmed || isOutdated) {
      mLog.write(telemetry::EventClass::Critical,
                 "endpoint_unconfirmed",
                 { { "id", record->id }, { "born", std::to_string(record->startTimeMs) } },
                 aNow);
      mUnconfirmed.emplace(record->id, std::move(*record));
      continue;
    }
    if (verdict == Verdict::Draining) {
      record->isDraining = true;
    }
    judged.push_back(std::move(change));
  }
  return judged;
}

std::set<std::string> EndpointListener::findEarlierLeaves(const Changes& aChanges) const
{
  uint64_t newestStart = 0;
  for (const auto& [id, startTimeMs] : mKnown) {
    newestStart = std::max(newestStart, startTimeMs);
  }
  std::set<std::string> left;
  for (const auto& change : aChanges) {
    const auto* record = std::get_if<serving::EndpointRecord>(&change);
    if (record != nullptr && !mKnown.contains(record->id) && !mLeaves.remembers(record->id) &&
        record->startTimeMs <= newestStart) {
      left.insert(record->id);
    }
  }
  if (left.size() > mKnown.size() / 2) {
    left.clear();
  }
  return left;
}

bool EndpointListener::isOfFormerStart(const serving::EndpointRecord& aRecord) const
{
  auto known = mKnown.find(aRecord.id);
  return known != mKnown.end() && aRecord.startTimeMs < known->second;
}

void EndpointListener::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  for (const auto& row : aRows) {
    mUnconfirmed.erase(row.key);
  }
  apply(parseRows(aRows, aNow), serving::LapseGuard::Source::Change, aNow);
}

std::optional<base::TimePoint> EndpointListener::wakeAt() const
{
  std::optional<base::TimePoint> confirmedBy;
  if (!mUnconfirmed.empty()) {
    confirmedBy = mLeaves.confirmedBy();
  }
  return serving::earlier(mGuard.nextDueTime(), confirmedBy);
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

void EndpointListener::recordLeaves(const Changes& aChanges, base::TimePoint aNow)
{
  for (const auto& change : aChanges) {
    if (const auto* record = std::get_if<serving::EndpointRecord>(&change)) {
      if (record->isDraining) {
        mLeaves.recordDraining(record->id, record->startTimeMs, aNow);
      } else {
        mLeaves.forget(record->id);
      }
    } else if (const auto& gone = std::get<serving::EndpointGone>(change); !gone.hasLapsed) {
      auto known = mKnown.find(gone.id);
      if (known != mKnown.end()) {
        mLeaves.recordRemoval(gone.id, known->second, aNow);
      }
    }
  }
}

void EndpointListener::apply(Changes aChanges,
                             serving::LapseGuard::Source aSource,
                             base::TimePoint aNow)
{
  std::set<std::string> missing; // Endpoints that are gone after the last change.
  for (const auto& change : aChanges) {
    if (const auto* record = std::get_if<serving::EndpointRecord>(&change)) {
      mKnown[record->id] = record->startTimeMs;
      mGuard.markListed(record->id);
      missing.erase(record->id);
    } else if (const auto& id = std::get<serving::EndpointGone>(change).id; mKnown.contains(id)) {
      missing.insert(id);
    }
  }
  std::set<std::string> delayed = mGuard.delayRemovals(missing, aSource, aNow);
  for (auto& change : aChanges) {
    if (auto* gone = std::get_if<serving::EndpointGone>(&change)) {
      gone->hasLapsed = delayed.contains(gone->id);
    }
  }
  recordLeaves(aChanges, aNow);
  for (const std::string& id : missing) {
    if (!delayed.contains(id)) {
      mKnown.erase(id);
    }
  }
  mRelay.changeEndpoints(std::move(aChanges));
}

void EndpointListener::onCallEnded(const stores::TableCall& aCall, base::TimePoint aNow)
{
  logStoreCall(mLog, "endpoints", aCall, aNow);
}

void EndpointListener::onCallSucceeded(base::TimePoint aNow)
{
  Changes changes;
  for (const std::string& id : mGuard.takeDueRemovals(aNow)) {
    changes.emplace_back(serving::EndpointGone{ id });
  }
  recordLeaves(changes, aNow);
  for (const auto& change : changes) {
    mKnown.erase(std::get<serving::EndpointGone>(change).id);
  }
  if (!mUnconfirmed.empty() && aNow >= mLeaves.confirmedBy()) {
    for (auto& [id, record] : std::exchange(mUnconfirmed, {})) {
      mKnown[id] = record.startTimeMs;
      mLeaves.forget(id);
      changes.emplace_back(std::move(record));
    }
  }
  if (!changes.empty()) {
    mRelay.changeEndpoints(std::move(changes));
  }
  mRelay.confirmList(aNow);
}

void EndpointListener::onRestored(base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical, "store_restored", { { "table", "endpoints" } }, aNow);
  mGuard.listRestored(aNow);
  mLeaves.listRestored(aNow);
}

void EndpointListener::onReachable(bool aReachable,
                                   const std::string& aReason,
                                   base::TimePoint aNow)
{
  if (aReachable && !mKnown.empty()) {
    mGuard.listRegained(mKnown.size(), aNow);
  }
  mLog.write(telemetry::EventClass::Critical,
             aReachable ? "store_regained" : "store_lost",
             { { "table", "endpoints" }, { "reason", aReason.empty() ? "-" : aReason } },
             aNow);
}

} // namespace boragepitch::tools
