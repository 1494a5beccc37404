#include "engine/ChunkStore.h"

#include <algorithm>

#include "base/Digest.h"

namespace boragepitch::standin {

namespace {

/** A second hash with another seed makes an accidental collision of contents negligible. */
constexpr uint64_t kSecondSeed = 0x5bd1e995;

} // namespace

ChunkPtr ChunkStore::intern(std::span<const std::byte> aBytes)
{
  Chunk::Id id{ base::fastHash(aBytes), base::fastHash(aBytes, kSecondSeed) };
  std::lock_guard lock(mMutex);
  std::weak_ptr<const Chunk>& slot = mChunks[id];
  if (ChunkPtr present = slot.lock()) {
    return present;
  }
  auto chunk = std::make_shared<const Chunk>(
    Chunk{ id, std::vector<std::byte>(aBytes.begin(), aBytes.end()) });
  slot = chunk;
  return chunk;
}

std::string ChunkStore::wholeDigest(std::span<const ChunkPtr> aChunks)
{
  std::vector<Chunk::Id> ids;
  for (const ChunkPtr& chunk : aChunks) {
    ids.push_back(chunk ? chunk->id : Chunk::Id{});
  }
  std::string key = base::toHex(base::sha256(std::as_bytes(std::span(ids))));
  // Locked during the computation, so that endpoints loading the same model compute it once.
  std::lock_guard lock(mDigestMutex);
  std::string& digest = mDigests[key];
  if (digest.empty()) {
    base::Sha256 whole;
    for (const ChunkPtr& chunk : aChunks) {
      whole.update(chunk ? std::span<const std::byte>(chunk->bytes) : base::asBytes("missing"));
    }
    digest = base::toHex(whole.finish());
  }
  return digest;
}

} // namespace boragepitch::standin
