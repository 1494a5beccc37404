#include "OperatorListener.h"

#include "platform/OperatorRows.h"

namespace boragepitch::tools {

using platform::OperatorRowKind;

OperatorListener::OperatorListener(relay::Relay& aRelay,
                                   telemetry::EventLog& aLog,
                                   VersionTiming aTiming)
  : mRelay(aRelay)
  , mLog(aLog)
  , mTiming(aTiming)
{
}

void OperatorListener::onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  mEvacuated.clear();
  for (const auto& row : aRows) {
    take(row, mTiming.afterStart, aNow);
  }
  mRelay.setEvacuated(mEvacuated);
}

void OperatorListener::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  for (const auto& row : aRows) {
    take(row, mTiming.afterNews, aNow);
  }
  mRelay.setEvacuated(mEvacuated);
}

void OperatorListener::take(const stores::RowChange& aRow,
                            base::Milliseconds aEnforceAfter,
                            base::TimePoint aNow)
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
      takeVersion(aRow, aEnforceAfter, aNow);
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
                                   base::Milliseconds aEnforceAfter,
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
  mRelay.declareVersion(declared->model, declared->version, aNow + base::Duration(aEnforceAfter));
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
