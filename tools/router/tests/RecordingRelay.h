#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "relay/Relay.h"

namespace boragepitch::test {

/** Keeps what the listeners tell a relay. */
class RecordingRelay final : public relay::Relay
{
public:
  base::Status start() override { return {}; }
  void run() override {}
  void startLeaving() override {}
  void setDeployment(std::shared_ptr<const serving::Deployment>) override {}
  void applyEndpoints(std::vector<serving::EndpointRecord> aRecords) override
  {
    for (const auto& record : aRecords) {
      listed.insert(record.id);
      lapsed.erase(record.id);
    }
  }
  void lapseEndpoint(std::string aId) override { lapsed.insert(std::move(aId)); }
  void removeEndpoint(std::string aId) override
  {
    listed.erase(aId);
    lapsed.erase(aId);
  }
  void setEvacuated(std::set<std::string>) override {}
  void declareVersion(std::string, uint64_t aVersion, base::TimePoint aEnforceFrom) override
  {
    declared[aVersion] = aEnforceFrom;
  }
  void setPeers(std::vector<net::Address>) override {}
  void confirmList(base::TimePoint aAt) override { confirmedAt = aAt; }

  std::set<std::string> listed; ///< Lapsed ones included.
  std::set<std::string> lapsed;
  std::map<uint64_t, base::TimePoint> declared;
  base::TimePoint confirmedAt;
};

} // namespace boragepitch::test
