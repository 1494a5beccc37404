#include "ChunkMemory.h"

#include <algorithm>

namespace boragepitch::weights {

ChunkBlock::ChunkBlock(size_t aSize, std::shared_ptr<std::atomic<size_t>> aUsed)
  : mSize(aSize)
  , mBytes(std::make_unique_for_overwrite<std::byte[]>(aSize))
  , mUsed(std::move(aUsed))
{
}

ChunkBlock::~ChunkBlock()
{
  *mUsed -= mSize;
}

ChunkMemory::ChunkMemory(size_t aLimitBytes)
  : mLimit(aLimitBytes)
{
}

std::shared_ptr<ChunkBlock> ChunkMemory::tryReserve(size_t aBytes)
{
  std::lock_guard lock(mMutex);
  while (*mUsed + aBytes > mLimit) {
    if (!evictOne()) {
      return nullptr;
    }
  }
  // Only this function increases mUsed, under the lock; blocks that are destroyed meanwhile only
  // decrease it.
  *mUsed += aBytes;
  mPeak = std::max<size_t>(mPeak, *mUsed);
  return std::make_shared<ChunkBlock>(aBytes, mUsed);
}

bool ChunkMemory::evictOne()
{
  for (auto key = mOrder.begin(); key != mOrder.end(); ++key) {
    auto found = mEntries.find(*key);
    // A chunk that is being sent stays in memory anyway, so evicting it would free nothing.
    if (found->second.block.use_count() == 1) {
      mEntries.erase(found);
      mOrder.erase(key);
      return true;
    }
  }
  return false;
}

void ChunkMemory::addToCache(const ManifestId& aId,
                             uint32_t aChunk,
                             std::shared_ptr<const ChunkBlock> aBlock)
{
  std::lock_guard lock(mMutex);
  auto [found, isNew] = mEntries.try_emplace({ aId, aChunk });
  if (isNew) {
    found->second.order = mOrder.insert(mOrder.end(), found->first);
  }
  found->second.block = std::move(aBlock);
}

std::shared_ptr<const ChunkBlock> ChunkMemory::find(const ManifestId& aId, uint32_t aChunk)
{
  std::lock_guard lock(mMutex);
  auto found = mEntries.find({ aId, aChunk });
  if (found == mEntries.end()) {
    return nullptr;
  }
  mOrder.splice(mOrder.end(), mOrder, found->second.order);
  return found->second.block;
}

void ChunkMemory::removeManifest(const ManifestId& aId)
{
  std::lock_guard lock(mMutex);
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    if (entry->first.first == aId) {
      mOrder.erase(entry->second.order);
      entry = mEntries.erase(entry);
    } else {
      ++entry;
    }
  }
}

} // namespace boragepitch::weights
