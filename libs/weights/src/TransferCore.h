#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "PeerBook.h"
#include "weights/Distributor.h"

namespace boragepitch::weights {

/** How a request for a chunk ended. */
enum class FetchOutcome
{
  Stored,     ///< Verified and written to the host.
  Corrupt,    ///< The bytes do not match the digest.
  Busy,       ///< The peer refused the request temporarily.
  Missing,    ///< The peer does not hold the chunk.
  Failed,     ///< The connection broke or stalled, or the origin did not deliver.
  HostFailed, ///< The bytes are right but the host did not take them.
  Cancelled,  ///< The manifest is no longer wanted.
};

/** A chunk request to carry out. */
struct Assignment
{
  std::shared_ptr<const Manifest> manifest;
  uint64_t generation = 0;
  std::string originName;
  Choice choice;
  bool crossRegion = false;
  uint32_t missing = 0; ///< Chunks that this VM lacks.
};

/** One manifest that this VM fetches or holds. */
struct Task
{
  TransferRequest wanted;
  bool isWanted = true; ///< False for a complete manifest that is kept for a rollback.
  std::shared_ptr<const Manifest> manifest;
  TransferState state = TransferState::NeedsManifest;
  uint64_t generation = 0; ///< Changes with each restart; results of older requests are dropped.
  uint64_t version = 1;    ///< Incremented with each change of `own`.
  Bitmap own;
  Bitmap inFlight;
  Members members;
  std::vector<PeerView> peers;
  std::set<std::string> answered; ///< Polled peers that reported their bitmap or failed to.
  uint32_t originMismatches = 0;
  bool originFailed = false;
  base::TimePoint created;
  base::TimePoint started;
  base::TimePoint lastProgress;
  base::TimePoint retryAt; ///< Earliest time of the next attempt to prepare.
  base::Backoff prepareBackoff{ base::Milliseconds(100), base::Milliseconds(5000) };
  uint64_t fromOrigin = 0;
  uint64_t fromPeers = 0;
  uint64_t fromOtherRegions = 0;
  std::optional<base::Error> error;

  bool isFetching() const
  {
    return isWanted && (state == TransferState::Fetching || state == TransferState::OriginChanged);
  }
};

/**
 * State of all manifests of one VM and the decisions about them. No I/O, not thread-safe; time and
 * randomness are arguments.
 */
class TransferCore
{
public:
  TransferCore(const DistributorOptions& aOptions, LocalVm aLocalVm);

  /** Replaces the wanted set. Returns the manifests to release from the host. */
  std::vector<ManifestId> setWanted(std::vector<TransferRequest> aWanted,
                                    base::TimePoint aNow,
                                    base::Rng& aRng);
  /** Drops the complete manifest that is no longer wanted and was added first. */
  std::optional<ManifestId> evictUnwanted();
  /** The host may have lost its content: all wanted manifests must be prepared again, others are
   * dropped. */
  void invalidateHost(base::TimePoint aNow);

  void setManifest(const ManifestId& aId, std::shared_ptr<const Manifest> aManifest);
  /** Ends preparation. aOwn: the chunks that the host already holds, verified. */
  void beginFetching(const ManifestId& aId,
                     uint64_t aGeneration,
                     Bitmap aOwn,
                     base::TimePoint aNow);
  void prepareFailed(const ManifestId& aId,
                     uint64_t aGeneration,
                     TransferState aState,
                     base::Error aError,
                     base::TimePoint aNow,
                     base::Rng& aRng);
  /** Sets the live VMs and drops the bitmaps of peers that are no longer polled. */
  void setMembers(const ManifestId& aId, Members aMembers, base::TimePoint aNow);

  /** aProgress: whether the peer received bytes since its last answer. */
  void noteBitmap(const ManifestId& aId,
                  const std::string& aPeer,
                  const Bitmap& aHave,
                  uint32_t aLoad,
                  bool aProgress,
                  base::TimePoint aNow);
  /** The peer does not have the manifest yet, or did not answer. */
  void noteNoBitmap(const ManifestId& aId, const std::string& aPeer);

  /** Next request of the most urgent manifest that has one; it counts as in flight until finish().
   */
  std::optional<Assignment> next(base::TimePoint aNow, base::Rng& aRng);
  /** Ends an assignment. aRetryAfter applies to Busy; aBytes counts the received bytes. */
  void finish(const Assignment& aAssignment,
              FetchOutcome aOutcome,
              base::Duration aRetryAfter,
              uint64_t aBytes,
              base::TimePoint aNow,
              base::Rng& aRng);

  /** A chunk read back from the host is corrupt or missing: it is fetched again. */
  void chunkLost(const ManifestId& aId, uint64_t aGeneration, uint32_t aChunk);
  void noteComplete(const ManifestId& aId, uint64_t aGeneration);
  void noteFailed(const ManifestId& aId, uint64_t aGeneration, base::Error aError);

  /** True while results of the generation are accepted. */
  bool isCurrent(const ManifestId& aId, uint64_t aGeneration) const;
  const Task* find(const ManifestId& aId) const;
  /** Tasks by urgency, then age. */
  std::vector<const Task*> ordered() const;
  std::vector<std::string> held() const;
  std::vector<std::string> fetching() const;
  /** True while chunks of any manifest, or of aId, are being fetched. */
  bool isFetching() const;
  bool isFetching(const ManifestId& aId) const;
  /** Peers whose bitmaps are needed for unfinished manifests. */
  std::set<std::string> polledPeers() const;
  const PeerBook& peerBook() const { return mPeers; }
  const OriginGate& origin() const { return mOrigin; }

private:
  Task* findMutable(const ManifestId& aId);
  Task* current(const ManifestId& aId, uint64_t aGeneration);
  LocalVm localVmFor(const Task& aTask) const;
  size_t crossRegionLimit() const;
  void refreshViews(Task& aTask, base::TimePoint aNow);
  bool mayImport(const Task& aTask, base::TimePoint aNow) const;
  void finishOrigin(Task* aTask, FetchOutcome aOutcome, base::TimePoint aNow, base::Rng& aRng);
  void finishPeer(Task* aTask,
                  const Choice& aChoice,
                  FetchOutcome aOutcome,
                  base::Duration aRetryAfter,
                  base::TimePoint aNow,
                  base::Rng& aRng);
  void store(Task& aTask, uint32_t aChunk, base::TimePoint aNow);

  DistributorOptions mOptions;
  LocalVm mLocalVm;
  std::unique_ptr<ChunkSelection> mSelection;
  PeerBook mPeers;
  OriginGate mOrigin;
  uint64_t mGenerations = 0;
  size_t mCrossRegionInFlight = 0;
  bool mOriginContacted = false;
  std::map<ManifestId, Task> mTasks;
};

} // namespace boragepitch::weights
