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

/** What EndpointController connects; all of it outlives the controller. */
struct EndpointParts
{
  control::Fleet& fleet;
  weights::Distributor& distributor;
  gateway::AgentGateway& gateway;
  stores::EpochIssuer& epochs;
};

struct EndpointSettings
{
  std::string name; ///< Endpoint resource.
  net::Address engine;
  base::Milliseconds stateInterval{ 500 };
  base::Milliseconds epochLife{ 5000 };
};

/**
 * Brings one model endpoint to its declared state on a thread of its own: tells the distributor
 * what to hold, drains and orders the engine, and publishes this node's record. The decisions are
 * rollout::ActivationCore's.
 */
class EndpointController
{
public:
  EndpointController(EndpointParts aParts, EndpointSettings aSettings, control::NodeState aSelf);
  ~EndpointController();

  void start();
  void stop();
  /** Looks at everything again now; from any thread. */
  void wake();
  /** Adds to the published suspects; from any thread. */
  void setSuspects(std::vector<control::Suspect> aSuspects);
  /** Publishes that this endpoint is leaving; the gateway refuses new work from then on. */
  void startLeaving();
  bool isServing() const;
  Json::Value dump() const;

private:
  void run();
  void update(base::TimePoint aNow);
  void declareWanted(const resources::Snapshot& aSnapshot,
                     const rollout::DesiredState& aDesired,
                     const std::vector<std::string>& aHeld);
  void act(const rollout::Action& aAction);
  void readEngine();
  void takeEpoch(uint64_t aAtLeast);
  void applyAdmission(const resources::Snapshot& aSnapshot);
  void publishIfChanged(base::TimePoint aNow);

  EndpointParts mParts;
  EndpointSettings mSettings;
  EngineClient mEngine;
  rollout::ActivationCore mCore;
  ReportedEngine mReported;
  uint64_t mDeclaredRevision = 0;
  std::vector<rollout::WantedManifest> mDeclared;
  bool mDraining = false;
  control::NodeState mPublished;

  mutable std::mutex mMutex;
  std::condition_variable mWake;
  control::NodeState mSelf;
  bool mWoken = false;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace boragepitch::tools
