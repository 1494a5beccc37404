#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"
#include "control/NodeState.h"

namespace boragepitch::routing {

enum class Suspicion
{
  None,
  Suspect, ///< Was in flight at one crash: run it alone.
  Poison,  ///< Was in flight at two crashes: never run it again.
};

/**
 * Requests, by fingerprint, that were in flight when an engine crashed. Fed with own crashes and
 * with the suspects of other nodes' records. A suspect that completes without a crash is cleared;
 * the clearing travels as a Suspect whose crash id is kClearedPrefix + the crash id. Bounded by
 * count and age. Not thread-safe.
 */
class PoisonTracker
{
public:
  static constexpr std::string_view kClearedPrefix = "cleared:";

  explicit PoisonTracker(size_t aMaxFingerprints = 1024,
                         size_t aMaxPublished = 32,
                         base::Duration aMaxAge = std::chrono::minutes(10));

  Suspicion suspicion(std::string_view aFingerprint) const;
  /** A crash seen here, to be published. */
  void recordCrash(const std::string& aFingerprint,
                   const std::string& aCrashId,
                   base::TimePoint aNow);
  /** A request completed; clears it when it was a suspect. True when there is news to publish. */
  bool recordCompletion(const std::string& aFingerprint, base::TimePoint aNow);
  /** A suspect or clearing from another node's record. */
  void learn(const control::Suspect& aSuspect, base::TimePoint aNow);
  /** What this node publishes in NodeState::suspects, newest first. */
  std::vector<control::Suspect> published() const;
  /** Forgets what is too old. True when published() changed. */
  bool expire(base::TimePoint aNow);
  size_t size() const { return mRecords.size(); }

private:
  struct Record
  {
    std::set<std::string> crashes;
    std::set<std::string> cleared;
    base::TimePoint touched;
  };
  struct Published
  {
    control::Suspect suspect;
    base::TimePoint since;
  };

  Record& record(const std::string& aFingerprint, base::TimePoint aNow);
  void publish(control::Suspect aSuspect, base::TimePoint aNow);

  const size_t mMaxFingerprints;
  const size_t mMaxPublished;
  const base::Duration mMaxAge;
  std::map<std::string, Record, std::less<>> mRecords;
  std::vector<Published> mPublished;
};

} // namespace boragepitch::routing
