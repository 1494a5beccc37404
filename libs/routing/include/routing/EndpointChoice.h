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

/** What a request needs of its endpoint. */
struct ChoiceRequest
{
  std::string_view model;    ///< Model or adapter; empty for a service call.
  std::string_view service;  ///< Service; empty for a generate request.
  std::string_view manifest; ///< When set, only endpoints that serve this manifest.
  std::string_view zone;     ///< Of the chooser; nearer endpoints are preferred.
  std::string_view region;
  uint64_t prefix = 0;                   ///< Hash of the prompt's beginning; 0 when there is none.
  std::span<const std::string> excluded; ///< Names of endpoints that were tried already.
};

/** Picks an endpoint for a request. Thread-safe. */
class EndpointChoice
{
public:
  virtual ~EndpointChoice() = default;
  /** Null when no listed endpoint qualifies. The pointer lives as long as the table. */
  virtual const EndpointInfo* choose(const EndpointTable& aTable,
                                     const ChoiceRequest& aRequest,
                                     base::TimePoint aNow,
                                     base::Rng& aRng) const = 0;
};

/**
 * Power of two choices within a bounded subset: among up to subsetSize qualifying endpoints,
 * nearest first, draws two and takes the one with the lower relative load. An endpoint that
 * probably holds the prompt's prefix wins unless it is clearly busier.
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

/** Baseline: each qualifying endpoint in turn, whatever its load. */
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

/** Baseline: the qualifying endpoint with the fewest reported and own requests. */
class LeastLoaded final : public EndpointChoice
{
public:
  const EndpointInfo* choose(const EndpointTable& aTable,
                             const ChoiceRequest& aRequest,
                             base::TimePoint aNow,
                             base::Rng& aRng) const override;
};

/** Requests at an endpoint relative to its limit: own requests in flight, or the agent's report
 * when it is recent and higher. */
double relativeLoad(const EndpointInfo& aEndpoint, base::TimePoint aNow);

} // namespace boragepitch::routing
