#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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
  /** The request was sent when its entry knew of no other endpoint that failed at that time or
   * later, so its crash is no part of a common failure. */
  bool isIsolated = false;
};

/** A request in quarantine, as processes tell each other. */
struct QuarantinedRequest
{
  uint64_t fingerprint = 0;
  base::Milliseconds evidenceAge{ 0 }; ///< Time since the last crash that counted.
};

/**
 * Requests that were starting to run when an endpoint crashed. One or two crashes may be
 * coincidence; after three the request is quarantined and sent to no further endpoint. This stops
 * a poison request, which its caller may retry at any entry. Processes that have not seen the
 * crashes adopt the quarantine of others. Records are bounded by count and age. Not thread-safe.
 */
class CrashSuspects
{
public:
  explicit CrashSuspects(size_t aMaxFingerprints = 4096,
                         base::Duration aMaxAge = std::chrono::minutes(5));

  /** Returns true when the evidence is new. */
  bool record(const CrashEvidence& aEvidence, base::TimePoint aNow);
  /** Records that a request completed without a crash: earlier crashes no longer count.
   * @return true if there were any, so that other processes may count them, too. */
  bool recordCompletion(uint64_t aFingerprint, base::TimePoint aNow);
  /** Withdraws evidence of an endpoint that did not crash. A quarantine that rests on it ends. */
  void retract(const CrashEvidence& aEvidence, base::TimePoint aNow);
  /** Takes over the quarantine of another process, unless the request has completed here since.
   * Returns true when the request was not in quarantine before. */
  bool adopt(const QuarantinedRequest& aTold, base::TimePoint aNow);
  /** At most aMaxRequests requests in quarantine; further calls continue with the others, so that
   * each is told. */
  std::vector<QuarantinedRequest> quarantined(size_t aMaxRequests, base::TimePoint aNow);
  bool isQuarantined(uint64_t aFingerprint, base::TimePoint aNow) const;
  /** Whether an endpoint crashed while it began the request, and the request has not completed
   * since. */
  bool isSuspected(uint64_t aFingerprint, base::TimePoint aNow) const;
  size_t size() const { return mRecords.size(); }

private:
  struct Record
  {
    std::set<std::string> crashedEndpoints;
    bool isAdopted = false; ///< Another process holds the request in quarantine.
    base::TimePoint updatedAt;
    std::optional<base::TimePoint> clearedAt; ///< Older evidence of others does not count.
  };

  Record& recordOf(uint64_t aFingerprint, base::TimePoint aNow);
  bool isQuarantined(const Record& aRecord, base::TimePoint aNow) const;

  size_t mMaxFingerprints;
  base::Duration mMaxAge;
  std::map<uint64_t, Record> mRecords;
  uint64_t mNextTold = 0; ///< Fingerprint from which quarantined() continues.
};

/** Fingerprint of a request; stays the same when its caller retries it. */
uint64_t requestFingerprint(std::string_view aTarget,
                            std::string_view aCaller,
                            std::string_view aBody);

} // namespace boragepitch::serving
