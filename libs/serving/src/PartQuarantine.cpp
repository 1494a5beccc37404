#include "serving/PartQuarantine.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace boragepitch::serving {

namespace {

constexpr base::Milliseconds kPruneInterval{ 1000 };
/** Retracted quarantines that are remembered. */
constexpr size_t kMaxRetracted = 64;
/** Requests that are remembered of a failed endpoint. */
constexpr size_t kMaxRequestsOfFailure = 64;

/** Id of an endpoint without its start time; see Endpoint::crashKey(). */
std::string_view idOf(std::string_view aEndpoint)
{
  return aEndpoint.substr(0, aEndpoint.rfind('/'));
}

std::vector<PromptPart> sorted(std::span<const PromptPart> aParts)
{
  std::vector<PromptPart> parts(aParts.begin(), aParts.end());
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

/** Both sorted. */
bool containsAll(std::span<const PromptPart> aParts, std::span<const PromptPart> aContained)
{
  return std::includes(aParts.begin(), aParts.end(), aContained.begin(), aContained.end());
}

/** All sorted. */
std::vector<PromptPart> without(std::span<const PromptPart> aParts,
                                std::span<const PromptPart> aRemoved)
{
  std::vector<PromptPart> rest;
  std::set_difference(
    aParts.begin(), aParts.end(), aRemoved.begin(), aRemoved.end(), std::back_inserter(rest));
  return rest;
}

/** All sorted. */
std::vector<PromptPart> joined(std::span<const PromptPart> aLeft,
                               std::span<const PromptPart> aRight)
{
  std::vector<PromptPart> parts;
  std::set_union(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), std::back_inserter(parts));
  return parts;
}

} // namespace

bool PartQuarantine::Quarantine::stops(std::span<const PromptPart> aRequest) const
{
  return containsAll(aRequest, parts) &&
         (alternatives.empty() ||
          std::any_of(alternatives.begin(), alternatives.end(), [&](PromptPart aPart) {
            return std::binary_search(aRequest.begin(), aRequest.end(), aPart);
          }));
}

PartQuarantine::PartQuarantine(PartQuarantineOptions aOptions)
  : mOptions(aOptions)
{
}

std::vector<PromptPart> PartQuarantine::unproved(std::span<const PromptPart> aParts,
                                                 base::TimePoint aNow) const
{
  std::vector<PromptPart> parts;
  for (PromptPart part : aParts) {
    auto found = mRecords.find(part);
    if (found == mRecords.end() ||
        aNow - found->second.provedAt > base::Duration(mOptions.proofValidity)) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::vector<PromptPart> PartQuarantine::recordProof(std::span<const PromptPart> aParts,
                                                    base::TimePoint aBegunAt)
{
  std::vector<PromptPart> released;
  for (PromptPart part : aParts) {
    Record& record = recordOf(part, aBegunAt);
    record.provedAt = std::max(record.provedAt, aBegunAt);
    record.updatedAt = std::max(record.updatedAt, aBegunAt);
    bool isSuspect = !record.crashes.empty() && isConvicted(part, record, mOptions.crashes - 1);
    std::erase_if(record.crashes, [&](const Crash& aCrash) { return aCrash.at <= aBegunAt; });
    bool isCleared = isSuspect && record.crashes.empty();
    if (exculpate(part, aBegunAt) || isCleared) {
      released.push_back(part);
    }
  }
  return released;
}

bool PartQuarantine::exculpate(PromptPart aPart, base::TimePoint aBegunAt)
{
  bool isChanged = false;
  bool wasInForce = false;
  for (Quarantine& quarantine : mQuarantines) {
    if (aBegunAt < quarantine.since) {
      continue;
    }
    std::erase(quarantine.alternatives, aPart);
    if (std::erase(quarantine.parts, aPart) > 0) {
      isChanged = true;
      wasInForce = wasInForce || aBegunAt < quarantine.until;
    }
  }
  if (!isChanged) {
    return false;
  }
  std::vector<Quarantine> quarantines;
  std::swap(quarantines, mQuarantines);
  for (Quarantine& quarantine : quarantines) {
    // Without parts left, what the quarantine rested on was coincidence.
    if (!quarantine.parts.empty()) {
      add(std::move(quarantine));
    }
  }
  return wasInForce;
}

std::vector<PromptPart> PartQuarantine::recordCrash(const CrashEvidence& aEvidence,
                                                    base::TimePoint aNow)
{
  recordFailure(aEvidence, aNow);
  // The process that saw the crash may not know what this one has proved.
  auto suspects = sorted(unproved(aEvidence.parts, aNow));
  noteContradicted(aEvidence, suspects, aNow);
  if (suspects.empty()) {
    return {};
  }
  if (isQuarantined(suspects, aNow)) {
    return {}; // The request was underway; its other parts are no more suspect than before.
  }
  for (Quarantine& quarantine : mQuarantines) {
    if (!containsAll(suspects, quarantine.parts)) {
      continue;
    }
    if (aNow < quarantine.from) {
      return {}; // It begins soon, unless one of the parts is proved harmless.
    }
    if (!quarantine.alternatives.empty()) {
      return recordFurtherCrash(quarantine, aEvidence, suspects, aNow);
    }
    // Parts that were quarantined before and crash an endpoint again are suspected at once.
    renew(quarantine, aNow);
    quarantine.renewedBy = aEvidence.endpoint;
    return quarantine.parts;
  }
  auto convicted = convict(aEvidence, aNow);
  if (!convicted.empty()) {
    quarantineTogether(convicted, aNow);
  }
  return convicted;
}

void PartQuarantine::noteContradicted(const CrashEvidence& aEvidence,
                                      std::span<const PromptPart> aSuspects,
                                      base::TimePoint aNow)
{
  for (PromptPart part : without(sorted(aEvidence.parts), aSuspects)) {
    Record& record = mRecords[part];
    auto& told = record.contradicted;
    // The others weigh crashes before a proof that they were told of no more.
    if (aNow <= record.toldAt ||
        std::find(told.begin(), told.end(), aEvidence.endpoint) != told.end()) {
      continue;
    }
    told.push_back(aEvidence.endpoint);
    if (told.size() + 1 >= mOptions.crashes) {
      told.clear();
      mContradicted.push_back(part);
    }
  }
}

std::vector<PromptPart> PartQuarantine::takeContradicted(base::TimePoint aNow)
{
  auto parts = sorted(std::exchange(mContradicted, {}));
  for (PromptPart part : parts) {
    if (auto found = mRecords.find(part); found != mRecords.end()) {
      found->second.toldAt = aNow;
    }
  }
  return parts;
}

void PartQuarantine::recordToldProof(std::span<const PromptPart> aParts, base::TimePoint aNow)
{
  recordProof(aParts, aNow);
  for (PromptPart part : aParts) {
    if (auto found = mRecords.find(part); found != mRecords.end()) {
      found->second.toldAt = aNow;
      found->second.contradicted.clear();
    }
  }
}

void PartQuarantine::delayDoubtful(base::TimePoint aNow)
{
  for (Quarantine& quarantine : mQuarantines) {
    auto confirmedAt = quarantine.lastCrashAt + base::Duration(mOptions.confirmation);
    bool isNew = quarantine.count == 1 && quarantine.from < confirmedAt &&
                 aNow - quarantine.lastCrashAt <= base::Duration(mOptions.simultaneous);
    if (isNew && needsConfirmation(quarantine.parts)) {
      quarantine.from = confirmedAt;
    }
  }
}

std::vector<PromptPart> PartQuarantine::recordFurtherCrash(Quarantine& aQuarantine,
                                                           const CrashEvidence& aEvidence,
                                                           std::span<const PromptPart> aSuspects,
                                                           base::TimePoint aNow)
{
  auto others = without(aSuspects, aQuarantine.parts);
  if (aNow >= aQuarantine.until) {
    renew(aQuarantine, aNow);
    aQuarantine.renewedBy = aEvidence.endpoint;
  }
  aQuarantine.lastCrashAt = aNow;
  if (++aQuarantine.crashes >= mOptions.crashesIfUnclear || others.empty()) {
    aQuarantine.alternatives.clear();
  } else {
    aQuarantine.alternatives = joined(aQuarantine.alternatives, others);
  }
  auto quarantined = aQuarantine.parts;
  // If the others are the cause, their crashes count for them.
  auto convicted = convict({ aEvidence.fingerprint, aEvidence.endpoint, others }, aNow);
  if (!convicted.empty()) {
    quarantineTogether(convicted, aNow);
    quarantined = joined(quarantined, sorted(convicted));
  }
  return quarantined;
}

std::vector<PromptPart> PartQuarantine::alternativesTo(std::span<const PromptPart> aConvicted,
                                                       base::TimePoint aNow) const
{
  auto convicted = sorted(aConvicted);
  std::vector<PromptPart> all;
  for (PromptPart part : convicted) {
    auto found = mRecords.find(part);
    if (found == mRecords.end()) {
      continue; // Displaced by the other parts of a long prompt.
    }
    for (const Crash& crash : found->second.crashes) {
      auto others = without(sorted(*crash.suspects), convicted);
      std::erase_if(others, [&](PromptPart aPart) {
        return aNow - provedAt(aPart) <= base::Duration(mOptions.proofMemory);
      });
      // A part that was convicted before, with others, is under suspicion for longer.
      if (others.empty() || crash.isExplained) {
        return {};
      }
      all = joined(all, others);
    }
  }
  return all;
}

std::vector<PromptPart> PartQuarantine::retract(const CrashEvidence& aEvidence,
                                                base::TimePoint aNow)
{
  std::set<PromptPart> cleared;
  for (auto& [part, record] : mRecords) {
    auto erased = std::erase_if(record.crashes, [&](const Crash& aCrash) {
      return aCrash.endpoint == aEvidence.endpoint && aCrash.fingerprint == aEvidence.fingerprint;
    });
    if (erased > 0) {
      cleared.insert(part);
    }
  }
  std::vector<PromptPart> ended;
  std::erase_if(mQuarantines, [&](Quarantine& aQuarantine) {
    if (aNow >= aQuarantine.until) {
      return false;
    }
    if (aQuarantine.renewedBy == aEvidence.endpoint) {
      // The evidence of the quarantine before stands; that one had ended.
      aQuarantine.renewedBy.clear();
      aQuarantine.until = aNow;
      --aQuarantine.count;
      ended.insert(ended.end(), aQuarantine.parts.begin(), aQuarantine.parts.end());
      return false;
    }
    bool rests = std::any_of(aQuarantine.parts.begin(),
                             aQuarantine.parts.end(),
                             [&](PromptPart aPart) { return cleared.contains(aPart); });
    if (!rests || holds(aQuarantine)) {
      return false;
    }
    for (PromptPart part : aQuarantine.parts) {
      if (auto found = mRecords.find(part); found != mRecords.end()) {
        for (Crash& crash : found->second.crashes) {
          crash.isExplained = false;
        }
      }
    }
    if (mRetracted.size() >= kMaxRetracted) {
      mRetracted.erase(mRetracted.begin());
    }
    mRetracted.push_back({ aQuarantine.parts, aNow });
    ended.insert(ended.end(), aQuarantine.parts.begin(), aQuarantine.parts.end());
    return true;
  });
  return ended;
}

bool PartQuarantine::holds(const Quarantine& aQuarantine) const
{
  return std::any_of(aQuarantine.parts.begin(), aQuarantine.parts.end(), [&](PromptPart aPart) {
    auto found = mRecords.find(aPart);
    return found != mRecords.end() && isConvicted(aPart, found->second, mOptions.crashes, true);
  });
}

std::vector<PromptPart> PartQuarantine::convict(const CrashEvidence& aEvidence,
                                                base::TimePoint aNow)
{
  base::TimePoint earliestProof = base::TimePoint::max();
  for (PromptPart part : aEvidence.parts) {
    earliestProof = std::min(earliestProof, provedAt(part));
  }
  std::vector<PromptPart> convicted;
  std::vector<PromptPart> certain;
  bool isUnclear = false;
  auto suspects = std::make_shared<const std::vector<PromptPart>>(unproved(aEvidence.parts, aNow));
  for (PromptPart part : *suspects) {
    Record& record = recordOf(part, aNow);
    record.updatedAt = aNow;
    std::erase_if(record.crashes, [&](const Crash& aCrash) {
      return aNow - aCrash.at > base::Duration(mOptions.memory);
    });
    addCrash(record, { aEvidence.endpoint, aEvidence.fingerprint, aNow, false, suspects });
    // Requests with a crashing part prove neither it nor what it stands beside; sound ones prove
    // the latter only.
    bool isLessSuspect = record.provedAt > earliestProof &&
                         aNow - record.provedAt <= base::Duration(mOptions.proofMemory);
    size_t needed = isLessSuspect ? mOptions.crashesIfProved : mOptions.crashes;
    if (isConvicted(part, record, needed)) {
      convicted.push_back(part);
    } else if (needed == mOptions.crashes && isConvicted(part, record, mOptions.crashes - 1)) {
      isUnclear = true;
    }
    if (isConvicted(part, record, mOptions.crashesIfProved, true)) {
      certain.push_back(part);
    }
  }
  // If another part comes again, too, the convicted ones may just stand beside several such parts.
  if (isUnclear || !certain.empty()) {
    convicted = std::move(certain);
  }
  return convicted;
}

void PartQuarantine::addCrash(Record& aRecord, const Crash& aCrash) const
{
  auto isSameEndpoint = [&](const Crash& aOther) { return aOther.endpoint == aCrash.endpoint; };
  auto& crashes = aRecord.crashes;
  if (std::any_of(crashes.begin(), crashes.end(), [&](const Crash& aOther) {
        return isSameEndpoint(aOther) && aOther.fingerprint == aCrash.fingerprint;
      })) {
    return;
  }
  // Many requests may wait at one endpoint: they must leave room for crashes of others.
  bool hasEnough = std::count_if(crashes.begin(), crashes.end(), isSameEndpoint) >=
                   static_cast<ptrdiff_t>(mOptions.requests);
  if (hasEnough) {
    crashes.erase(std::find_if(crashes.begin(), crashes.end(), isSameEndpoint));
  } else if (crashes.size() >=
             2 * mOptions.requests * std::max(mOptions.crashes, mOptions.crashesIfProved)) {
    crashes.erase(crashes.begin());
  }
  crashes.push_back(aCrash);
}

void PartQuarantine::recordFailure(const CrashEvidence& aEvidence, base::TimePoint aNow)
{
  auto simultaneous = base::Duration(mOptions.simultaneous);
  auto memory = base::Duration(mOptions.instability) + 2 * simultaneous;
  while (!mFailures.empty() &&
         (mFailures.size() > mOptions.maxFailures || aNow - mFailures.front().to > memory)) {
    mFailures.pop_front();
  }
  auto found = std::find_if(mFailures.rbegin(), mFailures.rend(), [&](const Failure& aFailure) {
    return aFailure.endpoint == aEvidence.endpoint && aNow - aFailure.to <= simultaneous;
  });
  if (found == mFailures.rend()) {
    mFailures.push_back({ aEvidence.endpoint, aNow, aNow, {} });
    found = mFailures.rbegin();
  }
  found->to = std::max(found->to, aNow);
  auto parts = sorted(aEvidence.parts);
  bool isKnown =
    std::find(found->requests.begin(), found->requests.end(), parts) != found->requests.end();
  if (!isKnown && found->requests.size() < kMaxRequestsOfFailure) {
    found->requests.push_back(std::move(parts));
  }
  delayDoubtful(aNow);
}

std::optional<base::TimePoint> PartQuarantine::lastOtherFailure(std::string_view aEndpoint) const
{
  std::optional<base::TimePoint> last;
  for (const Failure& failure : mFailures) {
    if (failure.endpoint != aEndpoint) {
      last = std::max(last.value_or(failure.to), failure.to);
    }
  }
  return last;
}

bool PartQuarantine::canJudge(const CrashEvidence& aEvidence, base::TimePoint aNow) const
{
  if (aEvidence.isIsolated) {
    return true;
  }
  // Many endpoints that all failed under requests with the same part leave nothing to wait for.
  std::set<std::string_view> endpoints;
  auto common = sorted(aEvidence.parts);
  for (const Failure& failure : mFailures) {
    if (!isSimultaneous(failure, aNow)) {
      continue;
    }
    endpoints.insert(failure.endpoint);
    for (const auto& parts : failure.requests) {
      std::erase_if(common, [&](PromptPart aPart) {
        return !std::binary_search(parts.begin(), parts.end(), aPart);
      });
    }
  }
  return !common.empty() && endpoints.size() >= mOptions.crashesIfUnclear;
}

bool PartQuarantine::Failure::holds(PromptPart aPart) const
{
  return std::any_of(requests.begin(), requests.end(), [&](const auto& aParts) {
    return std::binary_search(aParts.begin(), aParts.end(), aPart);
  });
}

bool PartQuarantine::isSimultaneous(const Failure& aFailure, base::TimePoint aAt) const
{
  auto simultaneous = base::Duration(mOptions.simultaneous);
  return aFailure.from - simultaneous <= aAt && aAt <= aFailure.to + simultaneous;
}

bool PartQuarantine::holdsSuspect(std::span<const PromptPart> aParts) const
{
  return std::any_of(
    aParts.begin(), aParts.end(), [this](PromptPart aPart) { return isSuspected(aPart); });
}

bool PartQuarantine::hasCrashed(std::span<const PromptPart> aParts) const
{
  return std::any_of(aParts.begin(), aParts.end(), [this](PromptPart aPart) {
    auto found = mRecords.find(aPart);
    return found != mRecords.end() && !found->second.crashes.empty();
  });
}

bool PartQuarantine::isSuspected(PromptPart aPart) const
{
  auto found = mRecords.find(aPart);
  if (found == mRecords.end()) {
    return false;
  }
  std::set<std::string_view> endpoints;
  for (const Crash& crash : found->second.crashes) {
    endpoints.insert(crash.endpoint);
  }
  return endpoints.size() >= mOptions.crashes;
}

size_t PartQuarantine::unrelatedFailures(PromptPart aPart, const Crash& aCrash) const
{
  std::set<std::string_view> related;
  std::set<std::string_view> unrelated;
  for (const Failure& failure : mFailures) {
    if (!isSimultaneous(failure, aCrash.at)) {
      continue;
    }
    if (failure.holds(aPart)) {
      related.insert(failure.endpoint);
    } else if (std::none_of(failure.requests.begin(),
                            failure.requests.end(),
                            [this](const auto& aParts) { return holdsSuspect(aParts); })) {
      unrelated.insert(failure.endpoint);
    }
  }
  return static_cast<size_t>(
    std::count_if(unrelated.begin(), unrelated.end(), [&](std::string_view aEndpoint) {
      return !related.contains(aEndpoint);
    }));
}

bool PartQuarantine::isCoincident(PromptPart aPart, const Crash& aCrash) const
{
  if (unrelatedFailures(aPart, aCrash) >= mOptions.unrelatedFailures) {
    return true;
  }
  auto id = idOf(aCrash.endpoint);
  return std::any_of(mFailures.begin(), mFailures.end(), [&](const Failure& aFailure) {
    return idOf(aFailure.endpoint) == id && aFailure.to < aCrash.at &&
           aCrash.at - aFailure.to <= base::Duration(mOptions.instability) &&
           hasUnrelatedRequests(aFailure, aPart);
  });
}

bool PartQuarantine::isOneMoment(std::span<const Crash> aCrashes) const
{
  auto [first, last] = std::minmax_element(
    aCrashes.begin(), aCrashes.end(), [](const Crash& aLeft, const Crash& aRight) {
      return aLeft.at < aRight.at;
    });
  return aCrashes.empty() || last->at - first->at <= base::Duration(mOptions.simultaneous);
}

bool PartQuarantine::hasUnrelatedRequests(const Failure& aFailure, PromptPart aPart) const
{
  return std::any_of(aFailure.requests.begin(), aFailure.requests.end(), [&](const auto& aParts) {
    return !std::binary_search(aParts.begin(), aParts.end(), aPart) && !holdsSuspect(aParts);
  });
}

bool PartQuarantine::needsConfirmation(std::span<const PromptPart> aParts) const
{
  return std::all_of(aParts.begin(), aParts.end(), [&](PromptPart aPart) {
    auto found = mRecords.find(aPart);
    if (found == mRecords.end()) {
      return false;
    }
    const auto& crashes = found->second.crashes;
    bool isBrief = isOneMoment(crashes);
    return std::any_of(crashes.begin(), crashes.end(), [&](const Crash& aCrash) {
      return unrelatedFailures(aPart, aCrash) > 0 || isCoincident(aPart, aCrash) ||
             (isBrief && std::any_of(mFailures.begin(), mFailures.end(), [&](const auto& aFailure) {
                return isSimultaneous(aFailure, aCrash.at) && hasUnrelatedRequests(aFailure, aPart);
              }));
    });
  });
}

bool PartQuarantine::isConvicted(PromptPart aPart,
                                 const Record& aRecord,
                                 size_t aCrashes,
                                 bool aCountAll) const
{
  std::set<std::string_view> endpoints;
  std::set<std::string_view> certain; // Those of them whose crash nothing else explains.
  std::set<uint64_t> requests;
  for (const Crash& crash : aRecord.crashes) {
    if (crash.isExplained && !aCountAll) {
      continue;
    }
    endpoints.insert(crash.endpoint);
    requests.insert(crash.fingerprint);
  }
  std::set<std::string_view> ids;
  for (std::string_view endpoint : endpoints) {
    ids.insert(idOf(endpoint));
  }
  // An endpoint that restarts on its own crashes the same requests again.
  size_t needed = ids.size() < mOptions.crashes
                    ? aCrashes + mOptions.crashesIfUnclear - mOptions.crashes
                    : aCrashes;
  if (endpoints.size() < needed || requests.size() < std::min(aCrashes, mOptions.requests)) {
    return false;
  }
  for (const Crash& crash : aRecord.crashes) {
    if ((!crash.isExplained || aCountAll) && !isCoincident(aPart, crash)) {
      certain.insert(crash.endpoint);
    }
  }
  return endpoints.size() + certain.size() >= 2 * aCrashes;
}

void PartQuarantine::quarantineTogether(std::span<const PromptPart> aParts, base::TimePoint aNow)
{
  base::TimePoint since = aNow;
  auto alternatives = alternativesTo(aParts, aNow);
  size_t count = 0;
  for (PromptPart part : aParts) {
    auto& crashes = recordOf(part, aNow).crashes;
    if (!crashes.empty()) {
      since = std::min(since, crashes.front().at);
      count = std::max(count, crashes.size());
      for (Crash& crash : crashes) {
        crash.isExplained = true;
      }
    }
  }
  Quarantine quarantine{ sorted(aParts), since, aNow + base::Duration(mOptions.duration) };
  quarantine.alternatives = std::move(alternatives);
  quarantine.crashes = count;
  quarantine.lastCrashAt = aNow;
  if (needsConfirmation(aParts)) {
    quarantine.from = aNow + base::Duration(mOptions.confirmation);
  }
  add(std::move(quarantine));
}

void PartQuarantine::renew(Quarantine& aQuarantine, base::TimePoint aNow) const
{
  auto duration = mOptions.duration;
  for (uint32_t i = 0; i < aQuarantine.count && duration < mOptions.maxDuration; ++i) {
    duration *= 2;
  }
  ++aQuarantine.count;
  aQuarantine.since = aNow;
  aQuarantine.until = aNow + base::Duration(std::min(duration, mOptions.maxDuration));
}

void PartQuarantine::add(Quarantine aQuarantine)
{
  auto same = std::find_if(mQuarantines.begin(), mQuarantines.end(), [&](const auto& aOther) {
    return aOther.parts == aQuarantine.parts;
  });
  if (same != mQuarantines.end()) {
    same->since = std::min(same->since, aQuarantine.since);
    same->until = std::max(same->until, aQuarantine.until);
    same->from = std::min(same->from, aQuarantine.from);
    same->count = std::max(same->count, aQuarantine.count);
    bool isUnclear = !same->alternatives.empty() && !aQuarantine.alternatives.empty();
    same->alternatives =
      isUnclear ? joined(same->alternatives, aQuarantine.alternatives) : std::vector<PromptPart>();
    return;
  }
  if (mQuarantines.size() >= mOptions.maxQuarantines) {
    mQuarantines.erase(std::min_element(
      mQuarantines.begin(), mQuarantines.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.until < aRight.until;
      }));
  }
  mQuarantines.push_back(std::move(aQuarantine));
}

std::vector<PromptPart> PartQuarantine::adopt(const QuarantinedParts& aTold, base::TimePoint aNow)
{
  auto since = aNow - base::Duration(aTold.evidenceAge);
  std::vector<PromptPart> contradicted;
  Quarantine told{ sorted(aTold.parts),
                   since,
                   aNow + base::Duration(std::min(aTold.left, mOptions.maxDuration)) };
  bool isRetracted =
    std::any_of(mRetracted.begin(), mRetracted.end(), [&](const Retracted& aRetracted) {
      return aRetracted.parts == told.parts && since <= aRetracted.at;
    });
  if (isRetracted) {
    return contradicted;
  }
  std::erase_if(told.parts, [&](PromptPart aPart) {
    bool isProved = provedAt(aPart) > since;
    if (isProved) {
      contradicted.push_back(aPart);
    }
    return isProved;
  });
  if (told.parts.empty() || aNow >= told.until) {
    return contradicted;
  }
  if (isQuarantined(told.parts, aNow)) {
    return contradicted; // These requests are stopped already.
  }
  auto past = std::find_if(mQuarantines.begin(), mQuarantines.end(), [&](const auto& aOther) {
    return aOther.parts == told.parts;
  });
  if (past != mQuarantines.end()) {
    // Processes end the same quarantine at slightly different times.
    told.count = past->count + (since < past->until ? 0 : 1);
    told.trialUntil = past->trialUntil;
    mQuarantines.erase(past);
  }
  add(std::move(told));
  return contradicted;
}

bool PartQuarantine::mayAdmit(std::span<const PromptPart> aParts, base::TimePoint aNow) const
{
  if (mQuarantines.empty()) {
    return true;
  }
  auto request = sorted(aParts);
  return std::all_of(mQuarantines.begin(), mQuarantines.end(), [&](const auto& aQuarantine) {
    if (aNow < aQuarantine.from || !containsAll(request, aQuarantine.parts)) {
      return true;
    }
    auto trialsFrom = aQuarantine.stops(request) ? aQuarantine.until : aQuarantine.lastCrashAt;
    return aNow >= trialsFrom + mTrialDelay && aNow >= aQuarantine.trialUntil;
  });
}

bool PartQuarantine::admit(std::span<const PromptPart> aParts, base::TimePoint aNow)
{
  if (!mayAdmit(aParts, aNow)) {
    return false;
  }
  auto request = sorted(aParts);
  for (Quarantine& quarantine : mQuarantines) {
    if (aNow >= quarantine.from && containsAll(request, quarantine.parts)) {
      quarantine.trialUntil = aNow + base::Duration(mOptions.trialDuration);
    }
  }
  return true;
}

bool PartQuarantine::isQuarantined(std::span<const PromptPart> aParts, base::TimePoint aNow) const
{
  if (mQuarantines.empty()) {
    return false;
  }
  auto request = sorted(aParts);
  return std::any_of(mQuarantines.begin(), mQuarantines.end(), [&](const auto& aQuarantine) {
    return aNow >= aQuarantine.from && aNow < aQuarantine.until && aQuarantine.stops(request);
  });
}

std::vector<QuarantinedParts> PartQuarantine::quarantined(size_t aMaxParts, base::TimePoint aNow)
{
  std::vector<QuarantinedParts> list;
  size_t parts = 0;
  for (size_t i = 0; i < mQuarantines.size(); ++i, ++mNextTold) {
    mNextTold = mNextTold < mQuarantines.size() ? mNextTold : 0;
    const Quarantine& quarantine = mQuarantines[mNextTold];
    // Other processes draw their own conclusions from crashes that leave doubt.
    if (aNow < quarantine.from || aNow >= quarantine.until || !quarantine.alternatives.empty()) {
      continue;
    }
    if (!list.empty() && parts + quarantine.parts.size() > aMaxParts) {
      break;
    }
    parts += quarantine.parts.size();
    list.push_back({ quarantine.parts,
                     std::chrono::duration_cast<base::Milliseconds>(aNow - quarantine.since),
                     std::chrono::duration_cast<base::Milliseconds>(quarantine.until - aNow) });
  }
  return list;
}

base::TimePoint PartQuarantine::provedAt(PromptPart aPart) const
{
  auto found = mRecords.find(aPart);
  return found == mRecords.end() ? base::TimePoint() : found->second.provedAt;
}

PartQuarantine::Record& PartQuarantine::recordOf(PromptPart aPart, base::TimePoint aNow)
{
  auto found = mRecords.find(aPart);
  if (found != mRecords.end()) {
    return found->second;
  }
  if (mRecords.size() >= mOptions.maxParts || aNow - mPrunedAt > base::Duration(kPruneInterval)) {
    prune(aNow);
  }
  return mRecords[aPart];
}

void PartQuarantine::prune(base::TimePoint aNow)
{
  mPrunedAt = aNow;
  // The next quarantine of the same parts is to be longer.
  std::erase_if(mQuarantines, [&](const Quarantine& aQuarantine) {
    return aNow >= aQuarantine.until + base::Duration(mOptions.maxDuration);
  });
  std::erase_if(mRecords, [&](const auto& aEntry) {
    const Record& record = aEntry.second;
    auto memory = record.crashes.empty() ? mOptions.proofMemory : mOptions.memory;
    return aNow - record.updatedAt > base::Duration(memory);
  });
  if (mRecords.size() < mOptions.maxParts) {
    return;
  }
  // Drops the older half; crashes are rarer than proofs and are kept first.
  auto rank = [](const Record& aRecord) {
    return std::pair(!aRecord.crashes.empty(), aRecord.updatedAt);
  };
  std::vector<std::pair<bool, base::TimePoint>> ranks;
  for (const auto& [part, record] : mRecords) {
    ranks.push_back(rank(record));
  }
  auto middle = ranks.begin() + static_cast<ptrdiff_t>(ranks.size() / 2);
  std::nth_element(ranks.begin(), middle, ranks.end());
  std::erase_if(mRecords, [&](const auto& aEntry) { return rank(aEntry.second) <= *middle; });
}

} // namespace boragepitch::serving
