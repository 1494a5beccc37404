#pragma once

#include <set>
#include <string>

#include "platform/EndpointRows.h"
#include "relay/Relay.h"
#include "serving/LapseGuard.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/** Forwards the platform's list of endpoints to the relay. */
class EndpointListener final : public stores::TableListener
{
public:
  EndpointListener(relay::Relay& aRelay,
                   telemetry::EventLog& aLog,
                   platform::ZoneRegions aZones,
                   base::Milliseconds aLapseGrace);

  void onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow) override;
  void onRestored(base::TimePoint aNow) override;
  void onCallSucceeded(base::TimePoint aNow) override;
  std::optional<base::TimePoint> wakeAt() const override { return mGuard.nextDueTime(); }

private:
  using Changes = std::vector<serving::EndpointChange>;

  /** Converts rows to endpoint changes, in order; an endpoint whose row cannot be parsed is gone.
   */
  Changes parseRows(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) const;
  void apply(Changes aChanges, base::TimePoint aNow);

  relay::Relay& mRelay;
  telemetry::EventLog& mLog;
  const platform::ZoneRegions mZones;
  serving::LapseGuard mGuard;
  std::set<std::string> mKnownIds;
};

} // namespace boragepitch::tools
