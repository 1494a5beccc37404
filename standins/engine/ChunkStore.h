#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace boragepitch::standin {

struct Chunk
{
  using Id = std::array<uint64_t, 2>;
  Id id{}; ///< Hash of the content.
  std::vector<std::byte> bytes;
};
using ChunkPtr = std::shared_ptr<const Chunk>;

/**
 * Chunk bytes deduplicated by content, so that endpoints of one process that hold the same model
 * share the memory. Thread-safe.
 */
class ChunkStore
{
public:
  ChunkPtr intern(std::span<const std::byte> aBytes);
  /** SHA-256 (hex) of the chunks in order; a null chunk counts as missing and changes the digest.
   * Cached by content. */
  std::string wholeDigest(std::span<const ChunkPtr> aChunks);

private:
  std::mutex mMutex;
  std::map<Chunk::Id, std::weak_ptr<const Chunk>> mChunks;
  std::mutex mDigestMutex;
  std::map<std::string, std::string> mDigests;
};

} // namespace boragepitch::standin
