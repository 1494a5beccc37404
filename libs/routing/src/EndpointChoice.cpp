#include "routing/EndpointChoice.h"

#include <algorithm>

namespace boragepitch::routing {

namespace {

using Candidates = EndpointTable::Candidates;

/** Older load reports are ignored in favour of this process's own count. */
constexpr base::Duration kMaxReportAge = std::chrono::milliseconds(500);
/** Relative load by which an endpoint with the cached prefix may exceed the alternative. */
constexpr double kAffinityMargin = 0.5;

bool isExcluded(const EndpointInfo& aEndpoint, const ChoiceRequest& aRequest)
{
  return std::find(aRequest.excluded.begin(), aRequest.excluded.end(), aEndpoint.name) !=
         aRequest.excluded.end();
}

bool qualifies(const EndpointInfo& aEndpoint, const ChoiceRequest& aRequest)
{
  if (isExcluded(aEndpoint, aRequest)) {
    return false;
  }
  if (aRequest.manifest.empty()) {
    return true;
  }
  const control::ServedModel* served = aEndpoint.served(aRequest.model);
  return served != nullptr && served->manifest == aRequest.manifest;
}

bool isAvoided(const EndpointInfo& aEndpoint, base::TimePoint aNow)
{
  return aEndpoint.load->avoidUntil.load(std::memory_order_relaxed) >
         aNow.time_since_epoch().count();
}

/** Qualifying endpoints; avoided ones only when there are no others. */
Candidates qualifying(const EndpointTable& aTable,
                      const ChoiceRequest& aRequest,
                      base::TimePoint aNow)
{
  const Candidates& all = aRequest.service.empty() ? aTable.forModel(aRequest.model)
                                                   : aTable.forService(aRequest.service);
  Candidates preferred;
  Candidates avoided;
  for (const EndpointInfo* endpoint : all) {
    if (qualifies(*endpoint, aRequest)) {
      (isAvoided(*endpoint, aNow) ? avoided : preferred).push_back(endpoint);
    }
  }
  return preferred.empty() ? avoided : preferred;
}

int distance(const EndpointInfo& aEndpoint, const ChoiceRequest& aRequest)
{
  if (aEndpoint.zone == aRequest.zone) {
    return 0;
  }
  return aEndpoint.region == aRequest.region ? 1 : 2;
}

bool isBelowLimit(const EndpointInfo& aEndpoint, base::TimePoint aNow)
{
  return relativeLoad(aEndpoint, aNow) < 1;
}

/**
 * Keeps at most aSize endpoints: those below their limit first, among these the nearer first, and
 * otherwise in random order, so that entries with the same view do not all use the same subset.
 */
void reduceToSubset(Candidates& aCandidates,
                    const ChoiceRequest& aRequest,
                    size_t aSize,
                    base::TimePoint aNow,
                    base::Rng& aRng)
{
  std::shuffle(aCandidates.begin(), aCandidates.end(), aRng);
  std::stable_partition(aCandidates.begin(), aCandidates.end(), [&](const EndpointInfo* aEndpoint) {
    return isBelowLimit(*aEndpoint, aNow);
  });
  auto firstFull =
    std::find_if(aCandidates.begin(), aCandidates.end(), [&](const EndpointInfo* aEndpoint) {
      return !isBelowLimit(*aEndpoint, aNow);
    });
  auto nearer = [&](const EndpointInfo* aLeft, const EndpointInfo* aRight) {
    return distance(*aLeft, aRequest) < distance(*aRight, aRequest);
  };
  std::stable_sort(aCandidates.begin(), firstFull, nearer);
  // Endpoints at their limit are not sorted by distance: among them only load should decide.
  if (aCandidates.size() > aSize) {
    aCandidates.resize(aSize);
  }
}

const EndpointInfo* lessLoaded(const EndpointInfo* aLeft,
                               const EndpointInfo* aRight,
                               const ChoiceRequest& aRequest,
                               base::TimePoint aNow)
{
  double left = relativeLoad(*aLeft, aNow);
  double right = relativeLoad(*aRight, aNow);
  if (left != right) {
    return left < right ? aLeft : aRight;
  }
  return distance(*aLeft, aRequest) <= distance(*aRight, aRequest) ? aLeft : aRight;
}

} // namespace

double relativeLoad(const EndpointInfo& aEndpoint, base::TimePoint aNow)
{
  const EndpointLoad& load = *aEndpoint.load;
  int count = load.inFlight.load(std::memory_order_relaxed);
  base::TimePoint reported{ base::Duration(load.reportedAt.load(std::memory_order_relaxed)) };
  if (aNow - reported < kMaxReportAge) {
    count = std::max(count,
                     load.reportedRunning.load(std::memory_order_relaxed) +
                       load.reportedQueued.load(std::memory_order_relaxed));
  }
  return static_cast<double>(count) / std::max(1, aEndpoint.limit);
}

PowerOfTwoChoice::PowerOfTwoChoice(const CacheHints* aHints, size_t aSubsetSize)
  : mHints(aHints)
  , mSubsetSize(std::max<size_t>(2, aSubsetSize))
{
}

const EndpointInfo* PowerOfTwoChoice::choose(const EndpointTable& aTable,
                                             const ChoiceRequest& aRequest,
                                             base::TimePoint aNow,
                                             base::Rng& aRng) const
{
  Candidates candidates = qualifying(aTable, aRequest, aNow);
  if (candidates.empty()) {
    return nullptr;
  }
  std::string hintedName;
  if (mHints != nullptr && aRequest.prefix != 0) {
    hintedName = mHints->find(aRequest.prefix, aNow);
  }
  const EndpointInfo* prefixHolder = nullptr;
  for (const EndpointInfo* endpoint : candidates) {
    prefixHolder = !hintedName.empty() && endpoint->name == hintedName ? endpoint : prefixHolder;
  }
  reduceToSubset(candidates, aRequest, mSubsetSize, aNow, aRng);
  // Draws two distinct endpoints, or the only one twice.
  size_t first = base::uniformBelow(aRng, candidates.size());
  size_t offset = candidates.size() > 1 ? 1 + base::uniformBelow(aRng, candidates.size() - 1) : 0;
  size_t second = (first + offset) % candidates.size();
  const EndpointInfo* best = lessLoaded(candidates[first], candidates[second], aRequest, aNow);
  bool usePrefixHolder =
    prefixHolder != nullptr && isBelowLimit(*prefixHolder, aNow) &&
    relativeLoad(*prefixHolder, aNow) <= relativeLoad(*best, aNow) + kAffinityMargin;
  return usePrefixHolder ? prefixHolder : best;
}

const EndpointInfo* RoundRobin::choose(const EndpointTable& aTable,
                                       const ChoiceRequest& aRequest,
                                       base::TimePoint aNow,
                                       base::Rng&) const
{
  Candidates candidates = qualifying(aTable, aRequest, aNow);
  if (candidates.empty()) {
    return nullptr;
  }
  return candidates[mNext.fetch_add(1, std::memory_order_relaxed) % candidates.size()];
}

const EndpointInfo* LeastLoaded::choose(const EndpointTable& aTable,
                                        const ChoiceRequest& aRequest,
                                        base::TimePoint aNow,
                                        base::Rng&) const
{
  Candidates candidates = qualifying(aTable, aRequest, aNow);
  auto best = std::min_element(candidates.begin(),
                               candidates.end(),
                               [&](const EndpointInfo* aLeft, const EndpointInfo* aRight) {
                                 return relativeLoad(*aLeft, aNow) < relativeLoad(*aRight, aNow);
                               });
  return best == candidates.end() ? nullptr : *best;
}

} // namespace boragepitch::routing
