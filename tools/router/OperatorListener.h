#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "relay/Relay.h"
#include "serving/VersionTiming.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/**
 * Hands what the operators declare to the relay. Records in the system's own table when a version
 * was declared, so that a process that starts later enforces it at the same time as the others.
 */
class OperatorListener final : public stores::TableListener
{
public:
  /** @param aMakeFeed of the store with the system's own table. */
  OperatorListener(relay::Relay& aRelay,
                   telemetry::EventLog& aLog,
                   serving::VersionTiming aTiming,
                   stores::TableWatcher::MakeFeed aMakeFeed);

  void onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow) override;
  void onServiceTime(base::Milliseconds aServiceTime) override { mServiceTime = aServiceTime; }
  void onAlive(base::TimePoint aNow) override;

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
  serving::DeclarationEvidence readEvidence(const std::string& aKey, base::TimePoint aNow);
  void writeRecords(base::TimePoint aNow);

  relay::Relay& mRelay;
  telemetry::EventLog& mLog;
  const serving::VersionTiming mTiming;
  const stores::TableWatcher::MakeFeed mMakeFeed;
  std::set<std::string> mEvacuated;
  base::Milliseconds mServiceTime{ 0 };
  std::optional<base::TimePoint> mLastAlive;
  std::set<std::string> mKnownVersions; ///< Keys of their records.
  /** Records yet to be written, with the time of the store's clock. */
  std::map<std::string, base::Milliseconds> mUnwritten;
};

} // namespace boragepitch::tools
