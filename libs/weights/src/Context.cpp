#include "Context.h"

#include <algorithm>

namespace boragepitch::weights {

namespace {
/** Wait while every manifest is complete; only a fallback in case code outside this library misses
 * a notification. */
constexpr base::Milliseconds kSettledWait{ 1000 };
} // namespace

TransferMetrics::TransferMetrics(telemetry::Registry& aRegistry)
  : originBytes(aRegistry.counter("bp_weights_origin_bytes_total", "Bytes read from the origin."))
  , peerBytes(aRegistry.counter("bp_weights_peer_bytes_total", "Bytes received from peers."))
  , interRegionBytes(aRegistry.counter("bp_weights_inter_region_bytes_total",
                                       "Bytes received from other regions."))
  , sentBytes(aRegistry.counter("bp_weights_sent_bytes_total", "Bytes sent to peers."))
  , corruptChunks(aRegistry.counter("bp_weights_corrupt_chunks_total",
                                    "Received chunks that did not match their digest."))
  , refusedUploads(aRegistry.counter("bp_weights_refused_uploads_total",
                                     "Chunk requests refused because of a long uplink queue."))
  , failedFetches(aRegistry.counter("bp_weights_failed_fetches_total",
                                    "Chunk requests that broke, stalled or timed out."))
  , hostMismatches(aRegistry.counter("bp_weights_host_mismatches_total",
                                     "Chunks that the host returned with other bytes."))
  , cacheMisses(aRegistry.counter("bp_weights_cache_misses_total",
                                  "Sent chunks that were read back from the host."))
  , memoryBytes(aRegistry.gauge("bp_weights_memory_bytes", "Chunk memory, in flight included."))
  , chunkSeconds(
      aRegistry.histogram("bp_weights_chunk_seconds", "Time from request to stored chunk."))
{
}

Context::Context(DistributorOptions aOptions,
                 const LocalVm& aLocalVm,
                 uint64_t aSeed,
                 telemetry::Registry& aMetrics)
  : options(aOptions)
  , localVm(aLocalVm)
  , metrics(aMetrics)
  , core(aOptions, aLocalVm)
  , rng(aSeed)
  , links(aOptions.links, std::chrono::steady_clock::now())
  , memory(aOptions.cacheBytes)
{
}

void Context::notifyOwnBitmap()
{
  announced.notify_all();
  work.notify_one();
}

void Context::notifyAll()
{
  announced.notify_all();
  work.notify_all();
  control.notify_all();
}

bool Context::pause(base::Duration aTime)
{
  std::unique_lock lock(mutex);
  auto until = std::chrono::steady_clock::now() + aTime;
  control.wait_until(lock, until, [this] { return stopping.load(); });
  return !stopping;
}

void Context::idle(base::Duration aTime)
{
  std::unique_lock lock(mutex);
  if (!stopping) {
    control.wait_for(lock, isSettled() ? std::max<base::Duration>(aTime, kSettledWait) : aTime);
  }
}

bool Context::isSettled() const
{
  auto tasks = core.ordered();
  return std::all_of(tasks.begin(), tasks.end(), [](const Task* aTask) {
    return aTask->state == TransferState::Complete;
  });
}

std::optional<net::Address> Context::addressOf(const std::string& aPeer) const
{
  auto nodes = fleet->nodes();
  auto found = nodes->find(aPeer);
  if (found == nodes->end() || found->second.state.weightsAddress.port == 0) {
    return std::nullopt;
  }
  return found->second.state.weightsAddress;
}

bool Context::isCurrent(const ManifestId& aId, uint64_t aGeneration) const
{
  std::lock_guard lock(mutex);
  return core.isCurrent(aId, aGeneration);
}

base::Result<std::shared_ptr<ChunkBlock>> readVerified(Context& aContext,
                                                       const Manifest& aManifest,
                                                       uint32_t aChunk)
{
  auto block = aContext.memory.tryReserve(aManifest.sizeOf(aChunk));
  if (!block) {
    return base::fail(base::ErrorKind::Unavailable,
                      "cache_bytes",
                      "chunks in flight fill the chunk memory",
                      "retry; raise cache_bytes if it persists");
  }
  auto size = aContext.host->read(aManifest.id(), aChunk, block->bytes());
  if (!size) {
    return tl::make_unexpected(size.error());
  }
  if (!aManifest.verifies(aChunk, block->bytes().first(std::min(*size, block->bytes().size())))) {
    aContext.metrics.hostMismatches.add();
    return base::fail(base::ErrorKind::Corrupt,
                      aManifest.id().toString() + "/" + std::to_string(aChunk),
                      "the host's bytes differ from the manifest",
                      "the chunk is fetched again");
  }
  return block;
}

} // namespace boragepitch::weights
