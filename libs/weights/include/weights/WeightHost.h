#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "weights/Manifest.h"

namespace boragepitch::weights {

/**
 * Storage of the weights: the engine's memory. Thread-safe. The caller verifies the bytes; a host
 * stores them unchecked.
 */
class WeightHost
{
public:
  virtual ~WeightHost() = default;
  /** False when the host certainly holds no chunk of the manifest, so that none needs to be read
   * back. */
  virtual bool mayHold(const ManifestId& /*aId*/) { return true; }
  /** Allocates memory for a manifest. Its chunks that the host already holds are kept. TooLarge
   * when there is not enough memory. */
  virtual base::Status allocate(const Manifest& aManifest) = 0;
  /** Stores one chunk, replacing an earlier write of it. */
  virtual base::Status write(const ManifestId& aId,
                             uint32_t aChunk,
                             std::span<const std::byte> aBytes) = 0;
  /** Reads one chunk into aTarget and returns its size; NotFound when the host does not hold it. */
  virtual base::Result<size_t> read(const ManifestId& aId,
                                    uint32_t aChunk,
                                    std::span<std::byte> aTarget) = 0;
  /** Frees the memory of a manifest; succeeds when it was not allocated. */
  virtual base::Status release(const ManifestId& aId) = 0;
};

} // namespace boragepitch::weights
