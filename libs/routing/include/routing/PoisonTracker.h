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
  Suspect, ///< In flight at one crash: must run alone.
  Poison,  ///< In flight at two crashes: must not run again.
};

/**
 * Tracks requests, by fingerprint, that were in flight when an engine crashed. Learns of crashes at
 * this node and of the suspects in other nodes' records. A suspect that completes without a crash
 * is cleared, and one that gets past the place of its crash is cleared once; the clearing is
 * published as a Suspect whose crash id is kClearedPrefix + the crash id. Bounded by count and age.
 * Not thread-safe.
 */
class PoisonTracker
{
public:
  static constexpr std::string_view kClearedPrefix = "cleared:";

  explicit PoisonTracker(size_t aMaxFingerprints = 1024,
                         size_t aMaxPublished = 32,
                         base::Duration aMaxAge = std::chrono::minutes(10));

  Suspicion suspicion(std::string_view aFingerprint) const;
  /** Records a crash at this node, to be published. */
  void recordCrash(const std::string& aFingerprint,
                   const std::string& aCrashId,
                   base::TimePoint aNow);
  /** Records a completed request; clears it when it was a suspect. True when published() changed.
   */
  bool recordCompletion(const std::string& aFingerprint, base::TimePoint aNow);
  /** Records that a request has got past the place at which it was in flight at a crash, and clears
   * it. A request whose suspicion was cleared before stays a suspect, so that one that crashes
   * engines at a different place each time is stopped as well. True when published() changed. */
  bool recordProgress(const std::string& aFingerprint, base::TimePoint aNow);
  /** Whether the request was cleared of this crash. */
  bool isCleared(std::string_view aFingerprint, const std::string& aCrashId) const;
  /** Records a suspect or clearing from another node's record. */
  void learn(const control::Suspect& aSuspect, base::TimePoint aNow);
  /** Suspects and clearings that this node publishes in NodeState::suspects, newest first. */
  std::vector<control::Suspect> published() const;
  /** Removes expired records. True when published() changed. */
  bool expire(base::TimePoint aNow);
  size_t size() const { return mRecords.size(); }

private:
  struct Record
  {
    std::set<std::string> crashes;
    std::set<std::string> cleared;
    base::TimePoint updatedAt;
  };
  struct Published
  {
    control::Suspect suspect;
    base::TimePoint publishedAt;
  };

  Record& touchRecord(const std::string& aFingerprint, base::TimePoint aNow);
  /** Clears a request that was in flight at one crash, and publishes that. */
  void clear(const std::string& aFingerprint, Record& aRecord, base::TimePoint aNow);
  void publish(control::Suspect aSuspect, base::TimePoint aNow);

  const size_t mMaxFingerprints;
  const size_t mMaxPublished;
  const base::Duration mMaxAge;
  std::map<std::string, Record, std::less<>> mRecords;
  std::vector<Published> mPublished;
};

} // namespace boragepitch::routing
