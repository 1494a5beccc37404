#include "serving/EndpointSet.h"

#include <algorithm>
#include <cmath>

namespace boragepitch::serving {

namespace {

using namespace std::chrono_literals;

/** A report older than this says nothing of the present load. */
constexpr base::Milliseconds kReportLife = 1500ms;
/** Weight of the latest request in the moving averages. */
constexpr double kAverageWeight = 0.1;
/** First pause after an endpoint could not be reached; doubles up to the cap. */
constexpr base::Milliseconds kSilenceBase = 400ms;
constexpr base::Milliseconds kSilenceCap = 3200ms;
/** Pause after an endpoint rejected a request: about the time in which a slot frees. */
constexpr base::Milliseconds kRejectPause = 120ms;
/** Pause after an answer of another instance, until the list tells more. */
constexpr base::Milliseconds kMisdirectedPause = 1000ms;
/** First-event time up to which an endpoint counts as normal, and what one second more costs. */
constexpr double kNormalFirstEventMs = 250;
constexpr double kSlowCostPerSecond = 1.0;
constexpr double kFailureCost = 1.5;
constexpr double kPaceCost = 0.5;
/** More than any load: a stream continues on other weights only where no endpoint has its own. */
constexpr double kOtherWeightsCost = 10;
/** Memory use above which long contexts make an engine preempt requests. */
constexpr double kMemoryFull = 0.92;
/** Differences below this are not worth a preference; spreads equal endpoints at random. */
constexpr double kTieSpread = 0.04;

} // namespace

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
  }
  return "none";
}

uint64_t Endpoint::weightVersion() const
{
  if (report && report->born == record.born) {
    return report->weightVersion;
  }
  return record.weightVersion.value_or(0);
}

EndpointSet::EndpointSet(PlacementOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void EndpointSet::apply(const EndpointRecord& aRecord,
                        const Service* aService,
                        base::TimePoint aNow)
{
  EndpointPtr& endpoint = mById[aRecord.id];
  bool restarted = endpoint && endpoint->record.born != aRecord.born;
  if (!endpoint || restarted) {
    // Requests in flight keep the object of the earlier lifetime.
    endpoint = std::make_shared<Endpoint>();
  }
  endpoint->record = aRecord;
  endpoint->isListed = true;
  base::TimePoint coldUntil = aNow + aRecord.coldFor;
  if (restarted && aService != nullptr) {
    coldUntil = std::max(coldUntil, aNow + base::Duration(aService->coldTime));
  }
  endpoint->coldUntil = std::max(endpoint->coldUntil, coldUntil);
}

void EndpointSet::remove(std::string_view aId)
{
  auto found = mById.find(aId);
  if (found != mById.end()) {
    found->second->isListed = false;
    mById.erase(found);
  }
}

void EndpointSet::learn(const LoadReport& aReport, base::TimePoint aNow)
{
  for (auto& [id, endpoint] : mById) {
    if (endpoint->record.address.toString() == aReport.address &&
        endpoint->record.born == aReport.born) {
      endpoint->report = aReport;
      endpoint->reportedAt = aNow;
      endpoint->inFlightAtReport = endpoint->inFlight;
    }
  }
}

int EndpointSet::load(const Endpoint& aEndpoint, base::TimePoint aNow)
{
  int others = 0;
  if (aEndpoint.report && aNow - aEndpoint.reportedAt < kReportLife) {
    others = std::max(
      0, aEndpoint.report->running + aEndpoint.report->queued - aEndpoint.inFlightAtReport);
  }
  return aEndpoint.inFlight + others;
}

int EndpointSet::places(const Endpoint& aEndpoint, const Service& aService) const
{
  if (aService.engine) {
    return aEndpoint.record.slots + mOptions.engineQueue;
  }
  return std::max(
    1, static_cast<int>(std::lround(aEndpoint.record.slots * mOptions.plainOverbooking)));
}

bool EndpointSet::isAllowed(const Endpoint& aEndpoint,
                            const PlacementRequest& aRequest,
                            base::TimePoint aNow) const
{
  const EndpointRecord& record = aEndpoint.record;
  if (record.service != aRequest.service->name || record.isDraining || !aEndpoint.isListed ||
      mEvacuated.contains(record.zone)) {
    return false;
  }
  if (!allowsRegion(aRequest.route->regions, record.region) ||
      (aRequest.workspace != nullptr &&
       !allowsRegion(aRequest.workspace->regions, record.region))) {
    return false;
  }
  if (std::find(aRequest.excluded.begin(), aRequest.excluded.end(), record.id) !=
      aRequest.excluded.end()) {
    return false;
  }
  if (aRequest.service->engine) {
    uint64_t version = aEndpoint.weightVersion();
    if (version == 0 || version < aRequest.minWeightVersion) {
      return false;
    }
    if (aEndpoint.report && aEndpoint.report->isSwitching &&
        aNow - aEndpoint.reportedAt < kReportLife) {
      return false;
    }
  }
  return true;
}

bool EndpointSet::coldShareUsed(const Endpoint& aEndpoint,
                                const Service& aService,
                                base::TimePoint aNow) const
{
  if (aService.coldRequestsPerSecond <= 0 || !aEndpoint.isCold(aNow)) {
    return false;
  }
  double share = std::max(1.0, std::floor(aService.coldRequestsPerSecond / mSenders));
  auto recent = std::count_if(aEndpoint.recentSends.begin(),
                              aEndpoint.recentSends.end(),
                              [&](base::TimePoint aAt) { return aNow - aAt < 1s; });
  return static_cast<double>(recent) >= share;
}

double EndpointSet::costOf(const Endpoint& aEndpoint,
                           const PlacementRequest& aRequest,
                           int aLoad,
                           int aPlaces) const
{
  double cost = static_cast<double>(aLoad) / aPlaces;
  if (aEndpoint.record.region != mOptions.region) {
    cost += mOptions.remotePenalty;
  }
  cost += kFailureCost * aEndpoint.failureShare;
  cost += kSlowCostPerSecond * std::max(0.0, aEndpoint.firstEventMs - kNormalFirstEventMs) / 1000;
  if (aRequest.streamWeightVersion != 0 &&
      aEndpoint.weightVersion() != aRequest.streamWeightVersion) {
    cost += kOtherWeightsCost;
  }
  if (aEndpoint.report) {
    cost += kPaceCost * std::max(0.0, aEndpoint.report->pace - 1);
  }
  return cost;
}

Placement EndpointSet::choose(const PlacementRequest& aRequest,
                              base::TimePoint aNow,
                              base::Rng& aRng) const
{
  Placement best;
  best.refusal = Refusal::NoEndpoint;
  double bestCost = 0;
  std::uniform_real_distribution<double> spread(0, kTieSpread);
  for (const auto& [id, endpoint] : mById) {
    if (!isAllowed(*endpoint, aRequest, aNow)) {
      continue;
    }
    ++best.candidates;
    int load = EndpointSet::load(*endpoint, aNow);
    int limit = places(*endpoint, *aRequest.service);
    bool onProbation = endpoint->silences > 0 && endpoint->inFlight > 0;
    bool memoryFull = endpoint->report && endpoint->report->memoryUsed > kMemoryFull;
    if (load >= limit || aNow < endpoint->avoidUntil || onProbation || memoryFull) {
      best.refusal = best.endpoint ? best.refusal : Refusal::Full;
      continue;
    }
    if (coldShareUsed(*endpoint, *aRequest.service, aNow)) {
      best.refusal = best.endpoint ? best.refusal : Refusal::Cold;
      continue;
    }
    double cost = costOf(*endpoint, aRequest, load, limit) + spread(aRng);
    if (!best.endpoint || cost < bestCost) {
      best.endpoint = endpoint;
      best.refusal = Refusal::None;
      bestCost = cost;
    }
  }
  best.cost = bestCost;
  return best;
}

int EndpointSet::freePlaces(const PlacementRequest& aRequest, base::TimePoint aNow) const
{
  int count = 0;
  for (const auto& [id, endpoint] : mById) {
    if (isAllowed(*endpoint, aRequest, aNow) && aNow >= endpoint->avoidUntil) {
      count += std::max(0, places(*endpoint, *aRequest.service) - load(*endpoint, aNow));
    }
  }
  return count;
}

void EndpointSet::started(Endpoint& aEndpoint, base::TimePoint aNow)
{
  ++aEndpoint.inFlight;
  std::erase_if(aEndpoint.recentSends, [&](base::TimePoint aAt) { return aNow - aAt >= 1s; });
  aEndpoint.recentSends.push_back(aNow);
}

void EndpointSet::finished(Endpoint& aEndpoint, Outcome aOutcome, base::TimePoint aNow)
{
  --aEndpoint.inFlight;
  bool failed = aOutcome == Outcome::Failure || aOutcome == Outcome::Broken;
  if (failed || aOutcome == Outcome::Success) {
    aEndpoint.failureShare += kAverageWeight * ((failed ? 1.0 : 0.0) - aEndpoint.failureShare);
  }
  switch (aOutcome) {
    case Outcome::Success:
      aEndpoint.silences = 0;
      break;
    case Outcome::Rejected:
      aEndpoint.avoidUntil = std::max(aEndpoint.avoidUntil, aNow + base::Duration(kRejectPause));
      break;
    case Outcome::Misdirected:
      aEndpoint.avoidUntil =
        std::max(aEndpoint.avoidUntil, aNow + base::Duration(kMisdirectedPause));
      break;
    case Outcome::Silent: {
      auto pause = std::min(kSilenceCap, kSilenceBase * (1 << std::min(aEndpoint.silences, 4U)));
      ++aEndpoint.silences;
      aEndpoint.avoidUntil = std::max(aEndpoint.avoidUntil, aNow + base::Duration(pause));
      break;
    }
    case Outcome::Failure:
    case Outcome::Broken:
    case Outcome::Abandoned:
      break;
  }
}

void EndpointSet::firstEvent(Endpoint& aEndpoint, base::Duration aAfter)
{
  double ms = std::chrono::duration<double, std::milli>(aAfter).count();
  aEndpoint.firstEventMs =
    aEndpoint.firstEventMs == 0
      ? ms
      : aEndpoint.firstEventMs + kAverageWeight * (ms - aEndpoint.firstEventMs);
}

void EndpointSet::noteVersion(Endpoint& aEndpoint, uint64_t aVersion)
{
  aEndpoint.record.weightVersion = aVersion;
  if (aEndpoint.report) {
    aEndpoint.report->weightVersion = aVersion;
  }
}

} // namespace boragepitch::serving
