#include "Preparer.h"

#include "Membership.h"

namespace boragepitch::weights {

namespace {
constexpr base::Milliseconds kIdleWait{ 100 };
/** Chunk memory must hold one chunk that is received and one that is sent or verified. */
constexpr size_t kMinChunksInMemory = 2;
} // namespace

Preparer::Preparer(Context& aContext)
  : mContext(aContext)
{
}

void Preparer::release(const std::vector<ManifestId>& aIds)
{
  mReleases.insert(mReleases.end(), aIds.begin(), aIds.end());
}

void Preparer::run()
{
  while (!mContext.stopping) {
    releasePending();
    if (auto job = nextJob()) {
      prepare(*job);
    } else {
      mContext.idle(kIdleWait);
    }
  }
}

std::optional<Preparer::Job> Preparer::nextJob()
{
  auto now = std::chrono::steady_clock::now();
  std::lock_guard lock(mContext.mutex);
  for (const Task* task : mContext.core.ordered()) {
    bool open = task->state == TransferState::NeedsManifest ||
                task->state == TransferState::Preparing || task->state == TransferState::NoRoom;
    if (open && task->isWanted && task->retryAt <= now) {
      return Job{ task->wanted.manifest, task->generation, task->manifest };
    }
  }
  return std::nullopt;
}

void Preparer::releasePending()
{
  for (;;) {
    ManifestId id;
    {
      std::lock_guard lock(mContext.mutex);
      if (mReleases.empty()) {
        return;
      }
      id = mReleases.front();
      mReleases.pop_front();
      if (mContext.core.find(id) != nullptr) {
        continue; // Wanted again: the chunks that the host still holds can be used.
      }
    }
    mContext.memory.removeManifest(id);
    // Failure is ignored: an engine that does not answer has lost its memory or is about to, and
    // allocate() reports it.
    static_cast<void>(mContext.host->release(id));
  }
}

void Preparer::fail(const Job& aJob, TransferState aState, base::Error aError)
{
  std::lock_guard lock(mContext.mutex);
  mContext.core.prepareFailed(aJob.id,
                              aJob.generation,
                              aState,
                              std::move(aError),
                              std::chrono::steady_clock::now(),
                              mContext.rng);
}

void Preparer::prepare(const Job& aJob)
{
  Job job = aJob;
  if (!job.manifest) {
    auto manifest = fetchManifest(job.id);
    if (!manifest) {
      fail(job, TransferState::NeedsManifest, manifest.error());
      return;
    }
    job.manifest = std::make_shared<const Manifest>(std::move(*manifest));
    std::lock_guard lock(mContext.mutex);
    mContext.core.setManifest(job.id, job.manifest);
  }
  if (uint64_t{ job.manifest->chunkSize() } * kMinChunksInMemory > mContext.options.cacheBytes) {
    base::Error error{ base::ErrorKind::TooLarge,
                       "chunkSize",
                       "two chunks do not fit into cache_bytes",
                       "raise cache_bytes or make the manifest with smaller chunks" };
    std::lock_guard lock(mContext.mutex);
    mContext.core.noteFailed(job.id, job.generation, std::move(error));
    return;
  }
  bool mayHold = mContext.host->mayHold(job.id);
  if (auto room = allocate(*job.manifest); !room) {
    bool full = room.error().kind == base::ErrorKind::TooLarge;
    fail(job, full ? TransferState::NoRoom : TransferState::Preparing, room.error());
    return;
  }
  auto own = mayHold ? verifyHeld(job) : Bitmap(job.manifest->chunkCount());
  if (!own) {
    fail(job, TransferState::Preparing, own.error());
    return;
  }
  std::lock_guard lock(mContext.mutex);
  mContext.core.beginFetching(
    job.id, job.generation, std::move(*own), std::chrono::steady_clock::now());
  mContext.notifyAll();
}

base::Result<Manifest> Preparer::fetchManifest(const ManifestId& aId)
{
  auto holders = holdersOf(*mContext.fleet->nodes(), aId, mContext.localVm.id);
  if (!holders.empty()) {
    size_t index = 0;
    {
      std::lock_guard lock(mContext.mutex);
      index = base::uniformBelow(mContext.rng, holders.size());
    }
    if (auto manifest = manifestFromPeer(aId, holders[index])) {
      return manifest;
    }
  }
  auto text = mContext.objects->fetch("manifests/" + aId.toString(), ManifestLimits{}.textBytes);
  if (!text) {
    return tl::make_unexpected(text.error());
  }
  return Manifest::parseExpecting(aId, *text);
}

base::Result<Manifest> Preparer::manifestFromPeer(const ManifestId& aId, const std::string& aPeer)
{
  auto address = mContext.addressOf(aPeer);
  if (!address) {
    return base::fail(base::ErrorKind::NotFound, aPeer, "address not known", "retry");
  }
  net::ClientOptions options;
  options.readTimeout = mContext.options.stallTimeout;
  net::HttpClient client(*address, options);
  auto response = client.send({ .target = "/w/" + aId.toString() + "/manifest",
                                .totalTimeout = mContext.options.stallTimeout },
                              ManifestLimits{}.textBytes);
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  return Manifest::parseExpecting(aId, response->body);
}

base::Status Preparer::allocate(const Manifest& aManifest)
{
  for (;;) {
    auto status = mContext.host->allocate(aManifest);
    if (status || status.error().kind != base::ErrorKind::TooLarge) {
      return status;
    }
    std::optional<ManifestId> evicted;
    {
      std::lock_guard lock(mContext.mutex);
      evicted = mContext.core.evictUnwanted();
    }
    if (!evicted) {
      return status;
    }
    mContext.memory.removeManifest(*evicted);
    if (auto released = mContext.host->release(*evicted); !released) {
      return released;
    }
  }
}

base::Result<Bitmap> Preparer::verifyHeld(const Job& aJob)
{
  Bitmap own(aJob.manifest->chunkCount());
  for (uint32_t chunk = 0; chunk < own.size(); ++chunk) {
    if (mContext.stopping || !mContext.isCurrent(aJob.id, aJob.generation)) {
      return base::fail(base::ErrorKind::Cancelled, aJob.id.toString(), "no longer wanted", "");
    }
    auto block = readVerified(mContext, *aJob.manifest, chunk);
    if (block) {
      own.set(chunk);
    } else if (block.error().kind == base::ErrorKind::Unavailable ||
               block.error().kind == base::ErrorKind::UnknownOutcome) {
      return tl::make_unexpected(block.error());
    }
  }
  return own;
}

} // namespace boragepitch::weights
