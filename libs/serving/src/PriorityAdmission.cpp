#include "serving/PriorityAdmission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace boragepitch::serving {

namespace {
using namespace std::chrono_literals;

/** Time between adaptations. An entry of the smallest fleets sees some 20 requests in it. */
constexpr base::Milliseconds kInterval{ 200 };
/** Time constant of the counts; bursts of some seconds must be noticed well before they end. */
constexpr double kMemorySeconds = 0.6;
/** After so long without a request the former load says nothing. */
constexpr base::Milliseconds kForgetAfter{ 5000 };
/** Refusals from which on a service can be contested; fewer may be chance. */
constexpr double kMinRefused = 2;
/** Refused requests of the more urgent priorities lower the limit by this factor on their share. */
constexpr double kLowerGain = 0.5;
constexpr double kMaxLower = 0.2;
/** The limit rises by this in the first round without refusals, by twice as much in each further
 * one and at most by kMaxRaise: after endpoints return, their capacity is used within a second or
 * two. */
constexpr double kRaise = 0.005;
constexpr double kMaxRaise = 0.08;
constexpr int kMaxCalmRounds = 5;
/** Minimum of the limit relative to the arrivals; below it a return to normal would take long. */
constexpr double kMinLevel = 0.2;
/** Minimum shares of the priorities other than the least urgent, relative to its own: callers with
 * a longer target come back more often, and with equal shares would be served more often. */
constexpr double kUrgentFloorFactor = 4.0 / 3;
/** Maximum of the limit relative to the arrivals: a higher one would take too long to come down. */
constexpr double kMaxSlack = 1.2;
/** Rounds with fewer arrivals than the limit after which the service is no longer contested. */
constexpr int kUncontestedRounds = 10;
/** Workspaces with fewer arrivals are forgotten, some 3 s after the last one. */
constexpr double kForgottenArrivals = 0.01;
/** Retry delay of the most urgent priority, and what each further one adds to it and its jitter.
 * The first equals that of callers refused for full endpoints. */
constexpr base::Milliseconds kMinDelay{ 120 };
constexpr base::Milliseconds kDelayPerPriority{ 40 };
constexpr base::Milliseconds kJitter{ 120 };

int classOf(int aPriority)
{
  return std::clamp(aPriority, 0, kPriorityCount - 1);
}

base::Milliseconds retryDelay(int aPriority, base::Rng& aRng)
{
  auto jitter = kJitter + aPriority * kDelayPerPriority;
  return kMinDelay + aPriority * kDelayPerPriority +
         base::Milliseconds(base::uniformBelow<int64_t>(aRng, jitter.count()));
}
} // namespace

AdmissionDecision PriorityAdmission::admit(std::string_view aService,
                                           int aPriority,
                                           std::string_view aWorkspace,
                                           base::TimePoint aNow,
                                           base::Rng& aRng)
{
  auto found = mServices.find(aService);
  if (found == mServices.end()) {
    found = mServices.emplace(std::string(aService), Service()).first;
    found->second.adaptedAt = aNow;
  }
  Service& service = found->second;
  adapt(service, aNow);
  int priority = classOf(aPriority);
  Class& own = service.classes[static_cast<size_t>(priority)];
  ++own.arrivals;
  AdmissionDecision decision;
  decision.share = own.share;
  if (mShares.isEnabled) {
    auto sender = own.senders.find(aWorkspace);
    if (sender == own.senders.end()) {
      sender = own.senders.emplace(std::string(aWorkspace), Sender()).first;
    }
    ++sender->second.arrivals;
    decision.share = sender->second.share;
  }
  if (decision.share < 1 && std::uniform_real_distribution<double>(0, 1)(aRng) >= decision.share) {
    decision.isAdmitted = false;
    decision.refusedFor = service.refusedFor;
    decision.retryAfter = retryDelay(priority, aRng);
  }
  return decision;
}

void PriorityAdmission::recordPlacement(std::string_view aService, int aPriority, bool aHasRoom)
{
  auto found = mServices.find(aService);
  if (found != mServices.end()) {
    Class& own = found->second.classes[static_cast<size_t>(classOf(aPriority))];
    ++(aHasRoom ? own.newlyPlaced : own.newlyRefused);
  }
}

std::optional<double> PriorityAdmission::limit(std::string_view aService) const
{
  auto found = mServices.find(aService);
  return found == mServices.end() ? std::nullopt : found->second.limit;
}

void PriorityAdmission::adapt(Service& aService, base::TimePoint aNow) const
{
  auto elapsed = aNow - aService.adaptedAt;
  if (elapsed < kInterval) {
    return;
  }
  if (elapsed > kForgetAfter) {
    aService = Service();
    aService.adaptedAt = aNow;
    return;
  }
  aService.adaptedAt = aNow;
  double seconds = std::chrono::duration<double>(elapsed).count();
  aService.seconds += seconds;
  for (Class& each : aService.classes) {
    each.placed += each.newlyPlaced;
    each.refused += each.newlyRefused;
  }
  adaptLimit(aService);
  grant(aService);
  double kept = std::exp(-seconds / kMemorySeconds);
  aService.seconds *= kept;
  for (Class& each : aService.classes) {
    each.arrivals *= kept;
    each.placed *= kept;
    each.refused *= kept;
    each.newlyPlaced = 0;
    each.newlyRefused = 0;
    for (auto& [name, sender] : each.senders) {
      sender.arrivals *= kept;
    }
    std::erase_if(each.senders,
                  [](const auto& aEntry) { return aEntry.second.arrivals < kForgottenArrivals; });
  }
}

bool PriorityAdmission::hasSeveralWorkspaces(const Service& aService)
{
  std::string_view first;
  bool isAny = false;
  for (const Class& each : aService.classes) {
    for (const auto& [name, sender] : each.senders) {
      if (isAny && name != first) {
        return true;
      }
      first = name;
      isAny = true;
    }
  }
  return false;
}

void PriorityAdmission::divide(Class& aClass) const
{
  struct Part
  {
    Sender* sender;
    double weight;
    double wanted; ///< Beyond the minimum.
  };
  // Each workspace keeps a minimum, as each priority does.
  double minShare = aClass.share < 1 ? mLimits.floor * aClass.share : 1;
  double left = 0;
  double weights = 0;
  std::vector<Part> parts;
  for (auto& [name, sender] : aClass.senders) {
    auto weight = mShares.weights.find(name);
    parts.push_back({ &sender,
                      weight == mShares.weights.end() ? 1 : weight->second,
                      (1 - minShare) * sender.arrivals });
    left += (aClass.share - minShare) * sender.arrivals;
    weights += parts.back().weight;
  }
  std::sort(parts.begin(), parts.end(), [](const Part& aLeft, const Part& aRight) {
    return aLeft.wanted * aRight.weight < aRight.wanted * aLeft.weight;
  });
  for (const Part& part : parts) {
    double granted = std::min(part.wanted, left * part.weight / std::max(weights, 1e-9));
    part.sender->share =
      granted < part.wanted ? minShare + granted / std::max(part.sender->arrivals, 1e-9) : 1;
    left -= granted;
    weights -= part.weight;
  }
}

void PriorityAdmission::adaptLimit(Service& aService) const
{
  auto& classes = aService.classes;
  auto isPresent = [](const Class& aClass) { return aClass.arrivals >= 1; };
  auto first = std::find_if(classes.begin(), classes.end(), isPresent);
  auto last = std::find_if(classes.rbegin(), classes.rend(), isPresent);
  // Those that are more urgent than all that are refused here, and always the most urgent: without
  // a limit for these the minimum of the others would find no room either. The least urgent
  // counts only if there are shares of workspaces: otherwise there is nothing to refuse for it.
  auto end = first;
  if (last != classes.rend() && hasSeveralWorkspaces(aService)) {
    end = std::find_if(first, last.base(), [](const Class& aClass) { return aClass.share < 1; });
    end = std::min(std::max(end, std::next(first)), last.base());
  } else if (last != classes.rend() && first < std::prev(last.base())) {
    end = std::find_if(first, classes.end(), [](const Class& aClass) { return aClass.share < 1; });
    end = std::min(std::max(end, std::next(first)), std::prev(last.base()));
  }
  double arrivals = 0;
  double placed = 0;
  bool isAnyPlaced = false;
  for (const Class& each : classes) {
    arrivals += each.arrivals;
    placed += each.placed;
    isAnyPlaced = isAnyPlaced || each.newlyPlaced > 0;
  }
  double urgentPlaced = 0;
  double urgentRefused = 0;
  double newlyPlaced = 0;
  double newlyRefused = 0;
  std::optional<int> refusedFor;
  for (auto each = classes.begin(); each != end; ++each) {
    urgentPlaced += each->placed;
    urgentRefused += each->refused;
    newlyPlaced += each->newlyPlaced;
    newlyRefused += each->newlyRefused;
    if (each->refused >= 1 && !refusedFor) {
      refusedFor = static_cast<int>(each - classes.begin());
    }
  }
  bool isShort = isAnyPlaced && urgentRefused >= kMinRefused &&
                 urgentRefused > mLimits.urgentRefusals * (urgentPlaced + urgentRefused);
  if (isShort) {
    aService.refusedFor = refusedFor.value_or(aService.refusedFor);
  }
  if (!aService.limit) {
    if (isShort) {
      aService.limit = placed / aService.seconds;
      aService.calmRounds = 0;
      aService.slackRounds = 0;
    }
    return;
  }
  // Only the latest refusals count: the earlier ones have lowered the limit already.
  double excess = newlyRefused / std::max(newlyPlaced + newlyRefused, 1.0) - mLimits.urgentRefusals;
  if (excess > 0 && !isAnyPlaced) {
    // Nothing has room, whatever its priority: a lower limit would only delay the return to normal.
    aService.calmRounds = 0;
  } else if (excess > 0) {
    aService.calmRounds = 0;
    *aService.limit *= 1 - std::min(kMaxLower, kLowerGain * excess);
  } else {
    *aService.limit *= 1 + std::min(kMaxRaise, std::ldexp(kRaise, aService.calmRounds));
    aService.calmRounds = std::min(aService.calmRounds + 1, kMaxCalmRounds);
  }
  double arrivalRate = arrivals / aService.seconds;
  aService.limit = std::max(*aService.limit, kMinLevel * arrivalRate);
  if (*aService.limit < arrivalRate) {
    aService.slackRounds = 0;
  } else {
    aService.limit = std::min(*aService.limit, kMaxSlack * arrivalRate);
    if (++aService.slackRounds >= kUncontestedRounds) {
      aService.limit.reset();
    }
  }
}

void PriorityAdmission::grant(Service& aService) const
{
  double arrivals = 0;
  for (const Class& each : aService.classes) {
    arrivals += each.arrivals;
  }
  double allowed = aService.limit ? *aService.limit * aService.seconds : arrivals;
  double level = arrivals > 0 ? std::min(1.0, allowed / arrivals) : 1;
  auto last = std::find_if(aService.classes.rbegin(),
                           aService.classes.rend(),
                           [](const Class& aClass) { return aClass.arrivals >= 1; });
  auto minShareOf = [&](const Class& aClass) {
    bool isLast = last != aService.classes.rend() && &aClass >= &*last;
    return std::min(1.0, mLimits.floor * (isLast ? 1 : kUrgentFloorFactor)) * level;
  };
  double left = allowed;
  for (const Class& each : aService.classes) {
    left -= minShareOf(each) * each.arrivals;
  }
  left = std::max(0.0, left);
  double servedShare = 1; // The smallest one of the more urgent priorities.
  for (Class& each : aService.classes) {
    double minShare = minShareOf(each);
    double wanted = (1 - minShare) * each.arrivals;
    double granted = std::min(wanted, left);
    left -= granted;
    each.share = level < 1 ? minShare : 1;
    if (wanted > 0) {
      each.share = granted < wanted ? minShare + granted / each.arrivals : 1;
    }
    if (!aService.limit || each.arrivals < 1) {
      divide(each);
      continue;
    }
    // A long target lets less urgent requests find room more easily than the more urgent ones.
    double roomShare = (each.placed + 1) / (each.placed + each.refused + 1);
    each.share = std::min(each.share, servedShare / roomShare);
    servedShare = std::min(servedShare, each.share * roomShare);
    divide(each);
  }
}

} // namespace boragepitch::serving
