#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include "EngineClient.h"
#include "control/Fleet.h"
#include "gateway/AgentGateway.h"
#include "rollout/ActivationCore.h"
#include "stores/Lease.h"
#include "weights/Distributor.h"

namespace boragepitch::tools {

/** Components that EndpointController uses. All must outlive the controller. */
struct EndpointDependencies
{
  control::Fleet& fleet;
  weights::Distributor& distributor;
  gateway::AgentGateway& gateway;
  stores::EpochIssuer& epochs;
};

struct EndpointSettings
{
  std::string name; ///< Name of the Endpoint resource.
  net::Address engine;
  base::Milliseconds stateInterval{ 500 };
  base::Milliseconds maxEpochAge{ 5000 };
};

/**
 * Brings one model endpoint to its declared state on its own thread: tells the distributor which
 * manifests to hold, drains the endpoint, sends orders to the engine, and publishes this node's
 * state. rollout::ActivationCore makes the decisions.
 */
class EndpointController
{
public:
  EndpointController(EndpointDependencies aDependencies,
                     EndpointSettings aSettings,
                     control::NodeState aSelf);
  ~EndpointController();

  void start();
  void stop();
  /** Starts the next update at once. Thread-safe. */
  void wake();
  /** Replaces the published suspects. Thread-safe. */
  void setSuspects(std::vector<control::Suspect> aSuspects);
  /** Publishes that this endpoint is leaving, so that entries stop sending new requests. */
  void startLeaving();
  bool isServing() const;
  Json::Value dump() const;

private:
  void run();
  void update(base::TimePoint aNow);
  void updateWantedManifests(const resources::Snapshot& aSnapshot,
                             const rollout::DesiredState& aDesired,
                             const std::vector<std::string>& aHeld);
  void perform(const rollout::Action& aAction);
  void readEngine();
  void takeEpoch(uint64_t aMinEpoch);
  void applyAdmission(const resources::Snapshot& aSnapshot);
  void publishIfChanged(base::TimePoint aNow);

  EndpointDependencies mDependencies;
  EndpointSettings mSettings;
  EngineClient mEngine;
  rollout::ActivationCore mCore;
  ReportedEngine mReportedEngine;
  uint64_t mWantedRevision = 0;
  std::vector<rollout::WantedManifest> mWantedManifests;
  bool mDraining = false;
  control::NodeState mPublished;

  mutable std::mutex mMutex;
  std::condition_variable mWake;
  control::NodeState mSelf;
  bool mWakeRequested = false;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace boragepitch::tools
