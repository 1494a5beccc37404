#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "relay/Relay.h"

namespace boragepitch::test {

/** Records the calls that listeners make to a relay. */
class RecordingRelay final : public relay::Relay
{
public:
  base::Status start() override { return {}; }
  void run() override {}
  void startLeaving(base::TimePoint) override {}
  void setDeployment(std::shared_ptr<const serving::Deployment>) override { ++deployments; }
  void changeEndpoints(std::vector<serving::EndpointChange> aChanges) override
  {
    for (const auto& change : aChanges) {
      if (const auto* record = std::get_if<serving::EndpointRecord>(&change)) {
        listed.insert(record->id);
        startTimes[record->id] = record->startTimeMs;
        lapsed.erase(record->id);
        if (record->isDraining) {
          draining.insert(record->id);
        } else {
          draining.erase(record->id);
        }
      } else if (const auto& gone = std::get<serving::EndpointGone>(change); gone.hasLapsed) {
        lapsed.insert(gone.id);
      } else {
        listed.erase(gone.id);
        lapsed.erase(gone.id);
        draining.erase(gone.id);
      }
    }
  }
  void setEvacuated(std::set<std::string> aZones) override { evacuated = std::move(aZones); }
  void declareVersion(std::string, uint64_t aVersion, base::TimePoint aEnforceFrom) override
  {
    auto entry = declared.emplace(aVersion, aEnforceFrom).first;
    entry->second = std::min(entry->second, aEnforceFrom);
  }
  void setPeers(std::vector<relay::Peer> aPeers) override
  {
    peers.clear();
    for (const relay::Peer& peer : aPeers) {
      peers.insert(peer.identity.name);
    }
  }
  void confirmList(base::TimePoint aAt) override { confirmedAt = aAt; }

  std::set<std::string> listed; ///< Includes lapsed endpoints.
  std::set<std::string> lapsed;
  std::map<std::string, uint64_t> startTimes; ///< By id, as last listed.
  std::set<std::string> draining;
  std::set<std::string> peers;     ///< Names of the other entries.
  std::set<std::string> evacuated; ///< Availability zones.
  std::map<uint64_t, base::TimePoint> declared;
  int deployments = 0; ///< Configurations that were set.
  base::TimePoint confirmedAt;
};

} // namespace boragepitch::test
