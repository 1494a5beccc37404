#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragepitch::weights {

/** Fixed-size set of chunk numbers. */
class Bitmap
{
public:
  explicit Bitmap(uint32_t aSize = 0);

  uint32_t size() const { return mSize; }
  uint32_t count() const { return mCount; }
  bool all() const { return mCount == mSize; }
  bool none() const { return mCount == 0; }
  /** False for a number outside the set's range. */
  bool test(uint32_t aIndex) const;
  /** aIndex must be below size(). Returns whether the bit changed. */
  bool set(uint32_t aIndex);
  bool clear(uint32_t aIndex);
  /** Smallest number not in the set; size() when the set is full. */
  uint32_t firstMissing() const;

  /** Hexadecimal, one byte (two digits) per eight chunks; chunk 0 is the lowest bit of the first
   * byte. */
  std::string toHex() const;
  /** Empty when aHex has the wrong length for aSize chunks, an invalid digit or a padding bit set.
   */
  static std::optional<Bitmap> fromHex(std::string_view aHex, uint32_t aSize);

  bool operator==(const Bitmap&) const = default;

private:
  uint32_t mSize;
  uint32_t mCount = 0;
  std::vector<uint64_t> mWords;
};

} // namespace boragepitch::weights
