#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"
#include "control/NodeState.h"
#include "resources/Snapshot.h"

namespace boragepitch::routing {

/**
 * What this process knows of an endpoint's load. Shared by successive tables; all members are
 * atomic, since request threads update them.
 */
struct EndpointLoad
{
  std::atomic<int> inFlight{ 0 };        ///< Requests of this process.
  std::atomic<int> reportedRunning{ 0 }; ///< From the agent's last response; lags.
  std::atomic<int> reportedQueued{ 0 };
  std::atomic<base::Duration::rep> reportedAt{ 0 };
  /** Not chosen before this time while others are available; set after a refusal or failure. */
  std::atomic<base::Duration::rep> avoidUntil{ 0 };
};

/** One endpoint that may receive new work. */
struct EndpointInfo
{
  std::string name;
  std::string node; ///< Id of the agent beside it.
  std::string zone;
  std::string region;
  net::Address data; ///< Where its agent takes requests.
  resources::EndpointType type = resources::EndpointType::Model;
  resources::Role role = resources::Role::General;
  std::vector<control::ServedModel> serving;
  std::string instance;
  bool cold = true;
  int limit = 1; ///< The cold or warm limit that applies now.
  std::shared_ptr<EndpointLoad> load;

  /** The served version of a model; null when it does not serve the model. */
  const control::ServedModel* served(std::string_view aModel) const;
};

/**
 * The endpoints that may receive new work, by model and by service. Immutable; built when the
 * configuration or a node record changes and read through an atomic shared pointer.
 *
 * An endpoint is listed when its Endpoint, Vm and Zone resources exist and are in service, and its
 * agent is alive, ready and in that zone. An endpoint without a declared VM or zone is not listed.
 */
class EndpointTable
{
public:
  using Candidates = std::vector<const EndpointInfo*>;

  /** @param aPrevious keeps the load counters of endpoints that stay; may be null. */
  static std::shared_ptr<const EndpointTable> build(const resources::Snapshot& aConfig,
                                                    const control::NodeTable& aNodes,
                                                    const EndpointTable* aPrevious);

  uint64_t revision() const { return mRevision; }
  /** Endpoints that serve some version of a model or adapter, are declared for it and have a role
   * that takes whole requests. */
  const Candidates& forModel(std::string_view aModel) const;
  const Candidates& forService(std::string_view aService) const;
  /** True when a Serving resource declares the model, or lists it as an adapter. */
  bool isDeclared(std::string_view aModel) const;
  const EndpointInfo* find(std::string_view aName) const;
  size_t size() const { return mEndpoints.size(); }
  /** Sum of the limits of all listed endpoints. */
  int totalLimit() const;

private:
  uint64_t mRevision = 0;
  std::map<std::string, EndpointInfo, std::less<>> mEndpoints;
  std::map<std::string, Candidates, std::less<>> mByModel;
  std::map<std::string, Candidates, std::less<>> mByService;
};

/** Why a process at this place must not start work: empty when it may. */
std::string outOfServiceReason(const resources::Snapshot& aConfig,
                               const std::string& aEndpoint,
                               const std::string& aZone);

} // namespace boragepitch::routing
