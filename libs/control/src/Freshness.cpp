#include "Freshness.h"

#include <algorithm>
#include <vector>

namespace boragepitch::control {

namespace {

// Older evidence affects no decision; leaving it out keeps messages small.
constexpr base::Milliseconds kMaxReportedAge{ 60000 };
constexpr Json::ArrayIndex kMaxRegions = 64;

base::Milliseconds roundedUp(base::Duration aAge)
{
  return std::chrono::ceil<base::Milliseconds>(std::max(aAge, base::Duration::zero()));
}

std::optional<base::Milliseconds> age(base::TimePoint aAt, base::TimePoint aNow)
{
  if (aAt == base::TimePoint::min() || aNow - aAt > kMaxReportedAge) {
    return std::nullopt;
  }
  return roundedUp(aNow - aAt);
}

std::optional<base::Milliseconds> decodeAge(const Json::Value& aValue)
{
  if (!aValue.isInt64() || aValue.asInt64() < 0 || aValue.asInt64() > kMaxReportedAge.count()) {
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
  std::erase_if(mRegionContacts,
                [&](const auto& aContact) { return mRegions.count(aContact.first) == 0; });
}

void Freshness::recordContact(const std::string& aRegion, base::TimePoint aAt)
{
  if (mRegions.count(aRegion) == 0) {
    return;
  }
  auto [contact, inserted] = mRegionContacts.try_emplace(aRegion, aAt);
  contact->second = std::max(contact->second, aAt);
}

void Freshness::storeRead(base::TimePoint aSent)
{
  mStoreContact = std::max(mStoreContact, aSent);
  mIsValid = mIsValid || aSent >= mInvalidatedAt;
}

void Freshness::peerAnswered(const std::string& aRegion,
                             const EvidenceAges& aAges,
                             base::TimePoint aSent)
{
  recordContact(aRegion, aSent);
  for (const auto& [region, age] : aAges.regions) {
    recordContact(region, aSent - age);
  }
  if (aAges.store) {
    mStoreContact = std::max(mStoreContact, aSent - *aAges.store);
  }
  mIsValid = mIsValid || aSent >= mInvalidatedAt;
}

void Freshness::invalidate(base::TimePoint aNow)
{
  mInvalidatedAt = aNow;
  mIsValid = false;
}

EvidenceAges Freshness::ages(base::TimePoint aNow) const
{
  EvidenceAges ages;
  if (!mIsValid) {
    return ages;
  }
  ages.store = age(mStoreContact, aNow);
  for (const auto& [region, contact] : mRegionContacts) {
    if (auto contactAge = age(contact, aNow)) {
      ages.regions[region] = *contactAge;
    }
  }
  return ages;
}

bool Freshness::needsOtherRegions() const
{
  return mRegions.size() > 1;
}

base::TimePoint Freshness::majorityContact() const
{
  if (!needsOtherRegions()) {
    auto own = mRegionContacts.find(mRegion);
    return own == mRegionContacts.end() ? base::TimePoint::min() : own->second;
  }
  // This process counts for its own region; a majority needs contact with the others.
  std::vector<base::TimePoint> otherContacts;
  for (const auto& [region, contact] : mRegionContacts) {
    if (region != mRegion) {
      otherContacts.push_back(contact);
    }
  }
  size_t needed = mRegions.size() / 2;
  if (otherContacts.size() < needed) {
    return base::TimePoint::min();
  }
  std::sort(otherContacts.rbegin(), otherContacts.rend());
  return otherContacts[needed - 1];
}

base::TimePoint Freshness::freshUntil() const
{
  base::TimePoint newest = std::max(mStoreContact, majorityContact());
  if (!mIsValid || newest == base::TimePoint::min()) {
    return base::TimePoint::min();
  }
  return newest + mLimit;
}

} // namespace boragepitch::control
