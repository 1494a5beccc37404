#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include <json/value.h>

#include "base/Error.h"
#include "base/Time.h"

namespace boragepitch::control {

/** Ages of a process's evidence of contact, as sent to peers. */
struct EvidenceAges
{
  std::optional<base::Milliseconds> store;           ///< Time since rev was read from the store.
  std::map<std::string, base::Milliseconds> regions; ///< Time since contact with each region.
};

Json::Value encodeAges(const EvidenceAges& aAges);
base::Result<EvidenceAges> decodeAges(const Json::Value& aValue);

/**
 * Tracks the age of this process's evidence of contact with the store and with other regions
 * (docs/design.md, section 6.4). Evidence carries the time at which its request was sent, so
 * relaying and delays can only make it look older. Only answers count as evidence: the receiver of
 * a request cannot tell how long the request was delayed. No I/O; not thread-safe.
 */
class Freshness
{
public:
  Freshness(std::string aRegion, base::Duration aIsolationLimit);

  /** Sets the regions of the fleet. Regions that are merely unreachable must be included. */
  void setRegions(std::set<std::string> aRegions);

  /** The store answered a read of rev sent at aSent, and that revision is known here. */
  void storeRead(base::TimePoint aSent);
  /** A peer in aRegion answered a request sent at aSent and reported its own ages. */
  void peerAnswered(const std::string& aRegion, const EvidenceAges& aAges, base::TimePoint aSent);
  /** Treats all evidence as stale until a request sent at or after aNow is answered. */
  void invalidate(base::TimePoint aNow);

  /** Ages at aNow, rounded up to milliseconds. */
  EvidenceAges ages(base::TimePoint aNow) const;
  /** Time at which this process must stop starting new work; in the past if it already must. */
  base::TimePoint freshUntil() const;
  bool isFresh(base::TimePoint aNow) const { return aNow < freshUntil(); }
  /** True if a majority of regions needs contact with other regions. */
  bool needsOtherRegions() const;

private:
  base::TimePoint majorityContact() const;
  void recordContact(const std::string& aRegion, base::TimePoint aAt);

  std::string mRegion;
  base::Duration mLimit;
  std::set<std::string> mRegions;
  base::TimePoint mStoreContact = base::TimePoint::min();
  std::map<std::string, base::TimePoint> mRegionContacts; ///< Last contact with each known region.
  base::TimePoint mInvalidatedAt = base::TimePoint::min();
  bool mIsValid = true;
};

} // namespace boragepitch::control
