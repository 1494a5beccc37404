#include "weights/StagedWeightHost.h"

#include <algorithm>
#include <atomic>
#include <cstring>
#include <numeric>
#include <thread>

namespace boragepitch::weights {

namespace {

using namespace std::chrono_literals;

/** An engine answers a call in under a millisecond. When the calls for all chunks take longer than
 * this, the VM is busy, and further threads shorten the time between the first and the last. */
constexpr base::Milliseconds kOneThreadTime = 100ms;
constexpr size_t kMaxThreads = 8;
/** Passes over the chunks whose checks became too old during the pass before. */
constexpr int kMaxPasses = 2;

tl::unexpected<base::Error> notAllocated(const ManifestId& aId)
{
  return base::fail(base::ErrorKind::NotFound, aId.toString(), "the version was released", "");
}

} // namespace

std::vector<uint32_t> ChunkChecks::before(base::TimePoint aSince) const
{
  std::vector<uint32_t> chunks;
  for (uint32_t chunk = 0; chunk < count(); ++chunk) {
    if (!mCheckedAt[chunk] || *mCheckedAt[chunk] < aSince) {
      chunks.push_back(chunk);
    }
  }
  return chunks;
}

StagedWeightHost::StagedWeightHost(ChunkStaging& aStaging, const base::Clock& aClock)
  : mStaging(aStaging)
  , mClock(aClock)
{
}

void StagedWeightHost::noteNotStaged(const ManifestId& aId)
{
  std::lock_guard lock(mMutex);
  mNotStaged.insert(aId);
}

bool StagedWeightHost::mayHold(const ManifestId& aId)
{
  std::lock_guard lock(mMutex);
  auto found = mVersions.find(aId);
  bool inMemory = found != mVersions.end() &&
                  std::any_of(found->second.chunks.begin(),
                              found->second.chunks.end(),
                              [](const std::string& aChunk) { return !aChunk.empty(); });
  return inMemory || !mNotStaged.contains(aId);
}

base::Status StagedWeightHost::allocate(const Manifest& aManifest)
{
  std::lock_guard lock(mMutex);
  Version& version = mVersions[aManifest.id()];
  version.model = aManifest.model();
  version.chunks.resize(aManifest.chunkCount());
  return {};
}

base::Status StagedWeightHost::write(const ManifestId& aId,
                                     uint32_t aChunk,
                                     std::span<const std::byte> aBytes)
{
  std::lock_guard lock(mMutex);
  auto found = mVersions.find(aId);
  if (found == mVersions.end() || aChunk >= found->second.chunks.size()) {
    return notAllocated(aId);
  }
  found->second.chunks[aChunk] = base::asText(aBytes);
  return {};
}

base::Result<size_t> StagedWeightHost::read(const ManifestId& aId,
                                            uint32_t aChunk,
                                            std::span<std::byte> aTarget)
{
  std::string model;
  std::string bytes;
  {
    std::lock_guard lock(mMutex);
    auto found = mVersions.find(aId);
    if (found == mVersions.end() || aChunk >= found->second.chunks.size()) {
      return notAllocated(aId);
    }
    model = found->second.model;
    bytes = found->second.chunks[aChunk];
    if (bytes.empty() && mNotStaged.contains(aId)) {
      return notAllocated(aId);
    }
  }
  if (bytes.empty()) {
    auto staged = mStaging.chunk(model, aChunk, aTarget.size());
    if (!staged && staged.error().kind == base::ErrorKind::TooLarge) {
      return base::fail(
        base::ErrorKind::Corrupt, aId.toString(), "the staged chunk is too long", "fetch it again");
    }
    if (!staged) {
      return tl::make_unexpected(staged.error());
    }
    bytes = std::move(*staged);
  }
  size_t count = std::min(bytes.size(), aTarget.size());
  std::memcpy(aTarget.data(), bytes.data(), count);
  return count;
}

base::Status StagedWeightHost::release(const ManifestId& aId)
{
  std::lock_guard lock(mMutex);
  mVersions.erase(aId);
  return {};
}

base::Status StagedWeightHost::forEach(std::span<const uint32_t> aChunks,
                                       const ChunkAction& aAction,
                                       ChunkChecks& aChecks) const
{
  std::atomic<size_t> next{ 0 };
  std::atomic<bool> hasFailed{ false };
  std::mutex mutex; // Guards aChecks and result.
  base::Status result;
  auto step = [&] {
    size_t at = next++;
    if (at >= aChunks.size() || hasFailed) {
      return false;
    }
    auto startedAt = mClock.now();
    auto status = aAction(aChunks[at]);
    std::lock_guard lock(mutex);
    if (status) {
      aChecks.note(aChunks[at], startedAt);
    } else if (!hasFailed.exchange(true)) {
      result = status;
    }
    return !hasFailed;
  };
  std::vector<std::jthread> helpers;
  auto beganAt = mClock.now();
  while (step()) {
    if (helpers.empty() && mClock.now() - beganAt > kOneThreadTime) {
      size_t left = aChunks.size() - std::min(next.load(), aChunks.size());
      for (size_t i = 0; i < std::min(left, kMaxThreads - 1); ++i) {
        helpers.emplace_back([&step] {
          while (step()) {
          }
        });
      }
    }
  }
  helpers.clear(); // Joins them.
  return result;
}

base::Status StagedWeightHost::verifyStaged(const Manifest& aManifest, uint32_t aChunk) const
{
  auto staged = mStaging.chunk(aManifest.model(), aChunk, aManifest.sizeOf(aChunk));
  bool isTooLong = !staged && staged.error().kind == base::ErrorKind::TooLarge;
  if (!staged && !isTooLong) {
    return tl::make_unexpected(staged.error());
  }
  if (isTooLong || !aManifest.verifies(aChunk, base::asBytes(*staged))) {
    return base::fail(base::ErrorKind::Corrupt,
                      aManifest.id().toString() + "/" + std::to_string(aChunk),
                      "the staged chunk differs from the manifest",
                      "fetch it again");
  }
  return {};
}

base::Result<ChunkChecks> StagedWeightHost::commit(const Manifest& aManifest)
{
  ChunkChecks checks(aManifest.chunkCount());
  std::vector<uint32_t> chunks(aManifest.chunkCount());
  std::iota(chunks.begin(), chunks.end(), 0);
  auto stage = [&](uint32_t aChunk) -> base::Status {
    std::string bytes;
    {
      std::lock_guard lock(mMutex);
      auto found = mVersions.find(aManifest.id());
      if (found == mVersions.end()) {
        return notAllocated(aManifest.id());
      }
      bytes = found->second.chunks[aChunk];
    }
    return bytes.empty() ? verifyStaged(aManifest, aChunk)
                         : mStaging.putChunk(aManifest.model(), aChunk, base::asBytes(bytes));
  };
  if (auto staged = forEach(chunks, stage, checks); !staged) {
    return tl::make_unexpected(staged.error());
  }
  std::lock_guard lock(mMutex);
  mNotStaged.erase(aManifest.id());
  return checks;
}

base::Status StagedWeightHost::renewChecks(const Manifest& aManifest,
                                           ChunkChecks& aChecks,
                                           base::Duration aMaxAge) const
{
  for (int pass = 0; pass <= kMaxPasses; ++pass) {
    auto outdated = aChecks.before(mClock.now() - aMaxAge);
    if (outdated.empty()) {
      return {};
    }
    if (pass == kMaxPasses) {
      break;
    }
    auto verify = [&](uint32_t aChunk) { return verifyStaged(aManifest, aChunk); };
    if (auto verified = forEach(outdated, verify, aChecks); !verified) {
      return verified;
    }
  }
  return base::fail(base::ErrorKind::Timeout,
                    aManifest.id().toString(),
                    "the staging area is too slow to check all chunks shortly before a load",
                    "retry when the VM is less busy");
}

size_t StagedWeightHost::memoryBytes() const
{
  std::lock_guard lock(mMutex);
  size_t bytes = 0;
  for (const auto& [id, version] : mVersions) {
    for (const std::string& chunk : version.chunks) {
      bytes += chunk.size();
    }
  }
  return bytes;
}

} // namespace boragepitch::weights
