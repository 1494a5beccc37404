#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>

#include "base/Limits.h"

namespace boragepitch::standin {

/** One version's bytes: generated from a seed, or a file. */
struct Blob
{
  uint64_t size = 0;
  uint64_t seed = 0;
  std::string file; ///< Empty for generated content.

  std::string etag() const;
  /** False when the file cannot be read. */
  bool read(uint64_t aOffset, std::span<std::byte> aTarget) const;
};

/** The weight store's content by "name/version". Thread-safe. */
class BlobCatalogue
{
public:
  /** @param aRoot folder with files name/version; empty for generated content only. */
  explicit BlobCatalogue(std::string aRoot);

  /** Adds "name/version:size:seed"; false when the text is malformed. */
  bool add(const std::string& aSpec);
  std::optional<Blob> find(const std::string& aName) const;
  /** Changes a blob's seed, as if its version was replaced at the origin; false when unknown. */
  bool replace(const std::string& aName, uint64_t aSeed);

private:
  const std::string mRoot;
  mutable std::mutex mMutex;
  std::map<std::string, Blob> mBlobs;
};

/** Byte rate that all connections share. Thread-safe. */
class SharedRate
{
public:
  /** @param aBytesPerSecond 0 means unlimited. */
  explicit SharedRate(double aBytesPerSecond);

  /** Waits until aBytes may be sent. */
  void take(size_t aBytes);
  void setRate(double aBytesPerSecond);

private:
  std::mutex mMutex;
  double mRate;
  base::TokenBucket mBucket;
};

/** An inclusive byte range of a Range header, cut to the blob's size; empty when it cannot be
 * satisfied. */
struct ByteRange
{
  uint64_t first = 0;
  uint64_t last = 0;
};
std::optional<ByteRange> parseRange(const std::string& aHeader, uint64_t aSize);

} // namespace boragepitch::standin
