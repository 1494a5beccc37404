#include "weights/StagedWeightHost.h"

#include <algorithm>
#include <cstring>

namespace boragepitch::weights {

namespace {

tl::unexpected<base::Error> notAllocated(const ManifestId& aId)
{
  return base::fail(base::ErrorKind::NotFound, aId.toString(), "the version was released", "");
}

} // namespace

StagedWeightHost::StagedWeightHost(ChunkStaging& aStaging)
  : mStaging(aStaging)
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
    auto staged = mStaging.chunk(model, aChunk);
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

base::Status StagedWeightHost::commit(const Manifest& aManifest)
{
  for (uint32_t chunk = 0; chunk < aManifest.chunkCount(); ++chunk) {
    std::string bytes;
    {
      std::lock_guard lock(mMutex);
      auto found = mVersions.find(aManifest.id());
      if (found == mVersions.end()) {
        return notAllocated(aManifest.id());
      }
      bytes = found->second.chunks[chunk];
    }
    if (!bytes.empty()) {
      if (auto put = mStaging.putChunk(aManifest.model(), chunk, base::asBytes(bytes)); !put) {
        return put;
      }
      continue;
    }
    auto staged = mStaging.chunk(aManifest.model(), chunk);
    if (!staged) {
      return tl::make_unexpected(staged.error());
    }
    if (!aManifest.verifies(chunk, base::asBytes(*staged))) {
      return base::fail(base::ErrorKind::Corrupt,
                        aManifest.id().toString() + "/" + std::to_string(chunk),
                        "the staged chunk differs from the manifest",
                        "fetch it again");
    }
  }
  std::lock_guard lock(mMutex);
  mNotStaged.erase(aManifest.id());
  return {};
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
