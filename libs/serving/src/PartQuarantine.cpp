#include "serving/PartQuarantine.h"

#include <algorithm>
#include <set>

namespace boragepitch::serving {

namespace {
constexpr base::Milliseconds kPruneInterval{ 1000 };
} // namespace

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

void PartQuarantine::recordProof(std::span<const PromptPart> aParts, base::TimePoint aBegunAt)
{
  for (PromptPart part : aParts) {
    Record& record = recordOf(part, aBegunAt);
    record.provedAt = std::max(record.provedAt, aBegunAt);
    record.updatedAt = std::max(record.updatedAt, aBegunAt);
    std::erase_if(record.crashes, [&](const Crash& aCrash) { return aCrash.at <= aBegunAt; });
    if (aBegunAt >= record.suspectedSince) {
      record.quarantinedUntil = {};
      record.quarantines = 0; // What the quarantine rested on was coincidence.
    }
  }
}

std::vector<PromptPart> PartQuarantine::recordCrash(const CrashEvidence& aEvidence,
                                                    base::TimePoint aNow)
{
  base::TimePoint earliestProof = base::TimePoint::max();
  for (PromptPart part : aEvidence.parts) {
    auto found = mRecords.find(part);
    earliestProof =
      std::min(earliestProof, found == mRecords.end() ? base::TimePoint() : found->second.provedAt);
  }
  std::vector<PromptPart> convicted;
  // The process that saw the crash may not know what this one has proved.
  for (PromptPart part : unproved(aEvidence.parts, aNow)) {
    Record& record = recordOf(part, aNow);
    record.updatedAt = aNow;
    std::erase_if(record.crashes, [&](const Crash& aCrash) {
      return aNow - aCrash.at > base::Duration(mOptions.memory);
    });
    addCrash(record, { aEvidence.endpoint, aEvidence.fingerprint, aNow });
    // Requests with a crashing part prove neither it nor what it stands beside; sound ones prove
    // the latter only.
    bool isLessSuspect = record.provedAt > earliestProof &&
                         aNow - record.provedAt <= base::Duration(mOptions.proofMemory);
    size_t needed = isLessSuspect ? mOptions.crashesIfProved : mOptions.crashes;
    if (aNow >= record.quarantinedUntil && isConvicted(record, needed)) {
      quarantine(record, record.crashes.front().at, aNow);
      convicted.push_back(part);
    }
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
             mOptions.requests * std::max(mOptions.crashes, mOptions.crashesIfProved)) {
    crashes.erase(crashes.begin());
  }
  crashes.push_back(aCrash);
}

bool PartQuarantine::isConvicted(const Record& aRecord, size_t aCrashes) const
{
  std::set<std::string_view> endpoints;
  std::set<uint64_t> requests;
  for (const Crash& crash : aRecord.crashes) {
    endpoints.insert(crash.endpoint);
    requests.insert(crash.fingerprint);
  }
  // A part that was quarantined before and crashes an endpoint again is suspected at once.
  size_t needed = aRecord.quarantines > 0 ? 1 : aCrashes;
  return endpoints.size() >= needed && requests.size() >= std::min(needed, mOptions.requests);
}

void PartQuarantine::quarantine(Record& aRecord, base::TimePoint aSince, base::TimePoint aNow) const
{
  auto duration = mOptions.duration;
  for (uint32_t i = 0; i < aRecord.quarantines && duration < mOptions.maxDuration; ++i) {
    duration *= 2;
  }
  ++aRecord.quarantines;
  aRecord.suspectedSince = aSince;
  aRecord.quarantinedUntil = aNow + base::Duration(std::min(duration, mOptions.maxDuration));
  aRecord.crashes.clear();
}

bool PartQuarantine::adopt(const QuarantinedPart& aPart, base::TimePoint aNow)
{
  auto since = aNow - base::Duration(aPart.evidenceAge);
  Record& record = recordOf(aPart.part, aNow);
  if (record.provedAt > since) {
    return false;
  }
  auto left = std::min(aPart.left, mOptions.maxDuration);
  if (aNow >= record.quarantinedUntil && left.count() > 0) {
    ++record.quarantines;
    record.suspectedSince = since;
    record.updatedAt = aNow;
    record.quarantinedUntil = aNow + base::Duration(left);
    record.crashes.clear();
  }
  return true;
}

bool PartQuarantine::isQuarantined(std::span<const PromptPart> aParts, base::TimePoint aNow) const
{
  return std::any_of(aParts.begin(), aParts.end(), [&](PromptPart aPart) {
    auto found = mRecords.find(aPart);
    return found != mRecords.end() && aNow < found->second.quarantinedUntil;
  });
}

std::vector<QuarantinedPart> PartQuarantine::quarantined(size_t aLimit, base::TimePoint aNow)
{
  std::vector<QuarantinedPart> parts;
  auto next = mRecords.upper_bound(mListedLast);
  for (size_t i = 0; i < mRecords.size() && parts.size() < aLimit; ++i, ++next) {
    next = next == mRecords.end() ? mRecords.begin() : next;
    const auto& [part, record] = *next;
    if (aNow < record.quarantinedUntil) {
      mListedLast = part;
      parts.push_back(
        { part,
          std::chrono::duration_cast<base::Milliseconds>(aNow - record.suspectedSince),
          std::chrono::duration_cast<base::Milliseconds>(record.quarantinedUntil - aNow) });
    }
  }
  return parts;
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

bool PartQuarantine::isObsolete(const Record& aRecord, base::TimePoint aNow) const
{
  if (aRecord.quarantines > 0) {
    // The next quarantine of the part is to be longer.
    return aNow >= aRecord.quarantinedUntil + base::Duration(mOptions.maxDuration);
  }
  auto memory = aRecord.crashes.empty() ? mOptions.proofMemory : mOptions.memory;
  return aNow - aRecord.updatedAt > base::Duration(memory);
}

void PartQuarantine::prune(base::TimePoint aNow)
{
  mPrunedAt = aNow;
  std::erase_if(mRecords, [&](const auto& aEntry) { return isObsolete(aEntry.second, aNow); });
  if (mRecords.size() < mOptions.maxParts) {
    return;
  }
  // Drops the older half, but parts in quarantine last.
  auto ageKey = [](const Record& aRecord) {
    return std::pair(aRecord.quarantinedUntil, aRecord.updatedAt);
  };
  std::vector<std::pair<base::TimePoint, base::TimePoint>> keys;
  for (const auto& [part, record] : mRecords) {
    keys.push_back(ageKey(record));
  }
  auto middle = keys.begin() + static_cast<ptrdiff_t>(keys.size() / 2);
  std::nth_element(keys.begin(), middle, keys.end());
  std::erase_if(mRecords, [&](const auto& aEntry) { return ageKey(aEntry.second) <= *middle; });
}

} // namespace boragepitch::serving
