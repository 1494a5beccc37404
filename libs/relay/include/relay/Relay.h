#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Error.h"
#include "net/Address.h"
#include "relay/Dialect.h"
#include "serving/Deployment.h"
#include "serving/EndpointSet.h"
#include "serving/PeerMessage.h"
#include "serving/RetryLedger.h"
#include "telemetry/EventLog.h"
#include "telemetry/Metrics.h"

namespace boragepitch::relay {

struct RelayOptions
{
  std::string node;
  net::Address callers;   ///< Where callers connect.
  net::Address readiness; ///< Where the platform asks whether to send new callers.
  std::string readinessPath;
  std::optional<net::Address> metrics; ///< Text exposition at any path.
  net::Address peers;                  ///< Datagrams of other processes of the system.
  size_t maxCallerConnections = 3000;
  serving::PlacementOptions placement;
  serving::RetryLimits retries;
  /** After readiness ends the platform sends new callers until it has noticed, within two polls of
   * a second each; connections are accepted for longer than that. */
  base::Milliseconds leaveAccept{ 2600 };
  /** How long a stop waits for requests in flight. */
  base::Milliseconds leaveLimit{ 7000 };
  uint64_t seed = 1;
};

/**
 * The event-driven data path between callers and endpoints: one thread, any number of connections.
 * It matches routes, checks keys, places requests, repeats what may be repeated, resumes streams
 * and answers what cannot be served at once. Functions marked "any thread" hand their argument to
 * the loop; the others are called before run().
 */
class Relay
{
public:
  class Builder
  {
  public:
    Builder& options(RelayOptions aOptions);
    /** Required; the pointers below outlive the Relay. */
    Builder& dialect(const Dialect* aDialect);
    Builder& metrics(telemetry::Registry* aRegistry);
    Builder& log(telemetry::EventLog* aLog);
    std::unique_ptr<Relay> build();

  private:
    friend class RelayImpl;
    RelayOptions mOptions;
    const Dialect* mDialect = nullptr;
    telemetry::Registry* mMetrics = nullptr;
    telemetry::EventLog* mLog = nullptr;
  };

  virtual ~Relay() = default;

  /** Binds the addresses. Unavailable when one is in use. */
  virtual base::Status start() = 0;
  /** Serves until a stop that startLeaving() began is complete. */
  virtual void run() = 0;

  /** Any thread: stops being ready, serves what arrives, finishes what runs, ends run(). */
  virtual void startLeaving() = 0;
  /** Any thread. An older version than the present one is ignored. */
  virtual void setDeployment(std::shared_ptr<const serving::Deployment> aDeployment) = 0;
  /** Any thread: applies changes of the list of endpoints in the order given. */
  virtual void changeEndpoints(std::vector<serving::EndpointChange> aChanges) = 0;
  /** Any thread: the zones whose endpoints get no new work. */
  virtual void setEvacuated(std::set<std::string> aZones) = 0;
  /** Any thread: from aEnforceFrom on, requests start on these weights of the model or newer
   * ones. */
  virtual void declareVersion(std::string aModel,
                              uint64_t aVersion,
                              base::TimePoint aEnforceFrom) = 0;
  /** Any thread: the other entries, which share budgets with this one. */
  virtual void setPeers(std::vector<net::Address> aPeers) = 0;
  /** Any thread: what is known of the endpoints was the whole list at aAt. */
  virtual void confirmList(base::TimePoint aAt) = 0;
};

} // namespace boragepitch::relay
