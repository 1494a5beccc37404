#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/Time.h"
#include "net/Address.h"

namespace boragepitch::serving {

/** Number of priorities; 0 is the most urgent. Less urgent ones count as the last. */
inline constexpr int kPriorityCount = 10;

/** Whether a request may run more than once. */
enum class CallKind
{
  Idempotent, ///< May run more than once.
  Mutating,   ///< Runs at most once per attempt of its caller.
  Streaming,  ///< Answered by a stream of events; runs more than once only if it is resumable.
};

std::string_view toString(CallKind aKind);

struct WeightedService
{
  std::string service;
  double weight = 1; ///< Relative share of the route's requests.
};

/** Regions in which requests may be served; empty means all. */
using Regions = std::vector<std::string>;

bool allowsRegion(const Regions& aRegions, std::string_view aRegion);

struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix; ///< Begins and ends with a slash.
  CallKind kind = CallKind::Mutating;
  base::Milliseconds timeout{ 0 };       ///< Maximum time from the request to its whole answer.
  base::Milliseconds latencyTarget{ 0 }; ///< For the whole answer, or a stream's first event.
  base::Milliseconds gapTarget{ 0 };     ///< Target for the time between events of a stream.
  int priority = 5;                      ///< 0 is the most urgent.
  int maxAttempts = 1;                   ///< Maximum endpoints that may run one caller attempt.
  bool isPublic = false;                 ///< Requests need no key.
  bool isResumable = false;              ///< A broken stream may continue on another endpoint.
  std::vector<WeightedService> services;
  Regions regions;

  /** True when another endpoint may run a request that an earlier endpoint may have run. */
  bool mayRepeat() const
  {
    return kind == CallKind::Idempotent || (kind == CallKind::Streaming && isResumable);
  }
};

/** Capacity and speed of a service's model engines. */
struct EngineProfile
{
  int slots = 1;                   ///< Requests processed at once.
  double stepMs = 0;               ///< Base time of a decode step, which makes one token each.
  double perSequenceMs = 0;        ///< Added to a step for each running request.
  double contextMsPerThousand = 0; ///< Added to a step for each 1,000 tokens of context.
  double promptTokensPerSecond = 0;
  /** Additional prefill time per million pairs of a prompt token and an earlier one. */
  double msPerMillionTokenPairs = 0;
  int stepsPerPass = 1;        ///< Decode steps between two admissions of new requests.
  double meanPromptTokens = 0; ///< Mean tokens of a prompt.
  double meanAnswerTokens = 0; ///< Mean tokens of an answer.
  uint32_t chunkCount = 0;     ///< Chunks of one version of the weights.
  uint32_t chunkBytes = 0;     ///< Size of a chunk.
  std::vector<std::string> models;
};

/** The origin of weights. */
struct WeightSource
{
  net::Address address;
  std::string zone;
  int maxConnections = 1;
};

struct Service
{
  std::string name;
  double coldRequestsPerSecond = 0; ///< Rate limit of an endpoint in cold start; 0 means none.
  base::Milliseconds coldTime{ 0 }; ///< Duration of the cold start.
  int maxConnections = 0;
  std::optional<EngineProfile> engine;
  std::optional<WeightSource> origin;
};

/** A customer of the deployment. */
struct Workspace
{
  std::string name;
  std::optional<int> priority; ///< Overrides the route's priority.
  Regions regions;
};

/** Limits on the size of a request and on the time in which a caller sends it. */
struct CallerLimits
{
  size_t headerBytes = 16384;
  size_t bodyBytes = 4 << 20;
  base::Milliseconds headerTimeout{ 3000 };
  base::Milliseconds idleTimeout{ 15000 };
};

/**
 * One version of the configuration that operators declare. Immutable once built.
 */
class Deployment
{
public:
  class Builder
  {
  public:
    Builder& version(uint64_t aVersion);
    Builder& addRoute(Route aRoute);
    Builder& addService(Service aService);
    /** Makes requests need a key, unless their route is public. */
    Builder& requireKeys();
    Builder& addWorkspace(Workspace aWorkspace, const std::vector<std::string>& aKeys);
    Builder& limits(CallerLimits aLimits);
    std::shared_ptr<const Deployment> build();

  private:
    static void rankPriorities(Deployment& aDeployment);

    std::shared_ptr<Deployment> mResult;
    Deployment& result();
  };

  uint64_t version() const { return mVersion; }
  /** The route of the host with the longest prefix of the path; null when none matches. */
  const Route* match(std::string_view aHost, std::string_view aPath) const;
  const Service* service(std::string_view aName) const;
  const std::map<std::string, Service, std::less<>>& services() const { return mServices; }
  bool requiresKeys() const { return mRequiresKeys; }
  /** The workspace of a key; null for an unknown key. */
  const Workspace* workspaceOf(std::string_view aKey) const;
  const CallerLimits& limits() const { return mLimits; }
  /** True when every request of the service is a stream that any of its endpoints may resume. */
  bool mayMoveStreams(std::string_view aService) const;
  /** True when the routes to the service differ in priority. */
  bool hasSeveralPriorities(std::string_view aService) const;
  /** Rank of a request among all: by the priority of its workspace, if that has one, and then by
   * that of its route. 1 is the most urgent, and kPriorityCount - 1 the least; 0 is left to streams
   * that are resumed. With more than nine different pairs some neighbours share a rank.
   * @param aWorkspace may be null. */
  int rankOf(const Route& aRoute, const Workspace* aWorkspace) const;
  /** The shortest latency target of the service's routes that are more urgent than this one. */
  std::optional<base::Milliseconds> urgentTarget(std::string_view aService,
                                                 const Route& aRoute) const;
  size_t routeCount() const { return mRoutes.size(); }

private:
  friend class Builder;
  struct Hash
  {
    using is_transparent = void;
    size_t operator()(std::string_view aText) const { return std::hash<std::string_view>{}(aText); }
  };
  template<typename Value>
  using ByText = std::unordered_map<std::string, Value, Hash, std::equal_to<>>;

  uint64_t mVersion = 0;
  std::vector<std::unique_ptr<Route>> mRoutes;
  ByText<std::vector<const Route*>> mByHost; ///< Routes of each host, longest prefix first.
  std::map<std::string, Service, std::less<>> mServices;
  std::set<std::string, std::less<>> mPrioritized; ///< Services whose routes differ in priority.
  /** Priorities of workspaces and routes that occur together, with their ranks. Without a priority
   * of its own a workspace counts with that of the route. */
  std::map<std::pair<int, int>, int> mRanks;
  /** Shortest latency target of the routes of each priority, by service. */
  std::map<std::string, std::map<int, base::Milliseconds>, std::less<>> mTargets;
  bool mRequiresKeys = false;
  std::vector<std::unique_ptr<Workspace>> mWorkspaces;
  ByText<const Workspace*> mByKey;
  CallerLimits mLimits;
};

} // namespace boragepitch::serving
