#pragma once

#include <map>
#include <string>

#include "platform/EndpointRows.h"
#include "relay/Relay.h"
#include "serving/LapseGuard.h"
#include "serving/LeaveMemory.h"
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
  void onCallEnded(const stores::TableCall& aCall, base::TimePoint aNow) override;
  void onCallSucceeded(base::TimePoint aNow) override;
  std::optional<base::TimePoint> wakeAt() const override;

private:
  using Changes = std::vector<serving::EndpointChange>;

  /** Converts rows to endpoint changes, in order; an endpoint whose row cannot be parsed is gone.
   */
  Changes parseRows(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) const;
  /** Corrects the rows of a whole list that do not know of a leave or a restart. */
  Changes judgeSnapshot(Changes aChanges, base::TimePoint aNow);
  /** Ids of restored rows whose endpoints left before this process started: the list lacked them,
   * and they are no new starts. Empty for many: then the list was incomplete before. */
  std::set<std::string> findEarlierLeaves(const Changes& aChanges) const;
  /** Whether the endpoint is known to have started again since the row was written. */
  bool isOfFormerStart(const serving::EndpointRecord& aRecord) const;
  void apply(Changes aChanges, serving::LapseGuard::Source aSource, base::TimePoint aNow);
  void recordLeaves(const Changes& aChanges, base::TimePoint aNow);

  relay::Relay& mRelay;
  telemetry::EventLog& mLog;
  const platform::ZoneRegions mZones;
  serving::LapseGuard mGuard;
  serving::LeaveMemory mLeaves;
  std::map<std::string, uint64_t> mKnown; ///< Start times of the endpoints passed on, by id.
  /** Rows of a restored list that name endpoints which have left, or former starts, by id. */
  std::map<std::string, serving::EndpointRecord> mUnconfirmed;
};

} // namespace boragepitch::tools
