#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/Rng.h"
#include "base/Time.h"
#include "net/Address.h"
#include "serving/Deployment.h"
#include "serving/EntrySubset.h"
#include "serving/RequestLimit.h"
#include "serving/VersionSchedule.h"

namespace boragepitch::serving {

/** The row of one endpoint in the platform's list. */
struct EndpointRecord
{
  std::string id; ///< Usually changes when the endpoint restarts.
  std::string service;
  net::Address address;
  std::string zone;
  std::string region;
  /** Start time in Unix milliseconds; tells restarts under the same id apart. */
  uint64_t startTimeMs = 0;
  bool isDraining = false;
  int slots = 1;
  base::Milliseconds coldFor{ 0 }; ///< Remaining time of its cold start.
  /** Version of the weights that all layers of its model hold; empty when they hold no single
   * version or the service has no weights. */
  std::optional<uint64_t> weightVersion;
};

/** Removal of an endpoint from the platform's list. */
struct EndpointGone
{
  std::string id;
  /** The endpoint may be missing only because the list was unavailable; see LapseGuard. */
  bool hasLapsed = false;
};

/** One change of the platform's list. A later change replaces an earlier one of the same id. */
using EndpointChange = std::variant<EndpointRecord, EndpointGone>;

/** Load of an endpoint, as read by the loader that runs beside it. */
struct LoadReport
{
  std::string address;      ///< Address of the endpoint, IP:PORT.
  uint64_t startTimeMs = 0; ///< Start time, as in EndpointRecord.
  int running = 0;
  int queued = 0;
  double pace = 1;            ///< Time per unit of work relative to normal; over 1 is slower.
  double memoryUsed = 0;      ///< Share of the memory for requests that is in use, 0 to 1.
  uint64_t weightVersion = 0; ///< 0 while the endpoint holds no complete weights.
  bool isSwitching = false;   ///< It is loading other weights and takes no new requests.
  bool switchesSoon = false;  ///< It will start to load other weights within a second.
};

/** Result of a request sent to an endpoint, as evidence of the endpoint's health. */
enum class Outcome
{
  Success,
  Failure,     ///< The endpoint answered with a server error.
  Rejected,    ///< The endpoint did not run the request: it is full or switching weights.
  Misdirected, ///< The endpoint is another instance, or holds other weights, than expected.
  Broken,      ///< The connection broke, or the answer was invalid.
  Silent,      ///< No answer or event in time, or the endpoint was unreachable.
  Abandoned,   ///< The caller left; no evidence about the endpoint.
  Overtaken,   ///< The answer of another endpoint came first: evidence of a slow endpoint only.
};

std::string_view toString(Outcome aOutcome);

/** Precedence of a request over the others that wait at an endpoint. */
enum class Urgency
{
  Ordinary,
  /** The request was sent to another endpoint before: it gets spare capacity only, but is not
   * refused for being late. */
  Late,
  /** A stream that its caller is reading resumes at another endpoint: it precedes all other
   * requests and is not refused for being late. */
  Continued,
};

/** Requests that wait for their first event at an endpoint. */
struct Backlog
{
  int requests = 0;
  double promptMs = 0; ///< Time to prefill their prompts.

  void add(double aPromptMs)
  {
    ++requests;
    promptMs += aPromptMs;
  }
  void remove(double aPromptMs)
  {
    --requests;
    promptMs -= aPromptMs;
  }
};

/** Requests that wait for their first event at an engine, which admits more urgent ones first. */
class PriorityBacklog
{
public:
  void add(int aPriority, double aPromptMs) { of(aPriority).add(aPromptMs); }
  void remove(int aPriority, double aPromptMs) { of(aPriority).remove(aPromptMs); }
  /** Those that an engine admits before a new request of this priority. */
  Backlog ahead(int aPriority) const;
  Backlog total() const { return ahead(kPriorityCount - 1); }

private:
  Backlog& of(int aPriority) { return mByPriority.at(static_cast<size_t>(aPriority)); }

  std::array<Backlog, kPriorityCount> mByPriority{};
};

/** State of one endpoint as this process knows it. Created and changed by EndpointSet only. */
struct Endpoint
{
  EndpointRecord record;
  bool isListed = true;
  /** The endpoint announced its leave in its row or an answer. Holds until the endpoint restarts: a
   * stale row does not revoke it. */
  bool hasAnnouncedLeave = false;
  bool isLapsed = false; ///< Missing from the list, perhaps only because the list was unavailable.
  /** This process is one of the entries that use the endpoint; see EntrySubset. */
  bool isInSubset = true;
  /** Number of entries that take precedence over this one at the endpoint; see EntrySubset. */
  size_t entryRank = 0;
  /** When this process learned that the endpoint leaves, lapsed or is unlisted; else empty. */
  std::optional<base::TimePoint> leaveKnownAt;
  base::TimePoint unlistedAt; ///< When the endpoint left the list; valid while it is unlisted.
  int inFlight = 0;           ///< Requests of this process in flight.

  // Requests of this process that have no first event yet, by urgency.
  PriorityBacklog ordinary;
  Backlog late;
  Backlog continued;
  PriorityBacklog
    unreported; ///< Ordinary requests sent since the latest report; also in `ordinary`.
  /** Moving average over ordinary requests of the share that each priority has. */
  std::array<double, kPriorityCount> priorityShares{};
  uint32_t priorityShareCount = 0; ///< Requests in that average, up to a maximum.

  std::optional<LoadReport> report;
  uint64_t reportCount = 0; ///< Number of reports received.
  base::TimePoint reportedAt;
  int begunAtReport = 0;   ///< Own requests that had a first event when the report arrived.
  int waitingAtReport = 0; ///< Own requests that had no first event when the report arrived.

  base::TimePoint coldUntil;
  base::TimePoint avoidUntil;       ///< End of the backoff after a failed request.
  base::TimePoint pausedUntil;      ///< The endpoint asked for no requests until then.
  RequestLimit limit;               ///< Named by the answers of the endpoint.
  uint32_t consecutiveSilences = 0; ///< Consecutive requests with Outcome::Silent.
  int silentInFlight = 0;           ///< Own requests that are silent and still may be answered.
  /** Consecutive requests with Outcome::Broken, each sent after the one before had ended: the
   * requests that one failure cuts off count once. */
  uint32_t consecutiveBreaks = 0;
  base::TimePoint brokenAt;      ///< When the latest of them ended.
  base::TimePoint unstableUntil; ///< End of the backoff after them, if others are stable.
  double failureShare = 0;       ///< Moving average over requests, 0 to 1.
  /** Moving averages of actual less predicted time, by priority: less urgent requests are overtaken
   * by others that arrive after them. */
  std::array<double, kPriorityCount> predictionErrorMs{};
  /** Moving average over requests of the share that another endpoint overtook, 0 to 1, at
   * overtakenAt. It decays with time, too: an endpoint with a high share gets few requests. */
  double overtakenShare = 0;
  base::TimePoint overtakenAt;
  std::vector<base::TimePoint> recentSends; ///< Times of the sends within the last second.

  bool isCold(base::TimePoint aNow) const { return aNow < coldUntil; }
  /** Id and start time: names this start of the endpoint in crash reports. */
  std::string crashKey() const { return record.id + "/" + std::to_string(record.startTimeMs); }
  /** Latest known version of its weights; 0 when it holds none. */
  uint64_t weightVersion() const;
};

using EndpointPtr = std::shared_ptr<Endpoint>;

struct PlacementOptions
{
  std::string node;   ///< Name of this process.
  std::string zone;   ///< Zone of this process.
  std::string region; ///< Region of this process.
  SubsetOptions subset;
  double coldOvershoot = 1.5;
  double coldTolerance = 5;
  /** A request is refused when its predicted wait, without the time for its own prompt, exceeds
   * this share of its budget: capacity then goes to requests that can still be answered in time. */
  double budgetFactor = 0.55;
  /** Minimum of the limit that budgetFactor sets; never above the budget itself. An engine under
   * full load is predicted to need about 200 ms for any request: without this minimum most refused
   * requests would be those with tight targets. */
  base::Milliseconds minBudget{ 200 };
  /** Limit of the predicted wait of a request that leaves room for more urgent ones, as a share of
   * their limit. Below 1 it is refused before they are; an engine with a free slot is below it. */
  double deferredWait = 0.7;
  /** Maximum late requests of this process that wait at one engine. They start only where no other
   * request waits; further ones would not end before their callers leave. */
  int maxLateWaiting = 2;
  /** Maximum requests in flight at an endpoint of a service without engines, relative to its
   * slots. */
  double plainOvercommit = 1.5;
  /** Added to the cost of endpoints in other regions, to save traffic between regions. */
  base::Milliseconds remotePenalty{ 25 };
};

struct PlacementRequest
{
  const Route* route = nullptr;
  const Service* service = nullptr;
  const Workspace* workspace = nullptr;  ///< May be null.
  std::span<const std::string> excluded; ///< Ids of endpoints that were already tried.
  uint64_t minWeightVersion = 0;         ///< Oldest version of the weights that may be used.
  uint64_t promptTokens = 0;
  /** Time left until the latency target of the first event. */
  base::Duration firstEventBudget = base::Duration::max();
  Urgency urgency = Urgency::Ordinary;
  int priority = kPriorityCount - 1; ///< 0 is the most urgent, as the engine is told.
  /** Latency target of more urgent requests that find no room; the request leaves room for them. */
  std::optional<base::Duration> urgentTarget;
  /** Newest declared version of the weights. A resumed stream prefers endpoints that hold it: an
   * endpoint with older weights will switch and break the stream again. */
  uint64_t newestWeightVersion = 0;
  std::optional<DueVersion> dueVersion; ///< The next version to be enforced.
};

enum class Refusal
{
  None,
  NoEndpoint, ///< No endpoint of the service is listed and allowed.
  Full,       ///< No allowed endpoint is predicted to start the request in time.
  Cold,       ///< The endpoints with capacity are in cold start and have used up their rate limit.
  Limited,    ///< The endpoints with capacity take no request of this entry yet; see RequestLimit.
};

std::string_view toString(Refusal aRefusal);

/** Why a request is not placed at an endpoint. */
enum class Exclusion
{
  None,
  Leaving,   ///< The endpoint announced its leave.
  Unlisted,  ///< It is no longer in the platform's list.
  Evacuated, ///< Its zone is evacuated.
  Region,    ///< The route or the workspace does not allow its region.
  Tried,     ///< It was tried for this request.
  Version,   ///< It holds no weights, or older ones than required.
  Switching, ///< It is loading other weights.
  Lapsed,    ///< It is missing from the list, and others are not.
  Unused,    ///< Other entries use this engine, and those of this one or its slots suffice.
  Paused,    ///< It asked for no requests.
  Avoided,   ///< It failed to answer or rejected requests shortly before.
  Probed,    ///< After requests without an answer it has one request at a time.
  Memory,    ///< Its memory for requests is full.
  Unstable,  ///< It cut off several requests in a row, and others did not.
  Full,      ///< It has no room.
  Slow,      ///< The predicted time exceeds what the latency target allows.
  Outdated,  ///< The request would begin after its weights are outdated.
  Cold,      ///< It is in cold start and this entry's share of its rate is used up.
  Limited,   ///< It takes no request of this entry yet; see RequestLimit.
};

std::string_view toString(Exclusion aExclusion);

/** What choose() finds about one endpoint of the service. */
struct EndpointVerdict
{
  EndpointPtr endpoint;
  Exclusion exclusion = Exclusion::None;
  std::optional<double> predictedMs; ///< Empty when it was not needed, or there is no room.
  /** By which the endpoints without an exclusion are compared, before a small random amount. */
  double costMs = 0;
};

struct Placement
{
  EndpointPtr endpoint; ///< Null when refused.
  Refusal refusal = Refusal::None;
  /** Predicted time to the first event or answer; when refused, the shortest one of all allowed
   * endpoints. */
  double predictedMs = 0;
  /** Number of allowed endpoints that were considered: those that this process uses and, if none of
   * them can serve the request, others with spare slots. */
  int candidates = 0;
  /** Time after which a refused caller may find a place, if all of these are paused or at their
   * limit. */
  base::Duration unavailableFor{ 0 };
};

/** Predicted time from now until an endpoint sends the first event or answer of a request. */
struct Prediction
{
  double ms = 0;
  bool isInTime = true;
};

/** Contribution of one request in flight to its endpoint's load. */
struct Occupancy
{
  double promptMs = 0;
  double predictedMs = 0;
  Urgency urgency = Urgency::Ordinary;
  int priority = 0;
  bool hasBegun = false;
  bool isSilent = false; ///< Its silence was recorded; counted in Endpoint::silentInFlight.
  base::TimePoint sentAt;
  uint64_t reportCountAtSend = 0; ///< Value of Endpoint::reportCount when the request was sent.
};

/**
 * The endpoints that this process knows, and the choice among them. It copes with several entries
 * that load the same endpoints, stale load reports, and endpoints that are slow, failing,
 * unresponsive or in cold start. No I/O; not thread-safe.
 */
class EndpointSet
{
public:
  explicit EndpointSet(PlacementOptions aOptions);

  /** Adds or updates a listed endpoint. */
  void apply(const EndpointRecord& aRecord, const Service* aService, base::TimePoint aNow);
  /** Marks an endpoint that is missing after an outage of the list. Until it is listed again or
   * removed, it is used only when no other endpoint of the service is allowed. */
  void lapse(std::string_view aId, base::TimePoint aNow);
  /** Marks an endpoint as unlisted: it gets no new requests. Its state is kept for a while, because
   * it may be listed again without a restart. Returns false when it was not listed. */
  bool remove(std::string_view aId, base::TimePoint aNow);
  /** Records that an endpoint announced its leave: it gets no new requests until it restarts.
   * Returns false when this was known. */
  static bool announceLeave(Endpoint& aEndpoint, base::TimePoint aNow);
  /** Records that an endpoint asked for no requests for the time aFor. */
  static void pause(Endpoint& aEndpoint, base::Duration aFor, base::TimePoint aNow);
  /** Sets the zones whose endpoints get no new requests. */
  void setEvacuated(std::set<std::string> aZones) { mEvacuated = std::move(aZones); }
  const std::set<std::string>& evacuated() const { return mEvacuated; }
  /** Sets the other entries that send to the same endpoints. Each engine is used by some of them,
   * which share the limit that it names and its rate limit while it is cold equally. */
  void setOtherEntries(std::span<const EntryIdentity> aOthers);
  void recordReport(const LoadReport& aReport, base::TimePoint aNow);

  Placement choose(const PlacementRequest& aRequest, base::TimePoint aNow, base::Rng& aRng) const;
  /** What choose() finds about each endpoint of the service, by id. */
  std::vector<EndpointVerdict> explain(const PlacementRequest& aRequest,
                                       base::TimePoint aNow) const;

  /** Records that a request is sent as choose() decided; finished() must follow exactly once. */
  Occupancy started(const Placement& aPlacement,
                    const PlacementRequest& aRequest,
                    base::TimePoint aNow);
  /** Records the first event of a request, which came aAfter the send. */
  void firstEvent(Endpoint& aEndpoint, Occupancy& aOccupancy, base::Duration aAfter);
  void finished(Endpoint& aEndpoint, Occupancy& aOccupancy, Outcome aOutcome, base::TimePoint aNow);
  /** Records that a request is silent, as Outcome::Silent does, though it still may be answered.
   * Once for each silence. */
  static void recordSilence(Endpoint& aEndpoint, Occupancy& aOccupancy, base::TimePoint aNow);
  /** Records that a request whose silence was recorded goes on. */
  static void endSilence(Endpoint& aEndpoint, Occupancy& aOccupancy);
  /** Records the version of the weights that an answer of the endpoint names. */
  void recordWeightVersion(Endpoint& aEndpoint, uint64_t aVersion);

  /** Number of requests at the endpoint: those of this process, and those of other processes as
   * last reported. */
  static int load(const Endpoint& aEndpoint, base::TimePoint aNow);
  /** Maximum of the random amount by which choose() raises the cost of each endpoint. */
  static double costJitterMs();
  /** Endpoints that are listed or were until recently, by id. */
  const std::map<std::string, EndpointPtr, std::less<>>& all() const { return mById; }
  size_t listedCount() const;

private:
  static void avoidAfterSilence(Endpoint& aEndpoint, base::TimePoint aNow);
  /** An endpoint that cuts off one request after the other looks idle and would attract more. */
  static void avoidAfterBreak(Endpoint& aEndpoint, base::TimePoint aNow);
  static void markBegun(Endpoint& aEndpoint, Occupancy& aOccupancy);
  using Endpoints = std::vector<const EndpointPtr*>;
  /** Endpoints that are allowed for a request, by precedence. */
  struct Candidates
  {
    Endpoints regular; ///< Tried first.
    Endpoints spare; ///< Used if none of them can serve the request, and if they have spare slots.
  };

  Candidates candidates(const PlacementRequest& aRequest, base::TimePoint aNow) const;
  /** Judges endpoints that are allowed for the request. */
  std::vector<EndpointVerdict> judge(std::span<const EndpointPtr* const> aEndpoints,
                                     const PlacementRequest& aRequest,
                                     base::TimePoint aNow) const;
  EndpointVerdict judge(const EndpointPtr& aEndpoint,
                        bool aIsAnyStable,
                        const PlacementRequest& aRequest,
                        base::TimePoint aNow) const;
  /** Replaces aBest by the cheapest of the endpoints, if one can serve the request in time, and
   * lowers aSoonestMs to the shortest predicted time. */
  void chooseCheapest(std::span<const EndpointPtr* const> aEndpoints,
                      const PlacementRequest& aRequest,
                      base::TimePoint aNow,
                      base::Rng& aRng,
                      Placement& aBest,
                      double& aSoonestMs) const;
  /** Time until an endpoint takes requests of this entry, as far as it was named. */
  base::Duration unavailableFor(const Endpoint& aEndpoint,
                                const PlacementRequest& aRequest,
                                base::TimePoint aNow) const;
  /** Whether an engine outside the subset is reported to have slots that its regular entries do not
   * need now. */
  bool hasSpareSlots(const Endpoint& aEndpoint,
                     const PlacementRequest& aRequest,
                     base::TimePoint aNow) const;
  /** Whether the request is predicted to begin on weights that are outdated by then. */
  static bool startsOutdated(const Endpoint& aEndpoint,
                             const PlacementRequest& aRequest,
                             double aPredictedMs,
                             base::TimePoint aNow);
  /** Number of entries that send to the endpoints of the service, this process included. */
  int sendersOf(const Service& aService) const;
  void updateSubset(Endpoint& aEndpoint) const;
  void eraseUnlisted(base::TimePoint aNow);
  /** Empty when the endpoint has no capacity for the request. */
  std::optional<Prediction> predict(const Endpoint& aEndpoint,
                                    const PlacementRequest& aRequest,
                                    base::TimePoint aNow) const;
  /** Maximum predicted time to the first event.
   * @param aOwnPromptMs time for the request's own prompt, which is not part of the wait. */
  double allowedMs(base::Duration aBudget, double aOwnPromptMs) const;
  std::optional<Prediction> predictEngine(const Endpoint& aEndpoint,
                                          const PlacementRequest& aRequest,
                                          base::TimePoint aNow) const;
  /** Why an endpoint of the service is not allowed for the request, whatever its load. */
  Exclusion disallowance(const Endpoint& aEndpoint,
                         const PlacementRequest& aRequest,
                         base::TimePoint aNow) const;
  /** While this process does not know the other entries, which may be sending already, at least as
   * many as usually use one endpoint; else the given number. */
  size_t orAssumed(size_t aEntries) const;
  /** The entries among which the limit of an endpoint is divided. */
  LimitSharers limitSharers(const Endpoint& aEndpoint, const Service& aService) const;
  bool isColdShareUsed(const Endpoint& aEndpoint,
                       const Service& aService,
                       base::TimePoint aNow) const;
  double costMs(const Endpoint& aEndpoint,
                const PlacementRequest& aRequest,
                double aPredictedMs,
                base::TimePoint aNow) const;

  PlacementOptions mOptions;
  std::map<std::string, EndpointPtr, std::less<>> mById;
  /** The same endpoints by address and start time, as load reports name them. */
  std::map<std::pair<std::string, uint64_t>, EndpointPtr> mByInstance;
  std::set<std::string> mEvacuated;
  EntrySubset mSubset;
  bool mAreEntriesKnown = false; ///< setOtherEntries() was called.
};

} // namespace boragepitch::serving
