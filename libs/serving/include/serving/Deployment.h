#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/Time.h"
#include "net/Address.h"

namespace boragepitch::serving {

/** What may be repeated of a request. */
enum class CallKind
{
  Idempotent, ///< May run more than once.
  Mutating,   ///< Runs at most once for each attempt of a caller.
  Streaming,  ///< A series of events; may run more than once only where it may be resumed.
};

std::string_view toString(CallKind aKind);

struct WeightedService
{
  std::string service;
  double weight = 1; ///< Relative share of the route's requests.
};

/** Regions in which something may be served; empty means all. */
using Regions = std::vector<std::string>;

bool allowsRegion(const Regions& aRegions, std::string_view aRegion);

struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix; ///< Begins and ends with a slash.
  CallKind kind = CallKind::Mutating;
  base::Milliseconds timeout{ 0 };       ///< Longest time a caller is kept waiting.
  base::Milliseconds latencyTarget{ 0 }; ///< To the whole response; of a stream to its first event.
  base::Milliseconds gapTarget{ 0 };     ///< Longest pause between events of a stream.
  int priority = 5;                      ///< 0 is the most urgent.
  int maxAttempts = 1;                   ///< Most endpoints that may run one attempt of a caller.
  bool isPublic = false;                 ///< Needs no key.
  bool isResumable = false;              ///< A stream may continue on another endpoint.
  std::vector<WeightedService> services;
  Regions regions;

  /** True when a second endpoint may run the request although a first one may have run it. */
  bool mayRepeat() const
  {
    return kind == CallKind::Idempotent || (kind == CallKind::Streaming && isResumable);
  }
};

/** Figures of a service's model engines. */
struct EngineProfile
{
  int slots = 1;                   ///< Requests processed at once.
  double stepMs = 0;               ///< A token step.
  double perSequenceMs = 0;        ///< Added to a step for each running request.
  double contextMsPerThousand = 0; ///< Added to a step for each 1,000 tokens of context.
  double promptTokensPerSecond = 0;
  double pairsMsPerMillion = 0; ///< For each pair of a prompt's token and an earlier one.
  int stepsPerPass = 1;         ///< Steps between two chances of a new request to start.
  double usualPrompt = 0;       ///< Mean tokens.
  double usualAnswer = 0;       ///< Mean tokens.
  uint32_t chunkCount = 0;      ///< Chunks of a version's weights.
  uint32_t chunkBytes = 0;
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
  double coldRequestsPerSecond = 0; ///< What an endpoint in cold start bears; 0 means no limit.
  base::Milliseconds coldTime{ 0 }; ///< How long an endpoint stays cold after its start.
  int maxConnections = 0;
  std::optional<EngineProfile> engine;
  std::optional<WeightSource> origin;
};

/** A customer of the deployment. */
struct Workspace
{
  std::string name;
  std::optional<int> priority; ///< Takes precedence over the route's.
  Regions regions;
};

/** Bounds on what a caller may send. */
struct CallerLimits
{
  size_t headerBytes = 16384;
  size_t bodyBytes = 4 << 20;
  base::Milliseconds headerTimeout{ 3000 };
  base::Milliseconds idleTimeout{ 15000 };
};

/**
 * One version of what operators declare. Immutable once built.
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
    /** Requests need a key, unless their route is public. */
    Builder& requireKeys();
    Builder& addWorkspace(Workspace aWorkspace, const std::vector<std::string>& aKeys);
    Builder& limits(CallerLimits aLimits);
    std::shared_ptr<const Deployment> build();

  private:
    std::shared_ptr<Deployment> mResult;
    Deployment& result();
  };

  uint64_t version() const { return mVersion; }
  /** The route with the longest prefix that begins the path; null when none does. */
  const Route* match(std::string_view aHost, std::string_view aPath) const;
  const Service* service(std::string_view aName) const;
  const std::map<std::string, Service, std::less<>>& services() const { return mServices; }
  bool requiresKeys() const { return mRequiresKeys; }
  /** Null for an unknown key. */
  const Workspace* workspaceOf(std::string_view aKey) const;
  const CallerLimits& limits() const { return mLimits; }
  /** Whether every request of the service is a stream that any of its endpoints may continue. */
  bool mayMoveStreams(std::string_view aService) const;
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
  ByText<std::vector<const Route*>> mByHost; ///< Longest prefix first.
  std::map<std::string, Service, std::less<>> mServices;
  bool mRequiresKeys = false;
  std::vector<std::unique_ptr<Workspace>> mWorkspaces;
  ByText<const Workspace*> mByKey;
  CallerLimits mLimits;
};

} // namespace boragepitch::serving
