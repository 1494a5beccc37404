#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/Error.h"
#include "base/Time.h"
#include "control/FleetView.h"
#include "net/Address.h"
#include "net/HttpServer.h"
#include "telemetry/Metrics.h"

namespace boragepitch::gateway {

struct AgentLimits
{
  size_t maxQueue = 64;
  base::Milliseconds maxQueueWait{ 2000 };
  base::Milliseconds defaultDeadline{ 30000 };
  base::Milliseconds engineSilence{ 10000 }; ///< Longest silence of the engine in a stream.
  base::Milliseconds probeTimeout{ 300 };    ///< For state queries and cancellations.
  base::Milliseconds refreshEvery{ 20 };     ///< Period of reading the fleet view.
  size_t maxAnswerBytes = 16 << 20;          ///< Largest response of a service call.
  size_t maxOutcomes = 4096;                 ///< Finished requests that GET /run still knows.
  size_t maxOutcomeBytes = 64 << 10;         ///< Larger answers are not kept for GET /run.
};

/** What the agent knows of the engine, verified by reading its state. */
struct EngineState
{
  std::vector<control::ServedModel> serving; ///< Model versions whose manifests were verified.
  std::string instance;                      ///< Boot id of the engine.
  bool cold = true;
  int coldLimit = 1;
  int warmLimit = 1;
};

/**
 * Takes requests for one endpoint from all entries: admits, queues or refuses them, and relays them
 * to the engine or plain service beside it (docs/design.md, section 9). Refuses everything until
 * setServing() was called.
 */
class AgentGateway
{
public:
  /** Gets everything that this node must publish in NodeState::suspects. */
  using SuspectsHandler = std::function<void(std::vector<control::Suspect>)>;
  /** Told when a request found the engine gone or changed; the argument is the old instance. */
  using CrashHandler = std::function<void(std::string)>;

  class Builder
  {
  public:
    /** Required; outlives the gateway. */
    Builder& fleet(control::FleetView& aFleet);
    /** Required; outlives the gateway. */
    Builder& metrics(telemetry::Registry& aMetrics);
    /** Id of this node, its zone, and the name of its Endpoint resource. */
    Builder& place(std::string aNodeId, std::string aZone, std::string aEndpoint);
    /** Engine or plain service; required. */
    Builder& target(net::Address aAddress);
    Builder& limits(AgentLimits aLimits);
    /** Called without locks held, from request threads; must be quick and thread-safe. */
    Builder& onSuspects(SuspectsHandler aHandler);
    Builder& onCrash(CrashHandler aHandler);
    std::unique_ptr<AgentGateway> build();

  private:
    friend class AgentGateway;
    control::FleetView* mFleet = nullptr;
    telemetry::Registry* mMetrics = nullptr;
    std::string mNodeId;
    std::string mZone;
    std::string mEndpoint;
    net::Address mTarget;
    AgentLimits mLimits;
    SuspectsHandler mOnSuspects;
    CrashHandler mOnCrash;
  };

  virtual ~AgentGateway() = default;
  /** Adds the routes under /run to the data server; call before its start(). The server must be
   * stopped before the gateway is destroyed. */
  virtual void attach(net::HttpServer& aServer) = 0;
  /** Replaces what the engine is known to serve. For a plain service: serving and instance empty.
   */
  virtual void setServing(EngineState aState) = 0;
  /** Reads the fleet view now instead of at the next period. */
  virtual void refresh() = 0;
  /** Refuses new work and waits for the work in flight. Timeout when aLimit passed first; new work
   * stays refused until resume(). */
  virtual base::Status drain(base::Milliseconds aLimit) = 0;
  /** Ends drain(). Has no effect after startLeaving(). */
  virtual void resume() = 0;
  /** From now on refuses new requests for good; those in flight are finished. */
  virtual void startLeaving() = 0;
  virtual int running() const = 0;
  virtual int queued() const = 0;
  /** State for the process's dump. */
  virtual Json::Value dump() const = 0;
};

} // namespace boragepitch::gateway
