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
  base::Milliseconds defaultDeadline{ 30000 }; ///< When the caller sends no X-Deadline-Ms.
  base::Milliseconds largestDeadline{ 600000 };
  base::Milliseconds progressTimeout{ 1000 }; ///< Silence after which a connection is probed.
  base::Milliseconds probeTimeout{ 300 };     ///< For each probe and cancellation.
  base::Milliseconds claimTimeout{ 2000 };    ///< For each step of a claim.
  base::Milliseconds refreshEvery{ 20 };      ///< Period of reading the fleet view.
  /** Longest wait for the other entries to know a second crash before the final response. */
  base::Milliseconds noticeLimit{ 100 };
  int maxAttempts = 4;              ///< Endpoints tried for one request.
  size_t maxAnswerBytes = 16 << 20; ///< Largest response of a service call.
  int maxConcurrency = 4096;
  double retryRatio = 0.1; ///< Retries allowed for each first try.
  double retryReserve = 10;
};

/**
 * Serves the callers' API of an entry (docs/design.md, section 9): generate streams, service calls
 * and outcomes. Each request gets at most one response, which is complete and its own, or a refusal
 * that says whether it ran.
 */
class EntryGateway
{
public:
  /** Starts telling the other entries which crashes a request was in flight at; must not block. The
   * future is ready when every live entry has acknowledged or failed to. */
  using SuspectNotice = std::function<std::shared_future<void>(std::vector<control::Suspect>)>;

  class Builder
  {
  public:
    /** Required; outlives the gateway. */
    Builder& fleet(control::FleetView& aFleet);
    /** Required; holds the claims; outlives the gateway. */
    Builder& table(stores::TableClient& aTable);
    /** Required; outlives the gateway. */
    Builder& metrics(telemetry::Registry& aMetrics);
    /** Id, zone and region of this process. */
    Builder& place(std::string aNodeId, std::string aZone, std::string aRegion);
    Builder& limits(EntryLimits aLimits);
    /** Replaces power of two choices, for comparisons. */
    Builder& choice(std::unique_ptr<routing::EndpointChoice> aChoice);
    /** Optional: without it, other entries learn of crashes from node records alone. */
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
  /** Adds the routes under /v1 to the callers' server; call before its start(). The server must be
   * stopped before the gateway is destroyed. */
  virtual void attach(net::HttpServer& aServer) = 0;
  /** Reads the fleet view now instead of at the next period. */
  virtual void refresh() = 0;
  /** Takes in a notice of another entry. */
  virtual void learnSuspects(const std::vector<control::Suspect>& aSuspects) = 0;
  /** From now on refuses new requests with X-Ran: no; those in flight are finished. */
  virtual void startLeaving() = 0;
  /** Requests in flight. */
  virtual size_t inFlight() const = 0;
  /** Waits until nothing is in flight; false when aLimit passed first. */
  virtual bool waitIdle(base::Milliseconds aLimit) = 0;
  /** State for the process's dump. */
  virtual Json::Value dump() const = 0;
};

} // namespace boragepitch::gateway
