#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace boragepitch::standin {

/** Fills aTarget with the bytes at aOffset of the unbounded pseudo-random content of aSeed. */
void fillBlob(uint64_t aSeed, uint64_t aOffset, std::span<std::byte> aTarget);

} // namespace boragepitch::standin
