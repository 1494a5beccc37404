#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Error.h"
#include "net/Address.h"
#include "relay/HeaderCodec.h"
#include "serving/Deployment.h"
#include "serving/EndpointSet.h"
#include "serving/EntrySubset.h"
#include "serving/HedgePolicy.h"
#include "serving/PeerMessage.h"
#include "serving/PriorityAdmission.h"
#include "serving/SharedRetryBudget.h"
#include "telemetry/EventLog.h"
#include "telemetry/Metrics.h"

namespace boragepitch::relay {

struct RelayOptions
{
  std::string node;
  net::Address callers;   ///< Listens for callers.
  net::Address readiness; ///< Listens for the platform's readiness polls.
  std::string readinessPath;
  /** For operators: serves the metrics as text, and at /route, to a POST, where a request would be
   * sent now. */
  std::optional<net::Address> metrics;
  net::Address peers; ///< Receives datagrams of the other processes.
  /** Beyond it the connection that has been idle for longest is closed for a new one. */
  size_t maxCallerConnections = 3000;
  /** Bytes that are held at once for all connections of callers and all answers. Under half of the
   * memory of the process: the process itself takes some 30 MB, and strings that grow are copied.
   */
  size_t maxHeldBytes = 112 << 20;
  /** Bytes of a request beside its head and its payload: size lines and extensions of chunks,
   * trailers. Also bounds an unfinished line. */
  size_t maxFramingBytes = 64 << 10;
  /** Further bytes of that kind for each byte of payload. A chunk of one byte takes 5. */
  size_t framingBytesPerByte = 16;
  /** A caller that takes no byte of an answer for this long is disconnected. */
  base::Milliseconds unreadTimeout{ 30000 };
  size_t maxStatusConnections = 64; ///< Connections to the readiness port, and to the metrics port.
  /** A connection to these ports that sends no whole request for this long is closed. */
  base::Milliseconds statusTimeout{ 10000 };
  serving::PlacementOptions placement;
  serving::PriorityLimits priorities;
  serving::WorkspaceShares workspaceShares;
  serving::RetryLimits retries;
  serving::HedgeOptions hedges; ///< Disabled by default.
  /** Time after the enforcement of a version in which a request that was sent before may still
   * begin on an older one; it is then withdrawn from the endpoint. */
  base::Milliseconds versionStartGrace{ 600 };
  /** How long a stop still accepts connections. The platform polls readiness every second and
   * sends new callers for up to two more polls. */
  base::Milliseconds leaveAcceptTime{ 2600 };
  /** Maximum duration of a stop. Requests that cannot be answered by then are refused when they
   * arrive; those in flight are given up and answered shortly before. */
  base::Milliseconds leaveLimit{ 7000 };
  /** How long a stop goes on after its limit to answer what has arrived and to write answers. */
  base::Milliseconds leaveEndTime{ 300 };
  uint64_t seed = 1;
};

/** Has the C library return the memory of long bodies to the system once they are freed, so that
 * the process holds no more than it uses. Call it once, before other threads start. */
void limitHeldMemory();

/** Another entry. */
struct Peer
{
  serving::EntryIdentity identity;
  net::Address address; ///< Receives datagrams.
};

/**
 * The event-driven data path between callers and endpoints; one thread serves all connections. It
 * matches routes, checks keys, places requests, retries them where that is safe, resumes streams,
 * and refuses what cannot be served now. Functions marked "any thread" post their argument to the
 * event loop; start() must be called before run().
 */
class Relay
{
public:
  class Builder
  {
  public:
    Builder& options(RelayOptions aOptions);
    /** Required, as are metrics() and log(); the objects must outlive the Relay. */
    Builder& headerCodec(const HeaderCodec* aHeaderCodec);
    Builder& metrics(telemetry::Registry* aRegistry);
    Builder& log(telemetry::EventLog* aLog);
    std::unique_ptr<Relay> build();

  private:
    friend class RelayImpl;
    RelayOptions mOptions;
    const HeaderCodec* mHeaderCodec = nullptr;
    telemetry::Registry* mMetrics = nullptr;
    telemetry::EventLog* mLog = nullptr;
  };

  virtual ~Relay() = default;

  /** Binds the addresses; ErrorKind::Unavailable when one is in use. */
  virtual base::Status start() = 0;
  /** Serves until the stop that startLeaving() initiates is complete. */
  virtual void run() = 0;

  /** Any thread: initiates a graceful stop. The relay reports not ready, still serves requests that
   * arrive and can be answered in time, completes those in flight, and then ends run().
   * @param aSignalledAt when the process was told to stop; the event loop may learn of it late. */
  virtual void startLeaving(base::TimePoint aSignalledAt) = 0;
  /** Any thread: sets the configuration, unless it is not newer than the present one. */
  virtual void setDeployment(std::shared_ptr<const serving::Deployment> aDeployment) = 0;
  /** Any thread: applies changes of the list of endpoints in the order given. */
  virtual void changeEndpoints(std::vector<serving::EndpointChange> aChanges) = 0;
  /** Any thread: sets the zones whose endpoints get no new requests. */
  virtual void setEvacuated(std::set<std::string> aZones) = 0;
  /** Any thread: from aEnforceFrom on, requests start on this or a newer version of the model's
   * weights only. A further call for the same version can only move the time to an earlier one. */
  virtual void declareVersion(std::string aModel,
                              uint64_t aVersion,
                              base::TimePoint aEnforceFrom) = 0;
  /** Any thread: sets the other entries, which share the retry budget and the endpoints with this
   * one. */
  virtual void setPeers(std::vector<Peer> aPeers) = 0;
  /** Any thread: the known endpoints matched the platform's list at time aAt. */
  virtual void confirmList(base::TimePoint aAt) = 0;
};

} // namespace boragepitch::relay
