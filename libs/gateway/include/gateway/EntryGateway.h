#pragma once

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/Time.h"
#include "control/FleetView.h"
#include "net/HttpServer.h"
#include "routing/EndpointChoice.h"
#include "stores/Stores.h"
#include "telemetry/Metrics.h"

namespace boragepitch::gateway {

struct EntryLimits
{
  base::Milliseconds defaultDeadline{ 30000 }; ///< Used without X-Deadline-Ms.
  base::Milliseconds maxDeadline{ 600000 };
  base::Milliseconds progressTimeout{ 1000 }; ///< Idle time before a connection is probed.
  base::Milliseconds probeTimeout{ 300 };     ///< Per probe or cancellation.
  base::Milliseconds claimTimeout{ 2000 };    ///< Per operation on a claim.
  base::Milliseconds refreshInterval{ 20 };   ///< Poll interval of the fleet view.
  /** Longest wait for the other entries to acknowledge a suspect notice before a poison request is
   * refused. */
  base::Milliseconds noticeTimeout{ 100 };
  int maxAttempts = 4;                ///< Attempts per request.
  size_t maxResponseBytes = 16 << 20; ///< Largest response of a service call.
  int maxConcurrency = 4096;
  double retryRatio = 0.1;  ///< Retries allowed per first try.
  double retryReserve = 10; ///< Retries allowed without traffic.
};

/**
 * Serves the API of an entry for callers (docs/design.md, section 9): generate streams, service
 * calls and outcomes. A caller gets either one complete response to its request or a refusal that
 * says whether the request ran.
 */
class EntryGateway
{
public:
  /** Starts sending the other entries the crashes at which a request was in flight; must not block.
   * The future becomes ready when each live entry has acknowledged or failed. */
  using SuspectNotice = std::function<std::shared_future<void>(std::vector<control::Suspect>)>;

  class Builder
  {
  public:
    /** Required; outlives the gateway. */
    Builder& fleet(control::FleetView& aFleet);
    /** Table that stores the claims. Required; outlives the gateway. */
    Builder& table(stores::TableClient& aTable);
    /** Required; outlives the gateway. */
    Builder& metrics(telemetry::Registry& aMetrics);
    /** Id, zone and region of this process. */
    Builder& identity(std::string aNodeId, std::string aZone, std::string aRegion);
    Builder& limits(EntryLimits aLimits);
    /** Replaces the default, PowerOfTwoChoice. */
    Builder& choice(std::unique_ptr<routing::EndpointChoice> aChoice);
    /** Optional; without it, other entries learn of crashes only from node records. */
    Builder& suspectNotice(SuspectNotice aNotice);
    Builder& seed(uint64_t aSeed);
    std::unique_ptr<EntryGateway> build();

  private:
    friend class EntryGateway;
    control::FleetView* mFleet = nullptr;
    stores::TableClient* mTable = nullptr;
    telemetry::Registry* mMetrics = nullptr;
    std::string mNodeId;
    std::string mZone;
    std::string mRegion;
    EntryLimits mLimits;
    std::unique_ptr<routing::EndpointChoice> mChoice;
    SuspectNotice mNotice;
    uint64_t mSeed = 1;
  };

  virtual ~EntryGateway() = default;
  /** Adds the routes under /v1 to the server for callers; call it before the server starts. The
   * server must be stopped before the gateway is destroyed. */
  virtual void attach(net::HttpServer& aServer) = 0;
  /** Reads the fleet view now instead of at the next poll. */
  virtual void refresh() = 0;
  /** Records the suspects from another entry's notice. */
  virtual void learnSuspects(const std::vector<control::Suspect>& aSuspects) = 0;
  /** Refuses new requests with X-Ran: no; requests in flight continue. */
  virtual void startLeaving() = 0;
  /** Number of requests in flight. */
  virtual size_t inFlight() const = 0;
  /** Waits until no request is in flight; false after aTimeout. */
  virtual bool waitIdle(base::Milliseconds aTimeout) = 0;
  /** State for the diagnostic dump of the process. */
  virtual Json::Value dump() const = 0;
};

} // namespace boragepitch::gateway
