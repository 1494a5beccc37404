#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "weights/Manifest.h"

namespace boragepitch::weights {

/**
 * Where the bytes live: the engine's memory. Thread-safe. The caller verifies the bytes; a host
 * stores what it is given.
 */
class WeightHost
{
public:
  virtual ~WeightHost() = default;
  /** False when the host certainly holds no chunk of the manifest; spares asking for each. */
  virtual bool mayHold(const ManifestId& /*aId*/) { return true; }
  /** Makes room. Chunks of the same manifest that the host holds already are kept. TooLarge when
   * there is no room. */
  virtual base::Status allocate(const Manifest& aManifest) = 0;
  /** Stores one chunk; the last write of a chunk counts. */
  virtual base::Status write(const ManifestId& aId,
                             uint32_t aChunk,
                             std::span<const std::byte> aBytes) = 0;
  /** Reads one chunk into aTarget and returns its size; NotFound when the host does not hold it. */
  virtual base::Result<size_t> read(const ManifestId& aId,
                                    uint32_t aChunk,
                                    std::span<std::byte> aTarget) = 0;
  /** Frees the memory of a manifest; success when it was not allocated. */
  virtual base::Status release(const ManifestId& aId) = 0;
};

} // namespace boragepitch::weights
