#include "Freshness.h"

#include <algorithm>
#include <vector>

namespace boragepitch::control {

namespace {

// Older evidence is too old to matter; leaving it out keeps messages small.
constexpr base::Milliseconds kOldestSent{ 60000 };
constexpr Json::ArrayIndex kMaxRegions = 64;

base::Milliseconds roundedUp(base::Duration aAge)
{
  return std::chrono::ceil<base::Milliseconds>(std::max(aAge, base::Duration::zero()));
}

std::optional<base::Milliseconds> age(base::TimePoint aAt, base::TimePoint aNow)
{
  if (aAt == base::TimePoint::min() || aNow - aAt > kOldestSent) {
    return std::nullopt;
  }
  return roundedUp(aNow - aAt);
}

std::optional<base::Milliseconds> decodeAge(const Json::Value& aValue)
{
  if (!aValue.isInt64() || aValue.asInt64() < 0 || aValue.asInt64() > kOldestSent.count()) {
    return std::nullopt;
  }
  return base::Milliseconds(aValue.asInt64());
}

tl::unexpected<base::Error> malformed()
{
  return base::fail(base::ErrorKind::Invalid,
                    "evidence",
                    "malformed ages of evidence",
                    "run the same version in all processes");
}

} // namespace

Json::Value encodeAges(const EvidenceAges& aAges)
{
  Json::Value value(Json::objectValue);
  if (aAges.store) {
    value["store"] = Json::Int64(aAges.store->count());
  }
  for (const auto& [region, age] : aAges.regions) {
    value["regions"][region] = Json::Int64(age.count());
  }
  return value;
}

base::Result<EvidenceAges> decodeAges(const Json::Value& aValue)
{
  EvidenceAges ages;
  if (!aValue.isObject()) {
    return malformed();
  }
  if (aValue.isMember("store")) {
    ages.store = decodeAge(aValue["store"]);
    if (!ages.store) {
      return malformed();
    }
  }
  const Json::Value& regions = aValue["regions"];
  if (regions.isNull()) {
    return ages;
  }
  if (!regions.isObject() || regions.size() > kMaxRegions) {
    return malformed();
  }
  for (const std::string& region : regions.getMemberNames()) {
    auto age = decodeAge(regions[region]);
    if (!age) {
      return malformed();
    }
    ages.regions[region] = *age;
  }
  return ages;
}

Freshness::Freshness(std::string aRegion, base::Duration aIsolationLimit)
  : mRegion(std::move(aRegion))
  , mLimit(aIsolationLimit)
  , mRegions{ mRegion }
{
}

void Freshness::setRegions(std::set<std::string> aRegions)
{
  mRegions = std::move(aRegions);
  mRegions.insert(mRegion);
  std::erase_if(mHeard, [&](const auto& aHeard) { return mRegions.count(aHeard.first) == 0; });
}

void Freshness::hear(const std::string& aRegion, base::TimePoint aAt)
{
  if (mRegions.count(aRegion) == 0) {
    return;
  }
  auto [heard, inserted] = mHeard.try_emplace(aRegion, aAt);
  heard->second = std::max(heard->second, aAt);
}

void Freshness::storeRead(base::TimePoint aSent)
{
  mStore = std::max(mStore, aSent);
  mTrusted = mTrusted || aSent >= mDistrusted;
}

void Freshness::peerAnswered(const std::string& aRegion,
                             const EvidenceAges& aAges,
                             base::TimePoint aSent)
{
  hear(aRegion, aSent);
  for (const auto& [region, age] : aAges.regions) {
    hear(region, aSent - age);
  }
  if (aAges.store) {
    mStore = std::max(mStore, aSent - *aAges.store);
  }
  mTrusted = mTrusted || aSent >= mDistrusted;
}

void Freshness::distrust(base::TimePoint aNow)
{
  mDistrusted = aNow;
  mTrusted = false;
}

EvidenceAges Freshness::ages(base::TimePoint aNow) const
{
  EvidenceAges ages;
  if (!mTrusted) {
    return ages;
  }
  ages.store = age(mStore, aNow);
  for (const auto& [region, heard] : mHeard) {
    if (auto since = age(heard, aNow)) {
      ages.regions[region] = *since;
    }
  }
  return ages;
}

bool Freshness::needsOtherRegions() const
{
  return mRegions.size() > 1;
}

base::TimePoint Freshness::majorityHeard() const
{
  if (!needsOtherRegions()) {
    auto own = mHeard.find(mRegion);
    return own == mHeard.end() ? base::TimePoint::min() : own->second;
  }
  // This process counts for its own region; a majority needs contact with the others.
  std::vector<base::TimePoint> others;
  for (const auto& [region, heard] : mHeard) {
    if (region != mRegion) {
      others.push_back(heard);
    }
  }
  size_t needed = mRegions.size() / 2;
  if (others.size() < needed) {
    return base::TimePoint::min();
  }
  std::sort(others.rbegin(), others.rend());
  return others[needed - 1];
}

base::TimePoint Freshness::freshUntil() const
{
  base::TimePoint newest = std::max(mStore, majorityHeard());
  if (!mTrusted || newest == base::TimePoint::min()) {
    return base::TimePoint::min();
  }
  return newest + mLimit;
}

} // namespace boragepitch::control
