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
  base::Milliseconds engineIdleTimeout{ 10000 }; ///< Idle timeout of an engine's stream.
  base::Milliseconds probeTimeout{ 300 };        ///< For state queries and cancellations.
  base::Milliseconds refreshInterval{ 20 };      ///< Poll interval of the fleet view.
  size_t maxResponseBytes = 16 << 20;            ///< Largest response of a service call.
  size_t maxEndedRuns = 4096;                    ///< Ended requests kept for GET /run.
  size_t maxKeptResponseBytes = 64 << 10;        ///< Larger responses are not kept for GET /run.
};

/** State of the engine, as verified by the agent. */
struct EngineState
{
  std::vector<control::ServedModel> serving; ///< Model versions with verified manifests.
  std::string instance;                      ///< Boot id of the engine.
  bool cold = true;
  int coldLimit = 1;
  int warmLimit = 1;
};

/**
 * Takes requests for one endpoint from all entries: admits, queues or refuses them, and relays the
 * admitted ones to the engine or plain service on the same VM (docs/design.md, section 9). Refuses
 * everything until setServing() is called.
 */
class AgentGateway
{
public:
  /** Receives the complete list that this node must publish in NodeState::suspects. */
  using SuspectsHandler = std::function<void(std::vector<control::Suspect>)>;
  /** Called when a request found that the engine had crashed or been replaced; the argument is the
   * lost instance. */
  using CrashHandler = std::function<void(std::string)>;

  class Builder
  {
  public:
    /** Required; outlives the gateway. */
    Builder& fleet(control::FleetView& aFleet);
    /** Required; outlives the gateway. */
    Builder& metrics(telemetry::Registry& aMetrics);
    /** Id of this node, its zone, and the name of its Endpoint resource. */
    Builder& identity(std::string aNodeId, std::string aZone, std::string aEndpoint);
    /** Address of the engine or plain service; required. */
    Builder& target(net::Address aAddress);
    Builder& limits(AgentLimits aLimits);
    /** Handlers are called without locks held, from request threads and the refresh thread; they
     * must be fast and thread-safe. */
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
  /** Adds the routes under /run to the data server; call it before the server starts. The server
   * must be stopped before the gateway is destroyed. */
  virtual void attach(net::HttpServer& aServer) = 0;
  /** Replaces the known engine state. For a plain service, serving and instance are empty. */
  virtual void setServing(EngineState aState) = 0;
  /** Reads the fleet view now instead of at the next poll. */
  virtual void refresh() = 0;
  /** Refuses new requests and waits until none is in flight; Timeout after aTimeout. New requests
   * stay refused until resume(), also after a timeout. */
  virtual base::Status drain(base::Milliseconds aTimeout) = 0;
  /** Ends drain(). Has no effect after startLeaving(). */
  virtual void resume() = 0;
  /** Refuses new requests permanently; requests in flight continue. */
  virtual void startLeaving() = 0;
  virtual int running() const = 0;
  virtual int queued() const = 0;
  /** State for the diagnostic dump of the process. */
  virtual Json::Value dump() const = 0;
};

} // namespace boragepitch::gateway
