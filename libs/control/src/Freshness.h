#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include <json/value.h>

#include "base/Error.h"
#include "base/Time.h"

namespace boragepitch::control {

/** Ages of a process's evidence of contact, as sent in messages. */
struct EvidenceAges
{
  std::optional<base::Milliseconds> store;           ///< Since rev was read from the store.
  std::map<std::string, base::Milliseconds> regions; ///< Since a region was heard.
};

Json::Value encodeAges(const EvidenceAges& aAges);
base::Result<EvidenceAges> decodeAges(const Json::Value& aValue);

/**
 * How old this process's evidence of contact is (docs/design.md, section 6.4). Evidence is dated
 * from before the request that obtained it, so relaying and delays only make it older. Evidence is
 * taken from answers alone: the delay of a request that arrives cannot be bounded by the receiver's
 * clock. Pure; not thread-safe.
 */
class Freshness
{
public:
  Freshness(std::string aRegion, base::Duration aIsolationLimit);

  /** The regions of the fleet; regions that are only unreachable must stay among them. */
  void setRegions(std::set<std::string> aRegions);

  /** rev was read by a request sent at aSent, and the configuration of that revision is known. */
  void storeRead(base::TimePoint aSent);
  /** A peer in aRegion answered a request sent at aSent, with its own ages. */
  void peerAnswered(const std::string& aRegion, const EvidenceAges& aAges, base::TimePoint aSent);
  /** Treats everything known before aNow as stale until a request sent after it is answered. */
  void distrust(base::TimePoint aNow);

  /** Ages at aNow, rounded up. */
  EvidenceAges ages(base::TimePoint aNow) const;
  /** When the process must stop starting new work; in the past when it must not start any. */
  base::TimePoint freshUntil() const;
  bool isFresh(base::TimePoint aNow) const { return aNow < freshUntil(); }
  /** True when other regions must be heard for a majority. */
  bool needsOtherRegions() const;

private:
  base::TimePoint majorityHeard() const;
  void hear(const std::string& aRegion, base::TimePoint aAt);

  std::string mRegion;
  base::Duration mLimit;
  std::set<std::string> mRegions;
  base::TimePoint mStore = base::TimePoint::min();
  std::map<std::string, base::TimePoint> mHeard; ///< By region; bounded by the known regions.
  base::TimePoint mDistrusted = base::TimePoint::min();
  bool mTrusted = true;
};

} // namespace boragepitch::control
