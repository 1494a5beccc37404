#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/Digest.h"
#include "base/Error.h"

namespace boragepitch::weights {

/** SHA-256 of the canonical form of a manifest. */
struct ManifestId
{
  base::Digest value{};

  auto operator<=>(const ManifestId&) const = default;
  /** 64 lower-case hexadecimal digits. */
  std::string toString() const { return base::toHex(value); }
  static base::Result<ManifestId> parse(std::string_view aHex);
};

/** Limits for parsing a manifest from outside the process. */
struct ManifestLimits
{
  uint64_t size = uint64_t{ 1 } << 44; ///< Largest model, bytes.
  uint32_t chunkSize = 64U << 20;      ///< Largest chunk, bytes.
  uint32_t chunks = 1U << 18;          ///< Most chunks.
  size_t textBytes = 32U << 20;        ///< Longest text form, bytes.
};

/**
 * Immutable list of the chunks of one model version. Its id is the digest of its canonical form, so
 * an id always refers to the same content.
 */
class Manifest
{
public:
  /** Builds a manifest from the bytes of a model, appended in order in parts of any size. */
  class Builder
  {
  public:
    Builder(std::string aModel, std::string aVersion, uint32_t aChunkSize);
    void append(std::span<const std::byte> aBytes);
    /** Invalid when no byte was appended or a limit is exceeded. Call once. */
    base::Result<Manifest> build();

  private:
    void endChunk();

    std::string mModel;
    std::string mVersion;
    uint32_t mChunkSize;
    uint64_t mSize = 0;
    uint32_t mBytesInChunk = 0;
    base::Sha256 mContentHash;
    base::Sha256 mChunkHash;
    std::vector<base::Digest> mDigests;
  };

  static base::Result<Manifest> fromBytes(std::string aModel,
                                          std::string aVersion,
                                          uint32_t aChunkSize,
                                          std::span<const std::byte> aBytes);
  /** For a source that lists only the digests of equally long chunks: contentDigest() is empty, and
   * the content is verified by the chunk digests alone. */
  static base::Result<Manifest> fromDigests(std::string aModel,
                                            std::string aVersion,
                                            uint32_t aChunkSize,
                                            std::vector<base::Digest> aDigests);
  /** Reads the JSON form and checks it against aLimits. */
  static base::Result<Manifest> parse(std::string_view aText, const ManifestLimits& aLimits = {});
  /** Like parse(); Corrupt when the id of the manifest is not aId. */
  static base::Result<Manifest> parseExpecting(const ManifestId& aId,
                                               std::string_view aText,
                                               const ManifestLimits& aLimits = {});

  /** JSON with sorted keys and without spaces. */
  std::string canonical() const;
  const ManifestId& id() const { return mId; }
  const std::string& model() const { return mModel; }
  const std::string& version() const { return mVersion; }
  uint64_t size() const { return mSize; }
  uint32_t chunkSize() const { return mChunkSize; }
  uint32_t chunkCount() const { return static_cast<uint32_t>(mChunks.size()); }
  /** Offset in bytes of a chunk; aChunk must be below chunkCount(). */
  uint64_t offsetOf(uint32_t aChunk) const { return uint64_t{ aChunk } * mChunkSize; }
  /** Size of a chunk in bytes; only the last may be smaller than chunkSize(). */
  uint32_t sizeOf(uint32_t aChunk) const;
  const base::Digest& digestOf(uint32_t aChunk) const { return mChunks[aChunk]; }
  const std::optional<base::Digest>& contentDigest() const { return mContentDigest; }
  /** True when aBytes is exactly the declared content of aChunk. */
  bool verifies(uint32_t aChunk, std::span<const std::byte> aBytes) const;

private:
  Manifest() = default;

  ManifestId mId;
  std::string mModel;
  std::string mVersion;
  uint64_t mSize = 0;
  uint32_t mChunkSize = 0;
  std::optional<base::Digest> mContentDigest;
  std::vector<base::Digest> mChunks;
};

} // namespace boragepitch::weights
