#pragma once

#include <atomic>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/Rng.h"
#include "base/Time.h"
#include "routing/CacheHints.h"
#include "routing/EndpointTable.h"

namespace boragepitch::routing {

/** Requirements of a request for its endpoint. */
struct ChoiceRequest
{
  std::string_view model;    ///< Model or adapter; empty for a service call.
  std::string_view service;  ///< Name of the service; empty for a generate request.
  std::string_view manifest; ///< When set, only endpoints that serve this manifest qualify.
  std::string_view zone;     ///< Zone of the caller of choose(); nearer endpoints are preferred.
  std::string_view region;   ///< Region of the caller of choose().
  uint64_t prefix = 0;       ///< Result of prefixHash(); 0 disables prefix affinity.
  std::span<const std::string> excluded; ///< Endpoints already tried; never chosen.
};

/** Picks an endpoint for a request. Thread-safe. */
class EndpointChoice
{
public:
  virtual ~EndpointChoice() = default;
  /** Null when no endpoint of the table qualifies. The pointer is valid as long as the table. */
  virtual const EndpointInfo* choose(const EndpointTable& aTable,
                                     const ChoiceRequest& aRequest,
                                     base::TimePoint aNow,
                                     base::Rng& aRng) const = 0;
};

/**
 * Power of two choices within a bounded subset: draws two of at most aSubsetSize qualifying
 * endpoints, preferably near ones, and takes the one with the lower relative load. An endpoint that
 * probably has the prompt's prefix cached is preferred unless it is clearly busier or at its limit.
 */
class PowerOfTwoChoice final : public EndpointChoice
{
public:
  /** @param aHints may be null; otherwise outlives this object. */
  explicit PowerOfTwoChoice(const CacheHints* aHints, size_t aSubsetSize = 16);
  const EndpointInfo* choose(const EndpointTable& aTable,
                             const ChoiceRequest& aRequest,
                             base::TimePoint aNow,
                             base::Rng& aRng) const override;

private:
  const CacheHints* mHints;
  size_t mSubsetSize;
};

/** Baseline: qualifying endpoints in turn, regardless of load. */
class RoundRobin final : public EndpointChoice
{
public:
  const EndpointInfo* choose(const EndpointTable& aTable,
                             const ChoiceRequest& aRequest,
                             base::TimePoint aNow,
                             base::Rng& aRng) const override;

private:
  mutable std::atomic<uint64_t> mNext{ 0 };
};

/** Baseline: the qualifying endpoint with the lowest relative load. */
class LeastLoaded final : public EndpointChoice
{
public:
  const EndpointInfo* choose(const EndpointTable& aTable,
                             const ChoiceRequest& aRequest,
                             base::TimePoint aNow,
                             base::Rng& aRng) const override;
};

/** Requests at an endpoint divided by its limit. Counts this process's requests in flight, or the
 * number in the agent's report when that is recent and higher. */
double relativeLoad(const EndpointInfo& aEndpoint, base::TimePoint aNow);

} // namespace boragepitch::routing
