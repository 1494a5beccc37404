#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "NodeCodec.h"
#include "base/Time.h"
#include "control/NodeState.h"

namespace boragepitch::control {

inline constexpr size_t kBuckets = 32;
/** One hash per bucket of node records. */
using BucketDigest = std::array<uint32_t, kBuckets>;

/** Timeouts of the failure detector. */
struct DetectorSettings
{
  base::Duration suspicionTimeout = base::Milliseconds(3000);
  base::Duration deadRetention = base::Milliseconds(30000);
  base::Duration vmListGrace = base::Milliseconds(60000);
};

/**
 * The node records of all known processes and their failure detection state. Of two records of a
 * process, the one with the higher (incarnation, sequence, liveness) wins, so all processes
 * converge despite reordered, lost and duplicated messages.
 *
 * A suspected process becomes alive again with a higher sequence, which only the process itself
 * issues, or is declared dead after the suspicion timeout. A death reported by a peer counts only
 * as a suspicion, so that after a partition heals, processes that the other side declared dead have
 * time to refute it. No I/O; not thread-safe.
 */
class NodeMerge
{
public:
  NodeMerge(NodeState aSelf, DetectorSettings aSettings);

  const NodeTable& table() const { return mTable; }
  const NodeState& self() const { return mTable.at(mSelfId).state; }
  const NodeEntry* find(const std::string& aId) const;

  /** Replaces this process's record and increments its sequence; false if nothing differs. */
  bool publish(NodeState aSelf);
  /** Merges a record received from a peer; true if anything changed. */
  bool merge(const NodeState& aState, Liveness aLiveness, base::TimePoint aNow);
  /** Merges the liveness that a peer claims for a known record version; true if it changed. */
  bool mergeHead(const RecordHead& aHead, base::TimePoint aNow);
  /** True if aHead belongs to a newer record than the known one. */
  bool isNewer(const RecordHead& aHead) const;

  /** Suspects a process that answers neither direct nor indirect probes; true on a change. */
  bool reportUnreachable(const std::string& aId, base::TimePoint aNow);
  /** Declares expired suspects dead; removes old dead records and hosts off the VM list. */
  bool tick(base::TimePoint aNow);
  /** Restarts all timeouts, for use after a pause of this process. */
  void restartTimers(base::TimePoint aNow);
  /** Sets the current VM list. Hosts that were never listed are kept, because the list lags. */
  void setListedHosts(const std::set<std::string>& aHosts, base::TimePoint aNow);

  const BucketDigest& digest() const { return mDigest; }
  /** Hashes of the records in a bucket. */
  std::vector<uint32_t> bucketHashes(size_t aBucket) const;
  /** Heads of the records in a bucket whose hash is not in aHashes. */
  std::vector<RecordHead> headsMissingFrom(size_t aBucket, const std::set<uint32_t>& aHashes) const;
  /** Ids of the records with these hashes. */
  std::vector<std::string> idsWithHashes(const std::set<uint32_t>& aHashes) const;

private:
  struct Tracking
  {
    base::TimePoint since{}; ///< Time of the last version or liveness change.
    uint32_t hash = 0;
  };

  bool refute(uint64_t aIncarnation, uint64_t aSequence, Liveness aLiveness);
  bool setLiveness(NodeEntry& aEntry, Liveness aLiveness, base::TimePoint aNow);
  void rehash(const NodeEntry& aEntry);
  void erase(const std::string& aId);
  /** True if the host left the VM list at least the grace period ago. */
  bool isHostDelisted(const NodeState& aState, base::TimePoint aNow) const;

  DetectorSettings mSettings;
  std::string mSelfId;
  NodeTable mTable;
  std::map<std::string, Tracking> mTracking;
  BucketDigest mDigest{};
  std::set<std::string> mListedHosts;
  std::map<std::string, base::TimePoint> mDelistedHosts; ///< Time of leaving the VM list, by host.
};

size_t bucketOf(const std::string& aId);

} // namespace boragepitch::control
