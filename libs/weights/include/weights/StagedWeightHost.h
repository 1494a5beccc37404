#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/Time.h"
#include "weights/WeightHost.h"

namespace boragepitch::weights {

/** Staging area of an engine: the chunks of one version of each model. Thread-safe. */
class ChunkStaging
{
public:
  virtual ~ChunkStaging() = default;
  virtual base::Status putChunk(const std::string& aModel,
                                uint32_t aChunk,
                                std::span<const std::byte> aBytes) = 0;
  /** NotFound when the chunk is absent, TooLarge when it has more than aMaxBytes. */
  virtual base::Result<std::string> chunk(const std::string& aModel,
                                          uint32_t aChunk,
                                          size_t aMaxBytes) = 0;
};

/**
 * When each staged chunk of a version was last known to be sound. Staged chunks may become corrupt
 * at any time, so a check counts for a limited time only. Not thread-safe.
 */
class ChunkChecks
{
public:
  explicit ChunkChecks(uint32_t aChunks)
    : mCheckedAt(aChunks)
  {
  }

  uint32_t count() const { return static_cast<uint32_t>(mCheckedAt.size()); }
  /** @param aAt a time at or before which the check began. */
  void note(uint32_t aChunk, base::TimePoint aAt) { mCheckedAt[aChunk] = aAt; }
  /** The chunks without a check that began at aSince or later. */
  std::vector<uint32_t> before(base::TimePoint aSince) const;

private:
  std::vector<std::optional<base::TimePoint>> mCheckedAt;
};

/**
 * Keeps the chunks of several versions in this process's memory and writes a version to the
 * engine's staging area only when it is to be loaded. Until then the staged version stays usable:
 * an engine that restarts during a transfer loads it again. Thread-safe.
 */
class StagedWeightHost final : public WeightHost
{
public:
  StagedWeightHost(ChunkStaging& aStaging, const base::Clock& aClock);

  /** Marks a version as absent from the staging area, which is then not read for it before its
   * commit. */
  void noteNotStaged(const ManifestId& aId);
  bool mayHold(const ManifestId& aId) override;
  base::Status allocate(const Manifest& aManifest) override;
  base::Status write(const ManifestId& aId,
                     uint32_t aChunk,
                     std::span<const std::byte> aBytes) override;
  /** Reads from memory, otherwise from the staging area, which may hold another version; the caller
   * verifies the bytes. */
  base::Result<size_t> read(const ManifestId& aId,
                            uint32_t aChunk,
                            std::span<std::byte> aTarget) override;
  base::Status release(const ManifestId& aId) override;

  /**
   * Writes all chunks of a version to the staging area. Chunks that are not in this process's
   * memory must already be staged and are verified. Corrupt when one does not match.
   * @return the times of the writes and checks.
   */
  base::Result<ChunkChecks> commit(const Manifest& aManifest);
  /**
   * Reads the staged chunks whose check is older than aMaxAge and verifies them, until none is.
   * Corrupt or NotFound when one does not match the manifest; Timeout when the staging area is too
   * slow for aMaxAge.
   */
  base::Status renewChecks(const Manifest& aManifest,
                           ChunkChecks& aChecks,
                           base::Duration aMaxAge) const;
  size_t memoryBytes() const;

private:
  struct Version
  {
    std::string model;
    std::vector<std::string> chunks; ///< Empty for a chunk that is not in memory.
  };

  using ChunkAction = std::function<base::Status(uint32_t aChunk)>;
  /** Runs aAction for each chunk and notes the time before it. Uses more threads if it takes long.
   * Returns the first error. */
  base::Status forEach(std::span<const uint32_t> aChunks,
                       const ChunkAction& aAction,
                       ChunkChecks& aChecks) const;
  base::Status verifyStaged(const Manifest& aManifest, uint32_t aChunk) const;

  ChunkStaging& mStaging;
  const base::Clock& mClock;
  mutable std::mutex mMutex;
  std::map<ManifestId, Version> mVersions;
  std::set<ManifestId> mNotStaged; ///< Versions known to be absent from the staging area.
};

} // namespace boragepitch::weights
