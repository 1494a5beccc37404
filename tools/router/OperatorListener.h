#pragma once

#include <map>
#include <set>
#include <string>

#include "relay/Relay.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

struct VersionTiming
{
  base::Milliseconds afterNews;  ///< A declared version is enforced this long after its news.
  base::Milliseconds afterStart; ///< As above where it is not known when it was declared.
};

/** Hands what the operators declare to the relay. */
class OperatorListener final : public stores::TableListener
{
public:
  OperatorListener(relay::Relay& aRelay, telemetry::EventLog& aLog, VersionTiming aTiming);

  void onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow) override;

private:
  void take(const stores::RowChange& aRow, base::Milliseconds aEnforceAfter, base::TimePoint aNow);
  void takeDeployment(const stores::RowChange& aRow, base::TimePoint aNow);
  void takeVersion(const stores::RowChange& aRow,
                   base::Milliseconds aEnforceAfter,
                   base::TimePoint aNow);

  relay::Relay& mRelay;
  telemetry::EventLog& mLog;
  const VersionTiming mTiming;
  std::set<std::string> mEvacuated;
};

} // namespace boragepitch::tools
