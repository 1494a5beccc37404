#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

#include "Messages.h"
#include "UpstreamCall.h"
#include "WorkerPool.h"
#include "base/Limits.h"
#include "gateway/EntryGateway.h"
#include "routing/AdaptiveLimit.h"
#include "routing/CacheHints.h"
#include "routing/ClaimStore.h"
#include "routing/FairShare.h"
#include "routing/PoisonTracker.h"

namespace boragepitch::gateway {

struct EntryOptions
{
  control::FleetView* fleet = nullptr;
  stores::TableClient* table = nullptr;
  std::string nodeId;
  std::string zone;
  std::string region;
  EntryLimits limits;
  uint64_t seed = 1;
  EntryGateway::SuspectNotice suspectNotice;
};

struct EntryMetrics
{
  explicit EntryMetrics(telemetry::Registry& aRegistry);

  telemetry::Counter& requests;
  telemetry::Counter& answered;
  telemetry::Counter& refused;
  telemetry::Counter& retries;
  telemetry::Counter& resumed;
  telemetry::Counter& cut;
  telemetry::Counter& foreign;
  telemetry::Counter& silentConnections;
  telemetry::Counter& callersLeft;
  telemetry::LatencyHistogram& firstEvent;
};

/** Properties common to generate requests and service calls. */
struct CallerRequest
{
  std::string workspace;
  std::string requestId; ///< Chosen by the caller; echoed in the response.
  std::string runId;     ///< Unique id from this entry; each attempt appends its number.
  int priority = kDefaultPriority;
  base::TimePoint arrivedAt;
  base::TimePoint deadline;
};

/** State shared by the request handlers of one entry. Thread-safe. */
class EntryCore
{
public:
  EntryCore(EntryOptions aOptions,
            telemetry::Registry& aMetrics,
            std::unique_ptr<routing::EndpointChoice> aChoice);

  /** Applies the fleet view. */
  void refresh();
  std::shared_ptr<const routing::EndpointTable> table() const { return mTable.load(); }

  /** Reads the common headers; a refusal when they are invalid or new requests are refused. */
  tl::expected<CallerRequest, Refusal> accept(const net::HttpRequest& aRequest);
  /** Picks an endpoint and counts the request as in flight there until releaseEndpoint(); null when
   * there is none. */
  std::shared_ptr<const routing::EndpointInfo> choose(routing::ChoiceRequest aRequest);
  void releaseEndpoint(const routing::EndpointInfo& aEndpoint) { --aEndpoint.load->inFlight; }
  /** Directs new requests to other endpoints for the given time. */
  void avoid(const routing::EndpointInfo& aEndpoint, base::Duration aDuration);
  void recordLoad(const routing::EndpointInfo& aEndpoint, const net::ClientResponse& aHead);

  bool tryStart(const std::string& aWorkspace);
  void finish(const std::string& aWorkspace, bool aAnswered, bool aOverloaded);
  bool tryRetry();
  routing::Suspicion suspicion(const std::string& aFingerprint);
  void learnSuspect(const control::Suspect& aSuspect);
  /** Records that a suspect has got past the place of its crash. */
  void recordProgress(const std::string& aFingerprint);
  /** Whether the request was cleared of this crash. */
  bool isCleared(const std::string& aFingerprint, const std::string& aCrashId) const;
  bool isAlive(const std::string& aNodeId) const;

  /** Sends GET or DELETE /run/<id> to an agent over a new connection. */
  base::Result<Json::Value> queryAgent(const net::Address& aAgent,
                                       const char* aMethod,
                                       const std::string& aRunId) const;
  /** Cancels a run asynchronously. */
  void cancelAsync(const net::Address& aAgent, const std::string& aRunId);

  void setLeaving() { mLeaving = true; }
  size_t inFlight() const;
  bool waitIdle(base::TimePoint aUntil);
  Json::Value dump() const;

  const EntryOptions options;
  EntryMetrics metrics;
  net::ClientPool pool;
  routing::CacheHints hints;
  routing::ClaimStore claims;

private:
  void learnSuspects();

  std::unique_ptr<routing::EndpointChoice> mChoice;
  std::atomic<std::shared_ptr<const routing::EndpointTable>> mTable;
  std::atomic<bool> mLeaving{ false };
  std::atomic<uint64_t> mLastRunNumber{ 0 };
  const std::string mRunIdPrefix;
  std::shared_ptr<const resources::Snapshot> mSeenConfig; ///< Last one applied.
  std::shared_ptr<const control::NodeTable> mSeenNodes;
  std::mutex mRefreshMutex;  ///< Guards mSeenConfig and mSeenNodes.
  mutable std::mutex mMutex; ///< Guards the members below.
  std::condition_variable mIdle;
  routing::FairShare mFairShare;
  routing::AdaptiveLimit mLimit;
  base::RetryBudget mRetries;
  routing::PoisonTracker mPoison;

public:
  WorkerPool workers; ///< Last member, since its threads use those above.
};

/** Holds a request's slot in the concurrency limit; the destructor releases it. */
class ConcurrencySlot
{
public:
  ConcurrencySlot(std::shared_ptr<EntryCore> aCore, std::string aWorkspace)
    : mCore(std::move(aCore))
    , mWorkspace(std::move(aWorkspace))
  {
  }
  ~ConcurrencySlot() { mCore->finish(mWorkspace, mAnswered, mOverloaded); }
  ConcurrencySlot(const ConcurrencySlot&) = delete;
  ConcurrencySlot& operator=(const ConcurrencySlot&) = delete;

  void markAnswered() { mAnswered = true; }
  void markOverloaded() { mOverloaded = true; }

private:
  std::shared_ptr<EntryCore> mCore;
  std::string mWorkspace;
  bool mAnswered = false;
  bool mOverloaded = false;
};

/** Response to a refusal, with the caller's request id; counts it. */
net::HttpResponse refuse(EntryCore& aCore, const Refusal& aRefusal, const std::string& aRequestId);
Refusal overloadRefusal(std::string aMessage, base::Duration aRetryAfter);

net::HttpResponse generate(const std::shared_ptr<EntryCore>& aCore,
                           const net::HttpRequest& aRequest);
net::HttpResponse callService(const std::shared_ptr<EntryCore>& aCore,
                              const net::HttpRequest& aRequest);
net::HttpResponse outcome(const std::shared_ptr<EntryCore>& aCore,
                          const net::HttpRequest& aRequest);

/** Hash of a request's content, 32 hexadecimal digits. */
std::string fingerprintOf(std::initializer_list<std::string_view> aParts);

} // namespace boragepitch::gateway
