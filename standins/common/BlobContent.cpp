#include "common/BlobContent.h"

#include <algorithm>
#include <cstring>

namespace boragepitch::standin {

namespace {

/** SplitMix64 over the word's index, so that any word can be computed on its own. */
uint64_t wordAt(uint64_t aSeed, uint64_t aIndex)
{
  uint64_t z = aSeed * 0xd1342543de82ef95ULL + (aIndex + 1) * 0x9e3779b97f4a7c15ULL;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

} // namespace

void fillBlob(uint64_t aSeed, uint64_t aOffset, std::span<std::byte> aTarget)
{
  size_t done = 0;
  while (done < aTarget.size()) {
    uint64_t position = aOffset + done;
    uint64_t word = wordAt(aSeed, position / 8);
    size_t skip = position % 8;
    size_t count = std::min<size_t>(8 - skip, aTarget.size() - done);
    std::memcpy(aTarget.data() + done, reinterpret_cast<const char*>(&word) + skip, count);
    done += count;
  }
}

} // namespace boragepitch::standin
