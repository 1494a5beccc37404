#include "OperatorListener.h"

#include <charconv>

#include "NodeRows.h"
#include "platform/OperatorRows.h"

namespace boragepitch::tools {

using platform::OperatorRowKind;

OperatorListener::OperatorListener(relay::Relay& aRelay,
                                   telemetry::EventLog& aLog,
                                   serving::VersionTiming aTiming,
                                   stores::TableWatcher::MakeFeed aMakeFeed)
  : mRelay(aRelay)
  , mLog(aLog)
  , mTiming(aTiming)
  , mMakeFeed(std::move(aMakeFeed))
{
}

void OperatorListener::onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  mEvacuated.clear();
  for (const auto& row : aRows) {
    take(row, Origin::Snapshot, aNow);
  }
  mRelay.setEvacuated(mEvacuated);
}

void OperatorListener::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  for (const auto& row : aRows) {
    take(row, Origin::News, aNow);
  }
  mRelay.setEvacuated(mEvacuated);
}

void OperatorListener::take(const stores::RowChange& aRow, Origin aOrigin, base::TimePoint aNow)
{
  auto key = platform::readOperatorKey(aRow.key);
  switch (key.kind) {
    case OperatorRowKind::Deployment:
      takeDeployment(aRow, aNow);
      break;
    case OperatorRowKind::Evacuation:
      if (aRow.isDeleted) {
        mEvacuated.erase(key.name);
      } else {
        mEvacuated.insert(key.name);
      }
      break;
    case OperatorRowKind::WeightVersion:
      takeVersion(aRow, aOrigin, aNow);
      break;
    case OperatorRowKind::Other:
      break;
  }
}

void OperatorListener::takeDeployment(const stores::RowChange& aRow, base::TimePoint aNow)
{
  if (aRow.isDeleted) {
    return; // What was declared last stays in force.
  }
  auto deployment = platform::readDeployment(aRow.value);
  if (!deployment) {
    mLog.write(telemetry::Weight::Critical,
               "deployment_invalid",
               { { "error", deployment.error().describe() } },
               aNow);
    return;
  }
  mRelay.setDeployment(std::move(*deployment));
}

void OperatorListener::takeVersion(const stores::RowChange& aRow,
                                   Origin aOrigin,
                                   base::TimePoint aNow)
{
  if (aRow.isDeleted) {
    return;
  }
  auto declared = platform::readWeightVersion(aRow.value);
  if (!declared) {
    mLog.write(telemetry::Weight::Critical,
               "version_invalid",
               { { "error", declared.error().describe() } },
               aNow);
    return;
  }
  std::string key = kDeclaredPrefix + declared->model + "/" + std::to_string(declared->version);
  if (!mKnownVersions.insert(key).second) {
    return;
  }
  serving::DeclarationEvidence evidence;
  if (aOrigin == Origin::News) {
    evidence.age = base::Milliseconds(0);
    mUnwritten[key] = mServiceTime;
  } else {
    evidence = readEvidence(key, aNow);
  }
  mRelay.declareVersion(
    declared->model, declared->version, serving::enforceFrom(evidence, mTiming, aNow));
}

serving::DeclarationEvidence OperatorListener::readEvidence(const std::string& aKey,
                                                            base::TimePoint aNow)
{
  serving::DeclarationEvidence evidence;
  evidence.notBefore = mLastAlive;
  auto page = mMakeFeed()->get(kNodeTable, aKey);
  std::string outcome = page ? "none" : page.error().describe();
  if (page && !page->rows.empty()) {
    const std::string& value = page->rows.front().value;
    int64_t recorded = 0;
    auto end = std::from_chars(value.data(), value.data() + value.size(), recorded).ptr;
    if (end == value.data() + value.size() && !value.empty()) {
      evidence.age = page->serviceTime - base::Milliseconds(recorded);
      outcome = "found";
    } else {
      outcome = "unreadable";
    }
  }
  mLog.write(telemetry::Weight::Critical,
             "declaration_time",
             { { "record", aKey },
               { "outcome", outcome },
               { "age_ms", evidence.age ? std::to_string(evidence.age->count()) : "-" } },
             aNow);
  return evidence;
}

void OperatorListener::onAlive(base::TimePoint aNow)
{
  mLastAlive = aNow;
  writeRecords(aNow);
}

void OperatorListener::writeRecords(base::TimePoint aNow)
{
  if (mUnwritten.empty()) {
    return;
  }
  auto feed = mMakeFeed();
  while (!mUnwritten.empty()) {
    const auto& [key, time] = *mUnwritten.begin();
    auto written = feed->create(kNodeTable, key, std::to_string(time.count()));
    if (!written && written.error().kind != base::ErrorKind::Conflict) {
      // Tried again after the next answer of the store.
      mLog.write(telemetry::Weight::Critical,
                 "declaration_record_failed",
                 { { "record", key }, { "error", written.error().describe() } },
                 aNow);
      return;
    }
    mUnwritten.erase(mUnwritten.begin());
  }
}

void OperatorListener::onReachable(bool aReachable,
                                   const std::string& aReason,
                                   base::TimePoint aNow)
{
  mLog.write(telemetry::Weight::Critical,
             aReachable ? "store_regained" : "store_lost",
             { { "table", "operators" }, { "reason", aReason.empty() ? "-" : aReason } },
             aNow);
}

} // namespace boragepitch::tools
