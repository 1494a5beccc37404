#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "WeightPublisher.h"
#include "relay/Relay.h"
#include "serving/VersionTiming.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/**
 * Hands what the operators declare to the relay, and what of it concerns weights to the loaders. A
 * process that starts later than a declaration enforces it when the others do.
 */
class OperatorListener final : public stores::TableListener
{
public:
  /** @param aMakeFeed of the store with the system's own tables. */
  OperatorListener(relay::Relay& aRelay,
                   telemetry::EventLog& aLog,
                   serving::VersionTiming aTiming,
                   stores::TableWatcher::MakeFeed aMakeFeed);

  void onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow) override;
  void onServiceTime(base::Milliseconds aServiceTime) override { mServiceTime = aServiceTime; }
  void onCallSucceeded(base::TimePoint aNow) override;

private:
  /** Whether a row came as news or was already there when the table was read. */
  enum class Origin
  {
    News,
    Snapshot,
  };

  void take(const stores::RowChange& aRow, Origin aOrigin, base::TimePoint aNow);
  void takeDeployment(const stores::RowChange& aRow, base::TimePoint aNow);
  void takeVersion(const stores::RowChange& aRow, Origin aOrigin, base::TimePoint aNow);

  relay::Relay& mRelay;
  telemetry::EventLog& mLog;
  const serving::VersionTiming mTiming;
  WeightPublisher mPublisher;
  std::set<std::string> mEvacuated;
  base::Milliseconds mServiceTime{ 0 };
  std::optional<base::TimePoint> mLastAlive;
  std::set<std::pair<std::string, uint64_t>> mKnownVersions; ///< Model and version.
};

} // namespace boragepitch::tools
