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
/** One hash for each bucket of records. */
using BucketDigest = std::array<uint32_t, kBuckets>;

/** Times of the failure detector. */
struct DetectorSettings
{
  base::Duration suspicionTimeout = base::Milliseconds(3000);
  base::Duration deadRetention = base::Milliseconds(30000);
  base::Duration vmListGrace = base::Milliseconds(60000);
};

/**
 * The records of all known processes and the state of their failure detection. The order
 * (incarnation, sequence, liveness) alone decides between two records of a process, so all
 * processes converge under any reordering, loss and duplication of messages.
 *
 * A suspicion ends by a higher sequence, which only the process itself issues, or in death after
 * the suspicion timeout. A death that a peer reports is taken as a suspicion first: after a
 * partition heals, processes that the other side declared dead have time to refute. Pure; not
 * thread-safe.
 */
class NodeMerge
{
public:
  NodeMerge(NodeState aSelf, DetectorSettings aSettings);

  const NodeTable& table() const { return mTable; }
  const NodeState& self() const { return mTable.at(mSelfId).state; }
  const NodeEntry* find(const std::string& aId) const;

  /** Replaces this process's record with the next sequence. False when nothing differs. */
  bool publish(NodeState aSelf);
  /** Takes in a record; true when anything changed. */
  bool merge(const NodeState& aState, Liveness aLiveness, base::TimePoint aNow);
  /** Takes in what a peer says about a record of the same version; true when anything changed. */
  bool mergeHead(const RecordHead& aHead, base::TimePoint aNow);
  /** True when aHead is of a newer record than the one known. */
  bool isNewer(const RecordHead& aHead) const;

  /** A process answers neither this one nor others. True when anything changed. */
  bool reportUnreachable(const std::string& aId, base::TimePoint aNow);
  /** Ends suspicions and forgets the dead and those long gone from the VM list. */
  bool tick(base::TimePoint aNow);
  /** After a pause of this process, gives every suspect the whole timeout again. */
  void restartTimers(base::TimePoint aNow);
  /** Hosts on the VM list now. A host that was never on it is not judged: the list lags. */
  void listHosts(const std::set<std::string>& aHosts, base::TimePoint aNow);

  const BucketDigest& digest() const { return mDigest; }
  /** Hashes of the records of a bucket. */
  std::vector<uint32_t> bucketHashes(size_t aBucket) const;
  /** Records of a bucket whose hash is not in aHashes. */
  std::vector<RecordHead> headsMissingFrom(size_t aBucket, const std::set<uint32_t>& aHashes) const;
  /** Ids of the records of a bucket with these hashes. */
  std::vector<std::string> idsWithHashes(const std::set<uint32_t>& aHashes) const;

private:
  struct Tracking
  {
    base::TimePoint since{}; ///< When the present liveness began.
    uint32_t hash = 0;
  };

  bool refute(uint64_t aIncarnation, uint64_t aSequence, Liveness aLiveness);
  bool setLiveness(NodeEntry& aEntry, Liveness aLiveness, base::TimePoint aNow);
  void rehash(const NodeEntry& aEntry);
  void erase(const std::string& aId);
  /** True when the host left the VM list longer ago than the grace period. */
  bool isHostGone(const NodeState& aState, base::TimePoint aNow) const;

  DetectorSettings mSettings;
  std::string mSelfId;
  NodeTable mTable;
  std::map<std::string, Tracking> mTracking;
  BucketDigest mDigest{};
  std::set<std::string> mListedHosts;
  std::map<std::string, base::TimePoint> mGoneHosts; ///< Hosts that left the VM list, since when.
};

size_t bucketOf(const std::string& aId);

} // namespace boragepitch::control
