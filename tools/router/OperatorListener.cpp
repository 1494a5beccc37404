#include "OperatorListener.h"

#include "platform/OperatorRows.h"

namespace boragepitch::tools {

using platform::OperatorRowKind;

OperatorListener::OperatorListener(relay::Relay& aRelay,
                                   LoaderNotifier& aNotifier,
                                   telemetry::EventLog& aLog,
                                   serving::VersionTiming aTiming,
                                   stores::TableWatcher::MakeFeed aMakeFeed)
  : mRelay(aRelay)
  , mNotifier(aNotifier)
  , mLog(aLog)
  , mTiming(aTiming)
  , mPublisher(std::move(aMakeFeed), aLog)
{
}

void OperatorListener::onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  mEvacuated.clear();
  for (const auto& row : aRows) {
    applyRow(row, RowSource::Snapshot, aNow);
  }
  mRelay.setEvacuated(mEvacuated);
}

void OperatorListener::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  for (const auto& row : aRows) {
    applyRow(row, RowSource::Change, aNow);
  }
  mRelay.setEvacuated(mEvacuated);
}

void OperatorListener::applyRow(const stores::RowChange& aRow,
                                RowSource aSource,
                                base::TimePoint aNow)
{
  auto key = platform::readOperatorKey(aRow.key);
  switch (key.kind) {
    case OperatorRowKind::Deployment:
      applyDeployment(aRow, aNow);
      break;
    case OperatorRowKind::Evacuation:
      if (aRow.isDeleted) {
        mEvacuated.erase(key.name);
      } else {
        mEvacuated.insert(key.name);
      }
      break;
    case OperatorRowKind::WeightVersion:
      applyVersion(aRow, aSource, aNow);
      break;
    case OperatorRowKind::Other:
      break;
  }
}

void OperatorListener::applyDeployment(const stores::RowChange& aRow, base::TimePoint aNow)
{
  if (aRow.isDeleted) {
    return; // The last valid deployment stays in force.
  }
  auto deployment = platform::readDeployment(aRow.value);
  if (!deployment) {
    mLog.write(telemetry::EventClass::Critical,
               "deployment_invalid",
               { { "error", deployment.error().describe() } },
               aNow);
    return;
  }
  mPublisher.setDeployment(**deployment);
  mRelay.setDeployment(std::move(*deployment));
}

void OperatorListener::applyVersion(const stores::RowChange& aRow,
                                    RowSource aSource,
                                    base::TimePoint aNow)
{
  if (aRow.isDeleted) {
    return;
  }
  auto declared = platform::readWeightVersion(aRow.value);
  if (!declared) {
    mLog.write(telemetry::EventClass::Critical,
               "version_invalid",
               { { "error", declared.error().describe() } },
               aNow);
    return;
  }
  auto name = std::pair(declared->model, declared->version);
  if (!mKnownVersions.insert(name).second) {
    return;
  }
  serving::DeclarationEvidence evidence;
  if (aSource == RowSource::Change) {
    evidence.age = base::Milliseconds(0);
  } else {
    evidence.age = mPublisher.declarationAge(declared->model, declared->version, aNow);
    evidence.notBefore = mLastCallAt;
  }
  auto from = serving::enforceFrom(evidence, mTiming, aNow);
  // Loaders learn of the version from its record, whose time must match the enforcement time here.
  auto left = std::chrono::duration_cast<base::Milliseconds>(from - aNow);
  auto sinceLastCall =
    mLastCallAt ? std::to_string(base::toMilliseconds(aNow - *mLastCallAt)) : std::string("-");
  mLog.write(telemetry::EventClass::Critical,
             "version_read",
             { { "model", declared->model },
               { "version", std::to_string(declared->version) },
               { "source", aSource == RowSource::Change ? "change" : "snapshot" },
               { "age_ms", evidence.age ? std::to_string(evidence.age->count()) : "-" },
               { "last_call_ms", sinceLastCall },
               { "enforced_in_ms", std::to_string(left.count()) } },
             aNow);
  mPublisher.queueDeclaration(
    declared->model, declared->version, mServiceTime - (mTiming.afterDeclaration - left));
  mRelay.declareVersion(declared->model, declared->version, from);
  mNotifier.declareVersion(declared->model, declared->version);
}

void OperatorListener::onCallSucceeded(base::TimePoint aNow)
{
  mLastCallAt = aNow;
  mPublisher.writeQueued(aNow);
}

void OperatorListener::onReachable(bool aReachable,
                                   const std::string& aReason,
                                   base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical,
             aReachable ? "store_regained" : "store_lost",
             { { "table", "operators" }, { "reason", aReason.empty() ? "-" : aReason } },
             aNow);
}

} // namespace boragepitch::tools
