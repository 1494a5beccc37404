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
#include <variant>
#include <vector>

#include "base/Rng.h"
#include "base/Time.h"
#include "net/Address.h"
#include "serving/Deployment.h"

namespace boragepitch::serving {

/** What the platform's list says of one endpoint. */
struct EndpointRecord
{
  std::string id; ///< Differs after most restarts.
  std::string service;
  net::Address address;
  std::string zone;
  std::string region;
  uint64_t born =
    0; ///< Start of the endpoint, Unix milliseconds; tells restarts under one id apart.
  bool isDraining = false;
  int slots = 1;
  base::Milliseconds coldFor{ 0 }; ///< How much longer it bears little work.
  /** Version of the weights that all its layers hold; empty for a service without weights. */
  std::optional<uint64_t> weightVersion;
};

/** An endpoint that is missing from the platform's list. */
struct EndpointGone
{
  std::string id;
  /** Perhaps missing only because the list was away. */
  bool hasLapsed = false;
};

/** One change of the platform's list. Only the order of changes tells which one holds. */
using EndpointChange = std::variant<EndpointRecord, EndpointGone>;

/** What the process beside an endpoint has read from it. */
struct LoadReport
{
  std::string address; ///< Of the endpoint, IP:PORT.
  uint64_t born = 0;
  int running = 0;
  int queued = 0;
  double pace = 1;            ///< Over 1 for an endpoint that is slower than usual.
  double memoryUsed = 0;      ///< Share of the memory for requests that is in use, 0 to 1.
  uint64_t weightVersion = 0; ///< 0 while it holds no complete weights.
  bool isSwitching = false;   ///< An order is under way: it takes no new requests.
  bool switchesSoon = false;  ///< Its turn to load other weights comes within a second.
};

/** How a request that was sent to an endpoint ended, as far as it tells about the endpoint. */
enum class Outcome
{
  Success,
  Failure,     ///< It answered with a failure of its own.
  Rejected,    ///< It did not run the request: full or switching.
  Misdirected, ///< Another instance or other weights than expected.
  Broken,      ///< The connection broke, or bytes came that are no answer.
  Silent,      ///< Nothing came in time, or it could not be reached.
  Abandoned,   ///< The caller left; tells nothing.
};

std::string_view toString(Outcome aOutcome);

/** How a request stands to the others that wait at an endpoint. */
enum class Urgency
{
  Ordinary,
  /** The target cannot be met any more: it uses capacity that others leave. */
  Late,
  /** A stream that its caller is reading goes on at another endpoint: it goes before all others and
   * is not refused for coming late. */
  Continued,
};

/** Requests that wait at an endpoint. */
struct Backlog
{
  int requests = 0;
  double promptMs = 0; ///< Time to read their prompts.

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

/** One endpoint as this process sees it. Created and changed by EndpointSet only. */
struct Endpoint
{
  EndpointRecord record;
  bool isListed = true;
  /** It said that it leaves, in its row or an answer. Holds until it restarts: an older row of a
   * list that is late does not take it back. */
  bool hasAnnouncedLeave = false;
  bool isLapsed = false; ///< Missing from the list, perhaps only because that was away.
  /** When this process learned that it leaves, lapsed or left the list; empty while it serves. */
  std::optional<base::TimePoint> leaveKnownAt;
  base::TimePoint unlistedAt; ///< When it left the list, unless it is listed.
  int inFlight = 0;           ///< Requests of this process.

  // Own requests that have no first event yet, by their urgency.
  Backlog ordinary;
  Backlog late;
  Backlog continued;
  Backlog unreported; ///< Those of the ordinary ones that were sent after the latest report.

  std::optional<LoadReport> report;
  uint64_t reports = 0; ///< Number of reports learned.
  base::TimePoint reportedAt;
  int begunAtReport = 0;   ///< Own requests with a first event.
  int waitingAtReport = 0; ///< Own requests without.

  base::TimePoint coldUntil;
  base::TimePoint avoidUntil;
  base::TimePoint pausedUntil;              ///< It has asked for no requests until then.
  uint32_t silences = 0;                    ///< Consecutive; a success resets it.
  double failureShare = 0;                  ///< Moving average over requests.
  double predictionErrorMs = 0;             ///< Moving average of how much later first events came.
  std::vector<base::TimePoint> recentSends; ///< Within the last second, while cold.

  bool isCold(base::TimePoint aNow) const { return aNow < coldUntil; }
  /** The last known version of its weights; 0 when it holds none. */
  uint64_t weightVersion() const;
};

using EndpointPtr = std::shared_ptr<Endpoint>;

struct PlacementOptions
{
  std::string zone; ///< Of this process.
  std::string region;
  double coldOvershoot = 1.5;
  double coldTolerance = 5;
  /** A request is refused when it would wait longer than this part of its budget, the time for its
   * own prompt set aside: capacity then goes to requests that can still be in time. */
  double budgetFactor = 0.55;
  /** ... but not when it is predicted within this time, if that is within the budget. Engines under
   * full load predict about 200 ms for any request: without this, requests with tight targets would
   * carry most refusals. */
  base::Milliseconds leastBudget{ 200 };
  /** Late requests of this process that may wait at one engine. They start only where no other
   * request waits; more would not end before their callers leave. */
  int lateWaiting = 2;
  /** Requests in flight at an endpoint of a plain service, relative to its slots. */
  double plainOverbooking = 1.5;
  /** Time that must be saved by leaving the region; keeps bytes off the links between regions. */
  base::Milliseconds remotePenalty{ 25 };
};

struct PlacementRequest
{
  const Route* route = nullptr;
  const Service* service = nullptr;
  const Workspace* workspace = nullptr;  ///< May be null.
  std::span<const std::string> excluded; ///< Ids of endpoints that were tried already.
  uint64_t minWeightVersion = 0;         ///< Only endpoints with this version or a newer one.
  uint64_t promptTokens = 0;
  /** Time left in which the first event is worth most. */
  base::Duration firstEventBudget = base::Duration::max();
  Urgency urgency = Urgency::Ordinary;
  /** The newest declared version. A stream that goes on prefers endpoints that hold it, since one
   * that does not will be switched and would break the stream off again. */
  uint64_t newestWeightVersion = 0;
};

enum class Refusal
{
  None,
  NoEndpoint, ///< No endpoint of the service is listed and allowed.
  Full,       ///< All allowed endpoints have as much work as they can start in time.
  Cold,       ///< The endpoints with room are in cold start and had their share of this second.
};

std::string_view toString(Refusal aRefusal);

struct Placement
{
  EndpointPtr endpoint; ///< Null when refused.
  Refusal refusal = Refusal::None;
  /** For the decision's log line. */
  double predictedMs = 0; ///< Until the first event or answer; when refused, the soonest one.
  int candidates = 0;     ///< Endpoints that were allowed.
  /** When refused: after how long the first endpoint takes requests again, if all that were allowed
   * have asked for none. */
  base::Duration pausedFor{ 0 };
};

/** When an endpoint would bring the first event or answer of a request. */
struct Prediction
{
  double ms = 0;
  bool isInTime = true;
};

/** What one request adds to an endpoint's load while it is there. */
struct Occupancy
{
  double promptMs = 0;
  double predictedMs = 0;
  Urgency urgency = Urgency::Ordinary;
  bool hasBegun = false;
  uint64_t reports = 0; ///< Reports that were learned when it was sent.
};

/**
 * The endpoints that this process knows, and the choice among them. Answers these load patterns:
 * several entries that fill the same endpoints, reports that lag, endpoints that are slow, fail,
 * fall silent or turn cold. No I/O; not thread-safe.
 */
class EndpointSet
{
public:
  explicit EndpointSet(PlacementOptions aOptions);

  /** Adds or updates a listed endpoint. */
  void apply(const EndpointRecord& aRecord, const Service* aService, base::TimePoint aNow);
  /** It is missing from a list that was away: used only where the service has no other endpoint,
   * until it is listed again or removed. */
  void lapse(std::string_view aId, base::TimePoint aNow);
  /** It left the list: nothing new is sent to it. What is known of it is kept for a while, since it
   * may be listed again in the same life. False when it was not listed. */
  bool remove(std::string_view aId, base::TimePoint aNow);
  /** It said that it leaves: nothing new is sent to it until it restarts. False when this was
   * known. */
  static bool announceLeave(Endpoint& aEndpoint, base::TimePoint aNow);
  /** It asked for no requests for so long. */
  static void pause(Endpoint& aEndpoint, base::Duration aFor, base::TimePoint aNow);
  void setEvacuated(std::set<std::string> aZones) { mEvacuated = std::move(aZones); }
  const std::set<std::string>& evacuated() const { return mEvacuated; }
  /** Number of processes that send to the same endpoints; cold endpoints are shared evenly. */
  void setSenders(int aCount) { mSenders = aCount; }
  void learn(const LoadReport& aReport, base::TimePoint aNow);

  Placement choose(const PlacementRequest& aRequest, base::TimePoint aNow, base::Rng& aRng) const;

  /** A request goes to the endpoint as choose() said; call finished() exactly once for it. */
  Occupancy started(const Placement& aPlacement,
                    const PlacementRequest& aRequest,
                    base::TimePoint aNow);
  void firstEvent(Endpoint& aEndpoint, Occupancy& aOccupancy, base::Duration aAfter);
  void finished(Endpoint& aEndpoint, Occupancy& aOccupancy, Outcome aOutcome, base::TimePoint aNow);
  /** An answer named the version of its weights. */
  void noteVersion(Endpoint& aEndpoint, uint64_t aVersion);

  /** Requests at the endpoint: own ones, and those of others as last reported. */
  static int load(const Endpoint& aEndpoint, base::TimePoint aNow);
  /** Those that are listed or have left the list lately, by id. */
  const std::map<std::string, EndpointPtr, std::less<>>& all() const { return mById; }
  size_t listedCount() const;

private:
  static void begin(Endpoint& aEndpoint, Occupancy& aOccupancy);
  void forgetUnlisted(base::TimePoint aNow);
  /** Empty when there is no place for the request. */
  std::optional<Prediction> predict(const Endpoint& aEndpoint,
                                    const PlacementRequest& aRequest,
                                    base::TimePoint aNow) const;
  std::optional<Prediction> predictEngine(const Endpoint& aEndpoint,
                                          const PlacementRequest& aRequest,
                                          base::TimePoint aNow) const;
  bool isAllowed(const Endpoint& aEndpoint,
                 const PlacementRequest& aRequest,
                 base::TimePoint aNow) const;
  bool coldShareUsed(const Endpoint& aEndpoint,
                     const Service& aService,
                     base::TimePoint aNow) const;
  double costMs(const Endpoint& aEndpoint,
                const PlacementRequest& aRequest,
                double aPredictedMs) const;

  PlacementOptions mOptions;
  std::map<std::string, EndpointPtr, std::less<>> mById;
  std::set<std::string> mEvacuated;
  int mSenders = 1;
};

} // namespace boragepitch::serving
