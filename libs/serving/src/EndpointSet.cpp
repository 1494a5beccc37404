#include "serving/EndpointSet.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

#include "serving/EngineModel.h"

namespace boragepitch::serving {

namespace {

using namespace std::chrono_literals;

/** How long the state of an unlisted endpoint is kept; longer than an endpoint takes to shut
 * down. */
constexpr base::Milliseconds kUnlistedRetention = 60000ms;
/** Age from which a load report is stale and ignored. */
constexpr base::Milliseconds kMaxReportAge = 1500ms;
/** Weight of the latest request in the exponential moving averages. */
constexpr double kMovingAverageWeight = 0.1;
/** Requests over which the shares of the priorities are averaged. */
constexpr uint32_t kPriorityShareCount = 20;
/** Backoff after an unanswered request; doubles with each further one, up to the cap. */
constexpr base::Milliseconds kSilenceBackoffBase = 400ms;
constexpr base::Milliseconds kSilenceBackoffCap = 3200ms;
/** Breaks in a row after which an endpoint is avoided; a single one may be the connection's own. */
constexpr uint32_t kBreaksToAvoid = 2;
/** Backoff after that many breaks; doubles with each further one, up to the cap. */
constexpr base::Milliseconds kBreakBackoffBase = 200ms;
constexpr base::Milliseconds kBreakBackoffCap = 1600ms;
/** Backoff after an endpoint rejected a request: about the time until a slot becomes free. */
constexpr base::Milliseconds kRejectionBackoff = 120ms;
/** Backoff after an answer of another instance: the list should name the new instance by then. */
constexpr base::Milliseconds kMisdirectedBackoff = 1000ms;
/** Expected delay of a request that fails at an endpoint and is sent again. */
constexpr double kFailureCostMs = 400;
/** Expected delay of a request at an endpoint that is overtaken: the time until the copy is sent,
 * which is some times a usual answer. */
constexpr double kOvertakenCostMs = 200;
/** Time in which the share of overtaken requests decays by 63 in 100 without news. */
constexpr base::Milliseconds kOvertakenDecay = 10000ms;
/** Expected delay of a resumed stream on an endpoint with older weights: the delay of one more
 * move, times the probability that the endpoint switches before the stream ends. */
constexpr double kOldWeightsCostMs = 150;
/** Expected delay of a stream on an endpoint that switches weights soon: most such streams must
 * move to another endpoint. */
constexpr double kSwitchesSoonCostMs = 60;
/** Share of memory in use above which long contexts make an engine preempt requests. */
constexpr double kMemoryFullShare = 0.92;
/** Random amount added to each cost, so that requests spread over endpoints of similar cost. */
constexpr double kCostJitterMs = 12;
/** Share of the waiting requests of other processes that start before a new request. The rest are
 * late requests, or have started since the report. */
constexpr double kOthersAheadShare = 0.5;
/** Waiting prompts of all processes relative to those of this process, since other processes send
 * to the same engine at the same time. */
constexpr double kConcurrentPromptFactor = 1.5;
/** Requests that each other process is assumed to have sent since the last report, relative to
 * those of this process. */
constexpr double kConcurrentSendShare = 0.5;
/** Maximum requests at an engine beyond its slots that a new one waits for, late ones included. */
constexpr int kMaxBeyondSlots = 12;
/** Maximum requests at an engine beyond its slots, whatever their priority. The engine's own queue
 * holds 24, and other entries send at the same time. */
constexpr int kMaxQueued = 18;
/** Load of an engine, relative to its slots, below which an entry that otherwise does not use it
 * may send to it. Its few regular entries need the rest. */
constexpr double kSpareLoadShare = 0.6;
/** Typical time of a call to an idle endpoint of a service without engines. */
constexpr double kIdleCallMs = 15;

/** Number of requests of this process that have no event from the endpoint yet. */
int waitingOf(const Endpoint& aEndpoint)
{
  return aEndpoint.ordinary.total().requests + aEndpoint.late.requests +
         aEndpoint.continued.requests;
}

/** Share of the requests of other processes that an engine admits before one of this priority: they
 * are assumed to have the same priorities as those of this process. */
double shareAhead(const Endpoint& aEndpoint, int aPriority)
{
  if (aEndpoint.priorityShareCount == 0) {
    return 1;
  }
  return std::accumulate(
    aEndpoint.priorityShares.begin(), aEndpoint.priorityShares.begin() + aPriority + 1, 0.0);
}

void recordPriority(Endpoint& aEndpoint, int aPriority)
{
  aEndpoint.priorityShareCount = std::min(aEndpoint.priorityShareCount + 1, kPriorityShareCount);
  for (int i = 0; i < kPriorityCount; ++i) {
    double& share = aEndpoint.priorityShares.at(static_cast<size_t>(i));
    share += ((i == aPriority ? 1.0 : 0.0) - share) / aEndpoint.priorityShareCount;
  }
}

double errorOf(const Endpoint& aEndpoint, int aPriority)
{
  return aEndpoint.predictionErrorMs.at(static_cast<size_t>(aPriority));
}

/** Share of the requests at the endpoint that another one overtakes. */
double overtakenShare(const Endpoint& aEndpoint, base::TimePoint aNow)
{
  if (aEndpoint.overtakenShare == 0) {
    return 0;
  }
  std::chrono::duration<double, std::milli> age = aNow - aEndpoint.overtakenAt;
  return aEndpoint.overtakenShare *
         std::exp(-age.count() / static_cast<double>(kOvertakenDecay.count()));
}

void addToBacklog(Endpoint& aEndpoint, const Occupancy& aOccupancy)
{
  switch (aOccupancy.urgency) {
    case Urgency::Late:
      aEndpoint.late.add(aOccupancy.promptMs);
      break;
    case Urgency::Continued:
      aEndpoint.continued.add(aOccupancy.promptMs);
      break;
    case Urgency::Ordinary:
      aEndpoint.ordinary.add(aOccupancy.priority, aOccupancy.promptMs);
      aEndpoint.unreported.add(aOccupancy.priority, aOccupancy.promptMs);
      break;
  }
}

void removeFromBacklog(Endpoint& aEndpoint, const Occupancy& aOccupancy)
{
  switch (aOccupancy.urgency) {
    case Urgency::Late:
      aEndpoint.late.remove(aOccupancy.promptMs);
      break;
    case Urgency::Continued:
      aEndpoint.continued.remove(aOccupancy.promptMs);
      break;
    case Urgency::Ordinary:
      aEndpoint.ordinary.remove(aOccupancy.priority, aOccupancy.promptMs);
      if (aOccupancy.reportCountAtSend == aEndpoint.reportCount) {
        aEndpoint.unreported.remove(aOccupancy.priority, aOccupancy.promptMs);
      }
      break;
  }
}

Refusal refusalFor(Exclusion aExclusion)
{
  return aExclusion == Exclusion::Cold      ? Refusal::Cold
         : aExclusion == Exclusion::Limited ? Refusal::Limited
                                            : Refusal::Full;
}

} // namespace

Backlog PriorityBacklog::ahead(int aPriority) const
{
  Backlog sum;
  for (int i = 0; i <= aPriority; ++i) {
    const Backlog& each = mByPriority.at(static_cast<size_t>(i));
    sum.requests += each.requests;
    sum.promptMs += each.promptMs;
  }
  return sum;
}

std::string_view toString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Success:
      return "success";
    case Outcome::Failure:
      return "failure";
    case Outcome::Rejected:
      return "rejected";
    case Outcome::Misdirected:
      return "misdirected";
    case Outcome::Broken:
      return "broken";
    case Outcome::Silent:
      return "silent";
    case Outcome::Abandoned:
      return "abandoned";
    case Outcome::Overtaken:
      return "overtaken";
  }
  return "abandoned";
}

std::string_view toString(Refusal aRefusal)
{
  switch (aRefusal) {
    case Refusal::None:
      return "none";
    case Refusal::NoEndpoint:
      return "no_endpoint";
    case Refusal::Full:
      return "full";
    case Refusal::Cold:
      return "cold";
    case Refusal::Limited:
      return "limited";
  }
  return "none";
}

std::string_view toString(Exclusion aExclusion)
{
  switch (aExclusion) {
    case Exclusion::None:
      return "none";
    case Exclusion::Leaving:
      return "leaving";
    case Exclusion::Unlisted:
      return "unlisted";
    case Exclusion::Evacuated:
      return "evacuated";
    case Exclusion::Region:
      return "region";
    case Exclusion::Tried:
      return "tried";
    case Exclusion::Version:
      return "version";
    case Exclusion::Switching:
      return "switching";
    case Exclusion::Lapsed:
      return "lapsed";
    case Exclusion::Unused:
      return "unused";
    case Exclusion::Paused:
      return "paused";
    case Exclusion::Avoided:
      return "avoided";
    case Exclusion::Probed:
      return "probed";
    case Exclusion::Memory:
      return "memory";
    case Exclusion::Unstable:
      return "unstable";
    case Exclusion::Full:
      return "full";
    case Exclusion::Slow:
      return "slow";
    case Exclusion::Outdated:
      return "outdated";
    case Exclusion::Cold:
      return "cold";
    case Exclusion::Limited:
      return "limited";
  }
  return "none";
}

uint64_t Endpoint::weightVersion() const
{
  if (report && report->startTimeMs == record.startTimeMs) {
    return report->weightVersion;
  }
  return record.weightVersion.value_or(0);
}

EndpointSet::EndpointSet(PlacementOptions aOptions)
  : mOptions(std::move(aOptions))
  , mSubset(mOptions.subset)
{
  setOtherEntries({});
  mAreEntriesKnown = false;
}

void EndpointSet::setOtherEntries(std::span<const EntryIdentity> aOthers)
{
  std::vector<EntryIdentity> entries(aOthers.begin(), aOthers.end());
  entries.push_back({ mOptions.node, mOptions.region });
  mSubset.setEntries(entries);
  mAreEntriesKnown = true;
  for (auto& [id, endpoint] : mById) {
    updateSubset(*endpoint);
  }
}

void EndpointSet::updateSubset(Endpoint& aEndpoint) const
{
  aEndpoint.entryRank =
    mSubset.rankOf(mOptions.node, aEndpoint.record.address.toString(), aEndpoint.record.region);
  aEndpoint.isInSubset = aEndpoint.entryRank < mSubset.entriesOfEndpoint();
}

int EndpointSet::sendersOf(const Service& aService) const
{
  // Only engines report their load, which is what subsets are for: a service without engines has
  // few endpoints, and all entries use each.
  return static_cast<int>(aService.engine ? mSubset.entriesOfEndpoint() : mSubset.entryCount());
}

void EndpointSet::apply(const EndpointRecord& aRecord,
                        const Service* aService,
                        base::TimePoint aNow)
{
  EndpointPtr& endpoint = mById[aRecord.id];
  bool restarted = endpoint && endpoint->record.startTimeMs != aRecord.startTimeMs;
  if (endpoint) {
    mByInstance.erase({ endpoint->record.address.toString(), endpoint->record.startTimeMs });
  }
  if (!endpoint || restarted) {
    // Requests in flight at the previous instance keep its object.
    endpoint = std::make_shared<Endpoint>();
  }
  endpoint->record = aRecord;
  updateSubset(*endpoint);
  mByInstance[{ aRecord.address.toString(), aRecord.startTimeMs }] = endpoint;
  endpoint->isListed = true;
  endpoint->isLapsed = false;
  if (aRecord.isDraining) {
    announceLeave(*endpoint, aNow);
  } else if (!endpoint->hasAnnouncedLeave) {
    endpoint->leaveKnownAt.reset();
  }
  base::TimePoint coldUntil = aNow + aRecord.coldFor;
  if (restarted && aService != nullptr) {
    coldUntil = std::max(coldUntil, aNow + base::Duration(aService->coldTime));
  }
  endpoint->coldUntil = std::max(endpoint->coldUntil, coldUntil);
}

void EndpointSet::lapse(std::string_view aId, base::TimePoint aNow)
{
  auto found = mById.find(aId);
  if (found != mById.end()) {
    found->second->isLapsed = true;
    found->second->leaveKnownAt = found->second->leaveKnownAt.value_or(aNow);
  }
}

bool EndpointSet::remove(std::string_view aId, base::TimePoint aNow)
{
  eraseUnlisted(aNow);
  auto found = mById.find(aId);
  if (found == mById.end() || !found->second->isListed) {
    return false;
  }
  Endpoint& endpoint = *found->second;
  endpoint.isListed = false;
  endpoint.unlistedAt = aNow;
  endpoint.leaveKnownAt = endpoint.leaveKnownAt.value_or(aNow);
  return true;
}

void EndpointSet::eraseUnlisted(base::TimePoint aNow)
{
  auto isExpired = [&](const auto& aEntry) {
    const Endpoint& endpoint = *aEntry.second;
    return !endpoint.isListed && aNow - endpoint.unlistedAt >= kUnlistedRetention &&
           aNow >= endpoint.pausedUntil;
  };
  std::erase_if(mById, isExpired);
  std::erase_if(mByInstance, isExpired);
}

bool EndpointSet::announceLeave(Endpoint& aEndpoint, base::TimePoint aNow)
{
  if (aEndpoint.hasAnnouncedLeave) {
    return false;
  }
  aEndpoint.hasAnnouncedLeave = true;
  aEndpoint.leaveKnownAt = aEndpoint.leaveKnownAt.value_or(aNow);
  return true;
}

void EndpointSet::pause(Endpoint& aEndpoint, base::Duration aFor, base::TimePoint aNow)
{
  aEndpoint.pausedUntil = std::max(aEndpoint.pausedUntil, aNow + aFor);
}

double EndpointSet::costJitterMs()
{
  return kCostJitterMs;
}

size_t EndpointSet::listedCount() const
{
  return static_cast<size_t>(std::count_if(
    mById.begin(), mById.end(), [](const auto& aEntry) { return aEntry.second->isListed; }));
}

void EndpointSet::recordReport(const LoadReport& aReport, base::TimePoint aNow)
{
  auto found = mByInstance.find({ aReport.address, aReport.startTimeMs });
  if (found == mByInstance.end()) {
    return;
  }
  Endpoint& endpoint = *found->second;
  endpoint.report = aReport;
  ++endpoint.reportCount;
  endpoint.unreported = {};
  endpoint.reportedAt = aNow;
  endpoint.waitingAtReport = waitingOf(endpoint);
  endpoint.begunAtReport = endpoint.inFlight - endpoint.waitingAtReport;
}

int EndpointSet::load(const Endpoint& aEndpoint, base::TimePoint aNow)
{
  int others = 0;
  if (aEndpoint.report && aNow - aEndpoint.reportedAt < kMaxReportAge) {
    others = std::max(0,
                      aEndpoint.report->running + aEndpoint.report->queued -
                        aEndpoint.begunAtReport - aEndpoint.waitingAtReport);
  }
  return aEndpoint.inFlight + others;
}

std::optional<Prediction> EndpointSet::predict(const Endpoint& aEndpoint,
                                               const PlacementRequest& aRequest,
                                               base::TimePoint aNow) const
{
  if (aRequest.service->engine) {
    return predictEngine(aEndpoint, aRequest, aNow);
  }
  int load = EndpointSet::load(aEndpoint, aNow);
  if (load >= aEndpoint.record.slots * mOptions.plainOvercommit) {
    return std::nullopt;
  }
  return Prediction{ kIdleCallMs * (1 + static_cast<double>(load) / aEndpoint.record.slots) };
}

std::optional<Prediction> EndpointSet::predictEngine(const Endpoint& aEndpoint,
                                                     const PlacementRequest& aRequest,
                                                     base::TimePoint aNow) const
{
  const EngineProfile& profile = *aRequest.service->engine;
  int ownWaiting = waitingOf(aEndpoint);
  EngineLoad load;
  load.running = aEndpoint.inFlight - ownWaiting;
  load.waiting = aEndpoint.continued.requests;
  load.waitingPromptMs = kConcurrentPromptFactor * aEndpoint.continued.promptMs;
  double pace = 1;
  int othersWaiting = 0;
  if (aEndpoint.report && aNow - aEndpoint.reportedAt < kMaxReportAge) {
    const LoadReport& report = *aEndpoint.report;
    load.running += std::max(0, report.running - aEndpoint.begunAtReport);
    othersWaiting = std::max(0, report.queued - aEndpoint.waitingAtReport);
    pace = std::max(1.0, report.pace);
  }
  load.running = std::min(load.running, profile.slots);
  int beyondSlots = load.running + ownWaiting + othersWaiting - profile.slots;
  Backlog ordinary = aEndpoint.ordinary.total();
  Backlog ahead = aEndpoint.ordinary.ahead(aRequest.priority);
  double othersAhead = othersWaiting * shareAhead(aEndpoint, aRequest.priority);
  double behind = ordinary.requests - ahead.requests + othersWaiting - othersAhead;
  // Only those that wait for a slot are overtaken: the prompts of the others are being processed.
  double overtaken = behind > 0 ? std::clamp(beyondSlots / behind, 0.0, 1.0) : 0;
  auto without = [&](double aAll, double aAhead) { return aAll - overtaken * (aAll - aAhead); };
  if (aRequest.urgency != Urgency::Continued) {
    double concurrentShare = kConcurrentSendShare * (sendersOf(*aRequest.service) - 1);
    Backlog unreported = aEndpoint.unreported.total();
    Backlog unreportedAhead = aEndpoint.unreported.ahead(aRequest.priority);
    load.waiting += without(ordinary.requests, ahead.requests) +
                    kOthersAheadShare * without(othersWaiting, othersAhead) +
                    concurrentShare * without(unreported.requests, unreportedAhead.requests);
    load.waitingPromptMs +=
      kConcurrentPromptFactor * without(ordinary.promptMs, ahead.promptMs) +
      concurrentShare * without(unreported.promptMs, unreportedAhead.promptMs);
  }
  double aheadBeyondSlots = beyondSlots - behind;
  if (aheadBeyondSlots >= kMaxBeyondSlots || beyondSlots >= kMaxQueued) {
    return std::nullopt;
  }
  if (aRequest.urgency == Urgency::Late && beyondSlots >= 0 &&
      aEndpoint.late.requests >= mOptions.maxLateWaiting) {
    return std::nullopt;
  }
  EngineModel model(profile);
  double predicted = pace * model.firstEventMs(load, aRequest.promptTokens) +
                     std::max(0.0, errorOf(aEndpoint, aRequest.priority));
  double ownPromptMs = model.promptMs(aRequest.promptTokens);
  double allowed = allowedMs(aRequest.firstEventBudget, ownPromptMs);
  // A request never leaves a free slot unused for others.
  if (aRequest.urgentTarget && beyondSlots >= 0) {
    allowed =
      std::min(allowed, mOptions.deferredWait * allowedMs(*aRequest.urgentTarget, ownPromptMs));
  }
  bool isInTime = aRequest.urgency != Urgency::Ordinary || predicted <= allowed;
  return Prediction{ predicted, isInTime };
}

double EndpointSet::allowedMs(base::Duration aBudget, double aOwnPromptMs) const
{
  double budget = std::chrono::duration<double, std::milli>(aBudget).count();
  // Only the wait is limited: a request is not refused for the prefill time of its own prompt.
  return std::max(mOptions.budgetFactor * (budget - aOwnPromptMs) + aOwnPromptMs,
                  std::min(budget, static_cast<double>(mOptions.minBudget.count())));
}

Exclusion EndpointSet::disallowance(const Endpoint& aEndpoint,
                                    const PlacementRequest& aRequest,
                                    base::TimePoint aNow) const
{
  const EndpointRecord& record = aEndpoint.record;
  if (aEndpoint.hasAnnouncedLeave) {
    return Exclusion::Leaving;
  }
  if (!aEndpoint.isListed) {
    return Exclusion::Unlisted;
  }
  if (mEvacuated.contains(record.zone)) {
    return Exclusion::Evacuated;
  }
  if (!allowsRegion(aRequest.route->regions, record.region) ||
      (aRequest.workspace != nullptr &&
       !allowsRegion(aRequest.workspace->regions, record.region))) {
    return Exclusion::Region;
  }
  if (std::find(aRequest.excluded.begin(), aRequest.excluded.end(), record.id) !=
      aRequest.excluded.end()) {
    return Exclusion::Tried;
  }
  if (aRequest.service->engine) {
    uint64_t version = aEndpoint.weightVersion();
    if (version == 0 || version < aRequest.minWeightVersion) {
      return Exclusion::Version;
    }
    if (aEndpoint.report && aEndpoint.report->isSwitching &&
        aNow - aEndpoint.reportedAt < kMaxReportAge) {
      return Exclusion::Switching;
    }
  }
  return Exclusion::None;
}

LimitSharers EndpointSet::limitSharers(const Endpoint& aEndpoint, const Service& aService) const
{
  return { orAssumed(static_cast<size_t>(sendersOf(aService))),
           mSubset.entryCount(),
           aEndpoint.entryRank };
}

size_t EndpointSet::orAssumed(size_t aEntries) const
{
  return mAreEntriesKnown ? aEntries : std::max(aEntries, mOptions.subset.entriesPerEndpoint);
}

bool EndpointSet::isColdShareUsed(const Endpoint& aEndpoint,
                                  const Service& aService,
                                  base::TimePoint aNow) const
{
  if (aService.coldRequestsPerSecond <= 0 || !aEndpoint.isCold(aNow)) {
    return false;
  }
  if (!aEndpoint.isInSubset) {
    return true;
  }
  auto entries = static_cast<double>(orAssumed(mSubset.entriesOfEndpoint()));
  double share = std::max(1.0, std::floor(aService.coldRequestsPerSecond / entries));
  auto recent = std::count_if(aEndpoint.recentSends.begin(),
                              aEndpoint.recentSends.end(),
                              [&](base::TimePoint aAt) { return aNow - aAt < 1s; });
  return static_cast<double>(recent) >= share;
}

double EndpointSet::costMs(const Endpoint& aEndpoint,
                           const PlacementRequest& aRequest,
                           double aPredictedMs,
                           base::TimePoint aNow) const
{
  double cost = aPredictedMs + kFailureCostMs * aEndpoint.failureShare +
                kOvertakenCostMs * overtakenShare(aEndpoint, aNow);
  if (aEndpoint.record.region != mOptions.region) {
    cost += static_cast<double>(mOptions.remotePenalty.count());
  }
  if (aEndpoint.report && aEndpoint.report->switchesSoon) {
    cost += kSwitchesSoonCostMs;
  }
  if (aRequest.urgency == Urgency::Continued &&
      aEndpoint.weightVersion() < aRequest.newestWeightVersion) {
    cost += kOldWeightsCostMs;
  }
  return cost;
}

EndpointSet::Candidates EndpointSet::candidates(const PlacementRequest& aRequest,
                                                base::TimePoint aNow) const
{
  Candidates candidates;
  Endpoints lapsed;
  for (const auto& [id, endpoint] : mById) {
    if (endpoint->record.service == aRequest.service->name &&
        disallowance(*endpoint, aRequest, aNow) == Exclusion::None) {
      bool isUsed = endpoint->isInSubset || !aRequest.service->engine;
      auto& group = endpoint->isLapsed ? lapsed : isUsed ? candidates.regular : candidates.spare;
      group.push_back(&endpoint);
    }
  }
  if (candidates.regular.empty() && candidates.spare.empty()) {
    candidates.regular = std::move(lapsed);
  }
  if (candidates.regular.empty()) {
    candidates.regular = std::move(candidates.spare);
    candidates.spare.clear();
  }
  return candidates;
}

Placement EndpointSet::choose(const PlacementRequest& aRequest,
                              base::TimePoint aNow,
                              base::Rng& aRng) const
{
  Placement best;
  best.refusal = Refusal::NoEndpoint;
  auto [regular, spare] = candidates(aRequest, aNow);
  double soonest = std::numeric_limits<double>::infinity();
  chooseCheapest(regular, aRequest, aNow, aRng, best, soonest);
  if (!best.endpoint) {
    std::erase_if(spare, [&](const EndpointPtr* aEndpoint) {
      return !hasSpareSlots(**aEndpoint, aRequest, aNow);
    });
    chooseCheapest(spare, aRequest, aNow, aRng, best, soonest);
  }
  if (!best.endpoint && std::isfinite(soonest)) {
    best.predictedMs = soonest;
  }
  return best;
}

std::vector<EndpointVerdict> EndpointSet::explain(const PlacementRequest& aRequest,
                                                  base::TimePoint aNow) const
{
  auto [regular, spare] = candidates(aRequest, aNow);
  auto verdicts = judge(regular, aRequest, aNow);
  bool isAnyUsable = std::any_of(verdicts.begin(), verdicts.end(), [](const auto& aVerdict) {
    return aVerdict.exclusion == Exclusion::None;
  });
  std::erase_if(spare, [&](const EndpointPtr* aEndpoint) {
    return isAnyUsable || !hasSpareSlots(**aEndpoint, aRequest, aNow);
  });
  auto ofSpare = judge(spare, aRequest, aNow);
  verdicts.insert(verdicts.end(), ofSpare.begin(), ofSpare.end());
  std::set<const Endpoint*> judged;
  for (const EndpointVerdict& verdict : verdicts) {
    judged.insert(verdict.endpoint.get());
  }
  for (const auto& [id, endpoint] : mById) {
    if (endpoint->record.service != aRequest.service->name || judged.contains(endpoint.get())) {
      continue;
    }
    Exclusion exclusion = disallowance(*endpoint, aRequest, aNow);
    if (exclusion == Exclusion::None) {
      exclusion = endpoint->isLapsed ? Exclusion::Lapsed : Exclusion::Unused;
    }
    verdicts.push_back({ endpoint, exclusion, {}, 0 });
  }
  std::sort(verdicts.begin(),
            verdicts.end(),
            [](const EndpointVerdict& aLeft, const EndpointVerdict& aRight) {
              return aLeft.endpoint->record.id < aRight.endpoint->record.id;
            });
  return verdicts;
}

bool EndpointSet::hasSpareSlots(const Endpoint& aEndpoint,
                                const PlacementRequest& aRequest,
                                base::TimePoint aNow) const
{
  return aEndpoint.report && aNow - aEndpoint.reportedAt < kMaxReportAge &&
         load(aEndpoint, aNow) < kSpareLoadShare * aRequest.service->engine->slots;
}

bool EndpointSet::startsOutdated(const Endpoint& aEndpoint,
                                 const PlacementRequest& aRequest,
                                 double aPredictedMs,
                                 base::TimePoint aNow)
{
  if (!aRequest.service->engine || !aRequest.dueVersion ||
      aEndpoint.weightVersion() >= aRequest.dueVersion->version) {
    return false;
  }
  auto predicted = std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double, std::milli>(aPredictedMs));
  return aNow + predicted > aRequest.dueVersion->at;
}

std::vector<EndpointVerdict> EndpointSet::judge(std::span<const EndpointPtr* const> aEndpoints,
                                                const PlacementRequest& aRequest,
                                                base::TimePoint aNow) const
{
  // If all are unstable they are used all the same: their failures are not worse than a refusal.
  bool isAnyStable = std::any_of(aEndpoints.begin(), aEndpoints.end(), [&](const auto* aEndpoint) {
    return aNow >= (*aEndpoint)->unstableUntil;
  });
  std::vector<EndpointVerdict> verdicts;
  verdicts.reserve(aEndpoints.size());
  for (const EndpointPtr* endpoint : aEndpoints) {
    verdicts.push_back(judge(*endpoint, isAnyStable, aRequest, aNow));
  }
  return verdicts;
}

EndpointVerdict EndpointSet::judge(const EndpointPtr& aEndpoint,
                                   bool aIsAnyStable,
                                   const PlacementRequest& aRequest,
                                   base::TimePoint aNow) const
{
  const Endpoint& endpoint = *aEndpoint;
  auto excluded = [&](Exclusion aExclusion, std::optional<double> aPredictedMs = {}) {
    return EndpointVerdict{ aEndpoint, aExclusion, aPredictedMs, 0 };
  };
  if (aNow < endpoint.pausedUntil) {
    return excluded(Exclusion::Paused);
  }
  if (aNow < endpoint.avoidUntil) {
    return excluded(Exclusion::Avoided);
  }
  if (endpoint.consecutiveSilences > 0 && endpoint.inFlight > endpoint.silentInFlight) {
    return excluded(Exclusion::Probed);
  }
  if (endpoint.report && endpoint.report->memoryUsed > kMemoryFullShare) {
    return excluded(Exclusion::Memory);
  }
  if (aIsAnyStable && aNow < endpoint.unstableUntil) {
    return excluded(Exclusion::Unstable);
  }
  auto predicted = predict(endpoint, aRequest, aNow);
  if (!predicted) {
    return excluded(Exclusion::Full);
  }
  if (!predicted->isInTime) {
    return excluded(Exclusion::Slow, predicted->ms);
  }
  if (startsOutdated(endpoint, aRequest, predicted->ms, aNow)) {
    return excluded(Exclusion::Outdated, predicted->ms);
  }
  if (isColdShareUsed(endpoint, *aRequest.service, aNow)) {
    return excluded(Exclusion::Cold, predicted->ms);
  }
  if (endpoint.limit.perSecond() &&
      endpoint.limit.waitTime(limitSharers(endpoint, *aRequest.service), aNow) >
        base::Duration(0)) {
    return excluded(Exclusion::Limited, predicted->ms);
  }
  return {
    aEndpoint, Exclusion::None, predicted->ms, costMs(endpoint, aRequest, predicted->ms, aNow)
  };
}

base::Duration EndpointSet::unavailableFor(const Endpoint& aEndpoint,
                                           const PlacementRequest& aRequest,
                                           base::TimePoint aNow) const
{
  auto time = std::max(base::Duration(0), aEndpoint.pausedUntil - aNow);
  if (aEndpoint.limit.perSecond()) {
    time =
      std::max(time, aEndpoint.limit.retryTime(limitSharers(aEndpoint, *aRequest.service), aNow));
  }
  return time;
}

void EndpointSet::chooseCheapest(std::span<const EndpointPtr* const> aEndpoints,
                                 const PlacementRequest& aRequest,
                                 base::TimePoint aNow,
                                 base::Rng& aRng,
                                 Placement& aBest,
                                 double& aSoonestMs) const
{
  double bestCost = 0;
  std::uniform_real_distribution<double> costJitter(0, kCostJitterMs);
  for (const EndpointVerdict& verdict : judge(aEndpoints, aRequest, aNow)) {
    auto unavailable = unavailableFor(*verdict.endpoint, aRequest, aNow);
    aBest.unavailableFor =
      aBest.candidates == 0 ? unavailable : std::min(aBest.unavailableFor, unavailable);
    ++aBest.candidates;
    aSoonestMs = std::min(aSoonestMs, verdict.predictedMs.value_or(aSoonestMs));
    if (verdict.exclusion != Exclusion::None) {
      aBest.refusal = aBest.endpoint ? aBest.refusal : refusalFor(verdict.exclusion);
      continue;
    }
    double cost = verdict.costMs + costJitter(aRng);
    if (!aBest.endpoint || cost < bestCost) {
      aBest.endpoint = verdict.endpoint;
      aBest.refusal = Refusal::None;
      aBest.predictedMs = *verdict.predictedMs;
      bestCost = cost;
    }
  }
}

Occupancy EndpointSet::started(const Placement& aPlacement,
                               const PlacementRequest& aRequest,
                               base::TimePoint aNow)
{
  Endpoint& endpoint = *aPlacement.endpoint;
  Occupancy occupancy;
  occupancy.predictedMs = aPlacement.predictedMs;
  occupancy.sentAt = aNow;
  occupancy.urgency = aRequest.urgency;
  occupancy.priority = std::clamp(aRequest.priority, 0, kPriorityCount - 1);
  occupancy.reportCountAtSend = endpoint.reportCount;
  if (aRequest.service->engine) {
    occupancy.promptMs = EngineModel(*aRequest.service->engine).promptMs(aRequest.promptTokens);
  }
  ++endpoint.inFlight;
  endpoint.limit.recordSend(limitSharers(endpoint, *aRequest.service), aNow);
  addToBacklog(endpoint, occupancy);
  if (occupancy.urgency == Urgency::Ordinary) {
    recordPriority(endpoint, occupancy.priority);
  }
  std::erase_if(endpoint.recentSends, [&](base::TimePoint aAt) { return aNow - aAt >= 1s; });
  endpoint.recentSends.push_back(aNow);
  return occupancy;
}

void EndpointSet::markBegun(Endpoint& aEndpoint, Occupancy& aOccupancy)
{
  if (std::exchange(aOccupancy.hasBegun, true)) {
    return;
  }
  removeFromBacklog(aEndpoint, aOccupancy);
}

void EndpointSet::avoidAfterSilence(Endpoint& aEndpoint, base::TimePoint aNow)
{
  auto backoff = std::min(kSilenceBackoffCap,
                          kSilenceBackoffBase * (1 << std::min(aEndpoint.consecutiveSilences, 4U)));
  ++aEndpoint.consecutiveSilences;
  aEndpoint.avoidUntil = std::max(aEndpoint.avoidUntil, aNow + base::Duration(backoff));
}

void EndpointSet::recordSilence(Endpoint& aEndpoint, Occupancy& aOccupancy, base::TimePoint aNow)
{
  if (!std::exchange(aOccupancy.isSilent, true)) {
    ++aEndpoint.silentInFlight;
    avoidAfterSilence(aEndpoint, aNow);
  }
}

void EndpointSet::endSilence(Endpoint& aEndpoint, Occupancy& aOccupancy)
{
  if (std::exchange(aOccupancy.isSilent, false)) {
    --aEndpoint.silentInFlight;
    aEndpoint.consecutiveSilences = 0;
  }
}

void EndpointSet::avoidAfterBreak(Endpoint& aEndpoint, base::TimePoint aNow)
{
  if (++aEndpoint.consecutiveBreaks < kBreaksToAvoid) {
    return;
  }
  auto doublings = std::min(aEndpoint.consecutiveBreaks - kBreaksToAvoid, 4U);
  auto backoff = std::min(kBreakBackoffCap, kBreakBackoffBase * (1 << doublings));
  aEndpoint.unstableUntil = aNow + base::Duration(backoff);
}

void EndpointSet::finished(Endpoint& aEndpoint,
                           Occupancy& aOccupancy,
                           Outcome aOutcome,
                           base::TimePoint aNow)
{
  markBegun(aEndpoint, aOccupancy);
  --aEndpoint.inFlight;
  bool isSilenceKnown = std::exchange(aOccupancy.isSilent, false);
  aEndpoint.silentInFlight -= isSilenceKnown ? 1 : 0;
  bool failed = aOutcome == Outcome::Failure || aOutcome == Outcome::Broken;
  if (failed || aOutcome == Outcome::Success) {
    aEndpoint.failureShare +=
      kMovingAverageWeight * ((failed ? 1.0 : 0.0) - aEndpoint.failureShare);
  }
  bool isOvertaken = aOutcome == Outcome::Overtaken;
  if (isOvertaken || (aOutcome == Outcome::Success && aEndpoint.overtakenShare > 0)) {
    double share = overtakenShare(aEndpoint, aNow);
    aEndpoint.overtakenShare = share + kMovingAverageWeight * ((isOvertaken ? 1.0 : 0.0) - share);
    aEndpoint.overtakenAt = aNow;
  }
  switch (aOutcome) {
    case Outcome::Success:
      aEndpoint.consecutiveSilences = 0;
      aEndpoint.consecutiveBreaks = 0;
      break;
    case Outcome::Rejected:
      aEndpoint.avoidUntil =
        std::max(aEndpoint.avoidUntil, aNow + base::Duration(kRejectionBackoff));
      break;
    case Outcome::Misdirected:
      aEndpoint.avoidUntil =
        std::max(aEndpoint.avoidUntil, aNow + base::Duration(kMisdirectedBackoff));
      break;
    case Outcome::Silent:
      if (!isSilenceKnown) {
        avoidAfterSilence(aEndpoint, aNow);
      }
      break;
    case Outcome::Broken:
      if (aOccupancy.sentAt >= aEndpoint.brokenAt) {
        aEndpoint.brokenAt = aNow;
        avoidAfterBreak(aEndpoint, aNow);
      }
      break;
    case Outcome::Failure:
    case Outcome::Abandoned:
    case Outcome::Overtaken:
      break;
  }
}

void EndpointSet::firstEvent(Endpoint& aEndpoint, Occupancy& aOccupancy, base::Duration aAfter)
{
  markBegun(aEndpoint, aOccupancy);
  if (aOccupancy.urgency == Urgency::Ordinary) {
    double ms = std::chrono::duration<double, std::milli>(aAfter).count();
    double& average = aEndpoint.predictionErrorMs.at(static_cast<size_t>(aOccupancy.priority));
    average += kMovingAverageWeight * (ms - aOccupancy.predictedMs - average);
  }
}

void EndpointSet::recordWeightVersion(Endpoint& aEndpoint, uint64_t aVersion)
{
  aEndpoint.record.weightVersion = aVersion;
  if (aEndpoint.report) {
    aEndpoint.report->weightVersion = aVersion;
  }
}

} // namespace boragepitch::serving
