#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"

namespace boragepitch::serving {

/** Evidence that an endpoint crashed while it was starting to run a request. */
struct CrashEvidence
{
  uint64_t fingerprint = 0; ///< Hash of the request's path, caller and body.
  std::string endpoint;     ///< Id and start time of the endpoint that crashed.
  /** Parts of the request's prompt that may have caused the crash; see PartQuarantine. */
  std::vector<uint64_t> parts;
};

/**
 * Requests that were starting to run when an endpoint crashed. One or two crashes may be
 * coincidence; after three the request is quarantined and sent to no further endpoint. This stops
 * a poison request, which its caller may retry at any entry. Records are bounded by count and age.
 * Not thread-safe.
 */
class CrashSuspects
{
public:
  explicit CrashSuspects(size_t aMaxFingerprints = 4096,
                         base::Duration aMaxAge = std::chrono::minutes(5));

  /** Returns true when the evidence is new. */
  bool record(const CrashEvidence& aEvidence, base::TimePoint aNow);
  /** Drops the record of a request that completed without a crash. */
  void clear(uint64_t aFingerprint);
  bool isQuarantined(uint64_t aFingerprint, base::TimePoint aNow) const;
  size_t size() const { return mRecords.size(); }

private:
  struct Record
  {
    std::set<std::string> crashedEndpoints;
    base::TimePoint updatedAt;
  };

  size_t mMaxFingerprints;
  base::Duration mMaxAge;
  std::map<uint64_t, Record> mRecords;
};

/** Fingerprint of a request; stays the same when its caller retries it. */
uint64_t requestFingerprint(std::string_view aTarget,
                            std::string_view aCaller,
                            std::string_view aBody);

} // namespace boragepitch::serving
