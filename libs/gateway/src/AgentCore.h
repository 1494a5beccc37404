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

/** State shared by the request handlers of one agent. Thread-safe. */
class AgentCore
{
public:
  AgentCore(AgentOptions aOptions, telemetry::Registry& aMetrics);

  void setServing(EngineState aState);
  std::shared_ptr<const EngineState> engine() const { return mEngine.load(); }
  void setDraining(bool aDraining);
  void setLeaving();
  /** Applies the fleet view: in-service flags, isolation, suspects of other nodes. */
  void refresh();

  /** Why new requests are refused; empty when they are not. */
  std::string closedReason() const;
  /** Reads the engine's state over a new connection. */
  base::Result<EngineState> queryEngine() const;
  /** Rereads the engine's state before a request above the cold limit is sent. False when the
   * engine is cold, was replaced or does not answer; it then counts as cold. */
  bool confirmWarm();
  /**
   * Checks after a lost connection whether the engine crashed. Returns the crash id, or an empty
   * string when the same instance still runs.
   */
  std::string checkCrash(const std::string& aInstance);
  void recordCrash(const std::string& aFingerprint, const std::string& aCrashId);
  void recordCompletion(const std::string& aFingerprint);
  /** Records that a suspect has got past the place of its crash. */
  void recordProgress(const std::string& aFingerprint);
  /** Suspicion of a request, including the crash named by the entry unless aCrashId is empty. */
  routing::Suspicion suspicion(const std::string& aFingerprint, const std::string& aCrashId);

  /** Adds the headers that report the load. */
  void addLoadHeaders(net::HttpResponse& aResponse) const;
  net::HttpResponse refuse(const routing::Decision& aDecision) const;

  const AgentOptions options;
  AgentMetrics metrics;
  AdmissionGate gate;
  RunTable runs;
  net::ClientPool pool;
  std::atomic<uint64_t> lastAdmissionId{ 0 };
  WorkerPool workers; ///< Last member, since its threads use those above.

private:
  std::string closedReasonAt(base::TimePoint aNow) const;
  void updateGate();
  void learnSuspects(base::TimePoint aNow);
  routing::AdmissionLimits admissionLimits(const EngineState& aState) const;

  std::atomic<std::shared_ptr<const EngineState>> mEngine;
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mLeaving{ false };
  mutable std::mutex mGateMutex; ///< Serialises updates of the gate.
  mutable std::mutex mMutex;     ///< Guards the members below.
  routing::PoisonTracker mPoison;
  std::shared_ptr<const control::NodeTable> mSeenNodes; ///< Records already searched for suspects.
  std::string mCrashedInstance; ///< Crashed instance; its known state is invalid.
};

/** Relays a generate request to the engine. */
net::HttpResponse runGenerate(const std::shared_ptr<AgentCore>& aCore,
                              const net::HttpRequest& aRequest);
/** Relays a call to the plain service. */
net::HttpResponse runService(const std::shared_ptr<AgentCore>& aCore,
                             const net::HttpRequest& aRequest);

/** Description of an attempt, from the request headers of the entry. */
struct AttemptHeaders
{
  std::string id;
  std::string attempt;
  std::string fingerprint;
  std::string crashId;
  routing::AdmissionRequest admission;
};

base::Result<AttemptHeaders> readAttempt(AgentCore& aCore, const net::HttpRequest& aRequest);

} // namespace boragepitch::gateway
