#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/Time.h"

namespace boragepitch::serving {

/** An endpoint crashed while it began to run a request. */
struct CrashEvidence
{
  uint64_t fingerprint = 0; ///< Of the request: path, caller and body.
  std::string endpoint;     ///< Lifetime of the endpoint that crashed.
};

/**
 * Requests that were beginning to run when an endpoint crashed. One or two may be chance; a request
 * that met three is quarantined and reaches no further endpoint. Answers a poison request, whose
 * caller sends it again at any entry. Bounded by count and age. Not thread-safe.
 */
class CrashSuspects
{
public:
  explicit CrashSuspects(size_t aMaxFingerprints = 4096,
                         base::Duration aMaxAge = std::chrono::minutes(5));

  /** True when the evidence is new. */
  bool record(const CrashEvidence& aEvidence, base::TimePoint aNow);
  /** The request ran to an end without a crash. */
  void clear(uint64_t aFingerprint);
  bool isQuarantined(uint64_t aFingerprint, base::TimePoint aNow) const;
  size_t size() const { return mRecords.size(); }

private:
  struct Record
  {
    std::set<std::string> crashes;
    base::TimePoint touched;
  };

  size_t mMaxFingerprints;
  base::Duration mMaxAge;
  std::map<uint64_t, Record> mRecords;
};

/** Fingerprint of a request: the same for each repetition by its caller. */
uint64_t requestFingerprint(std::string_view aTarget,
                            std::string_view aCaller,
                            std::string_view aBody);

} // namespace boragepitch::serving
