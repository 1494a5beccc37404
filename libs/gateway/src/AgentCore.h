#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "AdmissionGate.h"
#include "Messages.h"
#include "RunTable.h"
#include "WorkerPool.h"
#include "gateway/AgentGateway.h"
#include "routing/PoisonTracker.h"

namespace boragepitch::gateway {

struct AgentOptions
{
  control::FleetView* fleet = nullptr;
  std::string nodeId;
  std::string zone;
  std::string endpoint;
  net::Address target;
  AgentLimits limits;
  AgentGateway::SuspectsHandler onSuspects;
  AgentGateway::CrashHandler onCrash;
};

struct AgentMetrics
{
  explicit AgentMetrics(telemetry::Registry& aRegistry);

  telemetry::Counter& started;
  telemetry::Counter& refused;
  telemetry::Counter& cut;
  telemetry::Counter& foreign;
  telemetry::Counter& crashes;
  telemetry::LatencyHistogram& firstByte;
};

/** State that the request paths of one agent share. Thread-safe. */
class AgentCore
{
public:
  AgentCore(AgentOptions aOptions, telemetry::Registry& aMetrics);

  void setServing(EngineState aState);
  std::shared_ptr<const EngineState> engine() const { return mEngine.load(); }
  void setDraining(bool aDraining);
  void setLeaving();
  /** Follows the fleet view: service switches, isolation, suspects of other nodes. */
  void refresh();

  /** Why no new work is taken; empty when it is. */
  std::string closedReason() const;
  /** Asks the engine for its state on a new connection. */
  base::Result<EngineState> queryEngine() const;
  /** Reads the engine's state before a request that a cold engine could not bear. False when it has
   * become cold or was replaced. */
  bool confirmWarm();
  /**
   * Finds out whether the engine crashed after a connection to it broke. Returns the crash id, or
   * nothing when the same instance still runs.
   */
  std::string checkCrash(const std::string& aInstance);
  void recordCrash(const std::string& aFingerprint, const std::string& aCrashId);
  void recordCompletion(const std::string& aFingerprint);
  /** Also learns of the suspicion that the entry names. */
  routing::Suspicion suspicion(const std::string& aFingerprint, const std::string& aCrashId);

  /** Adds the load headers. */
  void addLoad(net::HttpResponse& aResponse) const;
  net::HttpResponse refuse(const routing::Decision& aDecision) const;

  const AgentOptions options;
  AgentMetrics metrics;
  AdmissionGate gate;
  RunTable runs;
  net::ClientPool pool;
  std::atomic<uint64_t> lastWork{ 0 };
  WorkerPool workers; ///< Last: its threads use the members above.

private:
  std::string currentReason(base::TimePoint aNow) const;
  void updateGate();
  void learnSuspects(base::TimePoint aNow);
  routing::AdmissionLimits admissionLimits(const EngineState& aState) const;

  std::atomic<std::shared_ptr<const EngineState>> mEngine;
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mLeaving{ false };
  mutable std::mutex mGateMutex; ///< Orders updates of the gate.
  mutable std::mutex mMutex;     ///< Guards the members below.
  routing::PoisonTracker mPoison;
  std::shared_ptr<const control::NodeTable> mSeenNodes; ///< Whose suspects are learned.
  std::string mGoneInstance; ///< Instance that crashed; its state is void.
};

/** Relay of generate requests to the engine. */
net::HttpResponse runGenerate(const std::shared_ptr<AgentCore>& aCore,
                              const net::HttpRequest& aRequest);
/** Relay of calls to a plain service. */
net::HttpResponse runService(const std::shared_ptr<AgentCore>& aCore,
                             const net::HttpRequest& aRequest);

/** What an entry says about an attempt in headers. */
struct AttemptHeaders
{
  std::string id;
  std::string attempt;
  std::string fingerprint;
  std::string crashId;
  routing::Work work;
};

base::Result<AttemptHeaders> readAttempt(AgentCore& aCore, const net::HttpRequest& aRequest);

} // namespace boragepitch::gateway
