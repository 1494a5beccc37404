#include "ChunkFetcher.h"

#include <charconv>
#include <cstring>

#include "telemetry/Log.h"

namespace boragepitch::weights {

namespace {

constexpr base::Milliseconds kIdleWait{ 500 };
/** Wait while a manifest is being fetched: the ends of backoffs and importer timeouts are not
 * notified. */
constexpr base::Milliseconds kFetchingWait{ 50 };
constexpr base::Milliseconds kDefaultRetryAfter{ 100 };
constexpr base::Milliseconds kMaxRetryAfter{ 5000 };
/** Total timeout of a chunk request, in stall timeouts, for a peer that sends very slowly but never
 * stalls. */
constexpr int kStallTimeoutsPerChunk = 10;

net::ClientOptions clientOptions(const DistributorOptions& aOptions)
{
  net::ClientOptions options;
  options.readTimeout = aOptions.stallTimeout;
  options.keepAlive = true;
  return options;
}

base::Milliseconds retryAfter(const net::ClientResponse& aResponse)
{
  auto text = aResponse.header(kRetryAfterHeader).value_or("");
  int64_t value = kDefaultRetryAfter.count();
  std::from_chars(text.data(), text.data() + text.size(), value);
  return std::clamp(base::Milliseconds(value), base::Milliseconds(1), kMaxRetryAfter);
}

} // namespace

ChunkFetcher::ChunkFetcher(Context& aContext)
  : mContext(aContext)
  , mClients(clientOptions(aContext.options), aContext.options.fetchesPerPeer)
{
}

ChunkFetcher::~ChunkFetcher()
{
  join();
}

void ChunkFetcher::start()
{
  for (size_t i = 0; i < mContext.options.fetchThreads; ++i) {
    mThreads.emplace_back([this] { run(); });
  }
}

void ChunkFetcher::join()
{
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

bool ChunkFetcher::isCurrent(const Assignment& aAssignment) const
{
  return !mContext.stopping &&
         mContext.isCurrent(aAssignment.manifest->id(), aAssignment.generation);
}

void ChunkFetcher::cancelStale()
{
  std::lock_guard lock(mCallsMutex);
  for (auto& [thread, call] : mCalls) {
    if (!isCurrent(*call.assignment)) {
      call.client->cancel();
    }
  }
}

void ChunkFetcher::run()
{
  std::unique_lock lock(mContext.mutex);
  while (!mContext.stopping) {
    auto now = std::chrono::steady_clock::now();
    auto assignment = mContext.core.next(now, mContext.rng);
    if (!assignment) {
      mContext.work.wait_for(lock, mContext.core.isFetching() ? kFetchingWait : kIdleWait);
      continue;
    }
    mContext.notifyWork();
    lock.unlock();
    Result result = fetch(*assignment);
    lock.lock();
    auto end = std::chrono::steady_clock::now();
    mContext.core.finish(
      *assignment, result.outcome, result.retryAfter, result.bytes, end, mContext.rng);
    if (result.outcome == FetchOutcome::Stored) {
      mContext.metrics.chunkSeconds.record(end - now);
    }
    bool complete = !mContext.core.isFetching(assignment->manifest->id());
    complete ? mContext.notifyAll() : mContext.notifyOwnBitmap();
    if (result.outcome == FetchOutcome::HostFailed || result.outcome == FetchOutcome::Cancelled) {
      // No memory or no host: an immediate request would fail in the same way.
      mContext.work.wait_for(lock, kFetchingWait);
    }
  }
}

ChunkFetcher::Result ChunkFetcher::fetch(const Assignment& aAssignment)
{
  auto block = mContext.memory.tryReserve(aAssignment.manifest->sizeOf(aAssignment.choice.chunk));
  if (!block) {
    return { .outcome = FetchOutcome::Cancelled };
  }
  mContext.metrics.memoryBytes.set(static_cast<int64_t>(mContext.memory.used()));
  bool fromOrigin = aAssignment.choice.peer.empty();
  Result result =
    fromOrigin ? fetchFromOrigin(aAssignment, *block) : fetchFromPeer(aAssignment, *block);
  (fromOrigin ? mContext.metrics.originBytes : mContext.metrics.peerBytes).add(result.bytes);
  mContext.metrics.interRegionBytes.add(aAssignment.crossRegion ? result.bytes : 0);
  if (result.outcome == FetchOutcome::Failed) {
    mContext.metrics.failedFetches.add();
  }
  if (result.outcome != FetchOutcome::Stored) {
    return result;
  }
  return store(aAssignment, std::move(block), result);
}

ChunkFetcher::Result ChunkFetcher::fetchFromOrigin(const Assignment& aAssignment,
                                                   ChunkBlock& aBlock)
{
  const Manifest& manifest = *aAssignment.manifest;
  auto status = mContext.origin->read(
    aAssignment.originName, manifest.offsetOf(aAssignment.choice.chunk), aBlock.bytes());
  if (!status) {
    auto kind = status.error().kind;
    // A blob that is shorter than the manifest says has been replaced.
    bool differs = kind == base::ErrorKind::Corrupt || kind == base::ErrorKind::Invalid ||
                   kind == base::ErrorKind::TooLarge;
    return { .outcome = differs ? FetchOutcome::Corrupt : FetchOutcome::Failed };
  }
  mContext.receivedBytes += aBlock.bytes().size();
  if (!mContext.links.waitDown(aBlock.bytes().size(), aAssignment.crossRegion) ||
      !isCurrent(aAssignment)) {
    return { .outcome = FetchOutcome::Cancelled, .bytes = aBlock.bytes().size() };
  }
  return { .outcome = FetchOutcome::Stored, .bytes = aBlock.bytes().size() };
}

ChunkFetcher::Result ChunkFetcher::fetchFromPeer(const Assignment& aAssignment, ChunkBlock& aBlock)
{
  auto address = mContext.addressOf(aAssignment.choice.peer);
  if (!address) {
    return { .outcome = FetchOutcome::Failed };
  }
  auto client = mClients.acquire(*address);
  {
    std::lock_guard lock(mCallsMutex);
    mCalls[std::this_thread::get_id()] = { &aAssignment, client.get() };
  }
  Result result = stream(aAssignment, *client, aBlock);
  {
    std::lock_guard lock(mCallsMutex);
    mCalls.erase(std::this_thread::get_id());
  }
  // cancelStale() may have cancelled the client of a stale assignment; such a client is not reused.
  if (result.outcome != FetchOutcome::Failed && isCurrent(aAssignment)) {
    mClients.release(std::move(client));
  }
  return result;
}

ChunkFetcher::Result ChunkFetcher::stream(const Assignment& aAssignment,
                                          net::HttpClient& aClient,
                                          ChunkBlock& aBlock)
{
  Result result;
  size_t uncharged = 0;
  bool fits = true;
  int status = 0;
  auto target = aBlock.bytes();
  auto response = aClient.stream(
    { .target = "/w/" + aAssignment.manifest->id().toString() + "/chunk/" +
                std::to_string(aAssignment.choice.chunk),
      .headers = { { kRegionHeader, mContext.localVm.region },
                   { kMissingHeader, std::to_string(aAssignment.missing) } },
      .totalTimeout = mContext.options.stallTimeout * kStallTimeoutsPerChunk },
    [&](const net::ClientResponse& aHead) {
      status = aHead.status;
      return isCurrent(aAssignment);
    },
    [&](std::string_view aBytes) {
      if (status != 200) {
        return true;
      }
      fits = aBytes.size() <= target.size() - result.bytes;
      if (!fits) {
        return false;
      }
      std::memcpy(target.data() + result.bytes, aBytes.data(), aBytes.size());
      result.bytes += aBytes.size();
      uncharged += aBytes.size();
      mContext.receivedBytes += aBytes.size();
      if (uncharged < mContext.links.sliceBytes()) {
        return true;
      }
      size_t charge = std::exchange(uncharged, 0);
      return mContext.links.waitDown(charge, aAssignment.crossRegion) && isCurrent(aAssignment);
    });
  if (!isCurrent(aAssignment)) {
    result.outcome = FetchOutcome::Cancelled;
  } else if (!fits) {
    result.outcome = FetchOutcome::Corrupt;
  } else if (!response) {
    result.outcome = FetchOutcome::Failed;
  } else if (status == 503) {
    result.outcome = FetchOutcome::Busy;
    result.retryAfter = retryAfter(*response);
  } else if (status == 404) {
    result.outcome = FetchOutcome::Missing;
  } else if (status == 200) {
    mContext.links.waitDown(uncharged, aAssignment.crossRegion);
    result.outcome = result.bytes == target.size() ? FetchOutcome::Stored : FetchOutcome::Corrupt;
  }
  return result;
}

ChunkFetcher::Result ChunkFetcher::store(const Assignment& aAssignment,
                                         std::shared_ptr<ChunkBlock> aBlock,
                                         Result aResult)
{
  const Manifest& manifest = *aAssignment.manifest;
  uint32_t chunk = aAssignment.choice.chunk;
  if (!manifest.verifies(chunk, aBlock->bytes())) {
    mContext.metrics.corruptChunks.add();
    telemetry::logEvent(
      telemetry::Level::Warn,
      "chunkCorrupt",
      { { "manifest", manifest.id().toString() },
        { "chunk", std::to_string(chunk) },
        { "sender", aAssignment.choice.peer.empty() ? "origin" : aAssignment.choice.peer } });
    aResult.outcome = FetchOutcome::Corrupt;
    return aResult;
  }
  if (!mContext.host->write(manifest.id(), chunk, aBlock->bytes())) {
    aResult.outcome = isCurrent(aAssignment) ? FetchOutcome::HostFailed : FetchOutcome::Cancelled;
    return aResult;
  }
  mContext.memory.addToCache(manifest.id(), chunk, std::move(aBlock));
  return aResult;
}

} // namespace boragepitch::weights
