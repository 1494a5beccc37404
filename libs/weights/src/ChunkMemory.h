#pragma once

#include <atomic>
#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <utility>

#include "weights/Manifest.h"

namespace boragepitch::weights {

/** Memory of one chunk; it counts against the limit until it is destroyed. */
class ChunkBlock
{
public:
  ChunkBlock(size_t aSize, std::shared_ptr<std::atomic<size_t>> aUsed);
  ~ChunkBlock();
  ChunkBlock(const ChunkBlock&) = delete;
  ChunkBlock& operator=(const ChunkBlock&) = delete;

  std::span<std::byte> bytes() { return { mBytes.get(), mSize }; }
  std::span<const std::byte> bytes() const { return { mBytes.get(), mSize }; }

private:
  size_t mSize;
  std::unique_ptr<std::byte[]> mBytes;
  std::shared_ptr<std::atomic<size_t>> mUsed;
};

/**
 * Bounded memory for chunks in flight in either direction and a cache of recently used chunks.
 * Thread-safe.
 */
class ChunkMemory
{
public:
  explicit ChunkMemory(size_t aLimitBytes);

  /** Evicts cached chunks when needed, least recently used first; null when chunks in flight fill
   * the limit. */
  std::shared_ptr<ChunkBlock> tryReserve(size_t aBytes);
  void addToCache(const ManifestId& aId, uint32_t aChunk, std::shared_ptr<const ChunkBlock> aBlock);
  /** Null when the chunk is not in the cache. */
  std::shared_ptr<const ChunkBlock> find(const ManifestId& aId, uint32_t aChunk);
  void removeManifest(const ManifestId& aId);
  size_t used() const { return *mUsed; }
  size_t peak() const { return mPeak; }

private:
  using Key = std::pair<ManifestId, uint32_t>;
  struct Entry
  {
    std::shared_ptr<const ChunkBlock> block;
    std::list<Key>::iterator order;
  };
  bool evictOne();

  const size_t mLimit;
  std::shared_ptr<std::atomic<size_t>> mUsed = std::make_shared<std::atomic<size_t>>(0);
  std::atomic<size_t> mPeak{ 0 };
  std::mutex mMutex;
  std::map<Key, Entry> mEntries;
  std::list<Key> mOrder; ///< Least recently used first.
};

} // namespace boragepitch::weights
