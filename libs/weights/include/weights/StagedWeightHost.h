#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

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
  /** NotFound when the chunk is absent. */
  virtual base::Result<std::string> chunk(const std::string& aModel, uint32_t aChunk) = 0;
};

/**
 * Keeps the chunks of several versions in this process's memory and writes a version to the
 * engine's staging area only when it is to be loaded. Until then the staged version stays usable:
 * an engine that restarts during a transfer loads it again. Thread-safe.
 */
class StagedWeightHost final : public WeightHost
{
public:
  explicit StagedWeightHost(ChunkStaging& aStaging);

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
   */
  base::Status commit(const Manifest& aManifest);
  size_t memoryBytes() const;

private:
  struct Version
  {
    std::string model;
    std::vector<std::string> chunks; ///< Empty for a chunk that is not in memory.
  };

  ChunkStaging& mStaging;
  mutable std::mutex mMutex;
  std::map<ManifestId, Version> mVersions;
  std::set<ManifestId> mNotStaged; ///< Versions known to be absent from the staging area.
};

} // namespace boragepitch::weights
