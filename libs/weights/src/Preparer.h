#pragma once

#include <deque>

#include "Context.h"

namespace boragepitch::weights {

/**
 * Thread that fetches manifests, allocates memory in the host, verifies the chunks that the host
 * already holds, and releases manifests that are no longer wanted.
 */
class Preparer
{
public:
  explicit Preparer(Context& aContext);

  void run();
  /** Queues manifests for release; the context's mutex must be held. */
  void release(const std::vector<ManifestId>& aIds);

private:
  struct Job
  {
    ManifestId id;
    uint64_t generation;
    std::shared_ptr<const Manifest> manifest;
  };

  std::optional<Job> nextJob();
  void releasePending();
  void prepare(const Job& aJob);
  base::Result<Manifest> fetchManifest(const ManifestId& aId);
  base::Result<Manifest> manifestFromPeer(const ManifestId& aId, const std::string& aPeer);
  base::Status allocate(const Manifest& aManifest);
  base::Result<Bitmap> verifyHeld(const Job& aJob);
  void fail(const Job& aJob, TransferState aState, base::Error aError);

  Context& mContext;
  std::deque<ManifestId> mReleases; ///< Guarded by the context's mutex.
};

} // namespace boragepitch::weights
