#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/Digest.h"

namespace boragepitch::standin {

/**
 * Token aIndex of the stand-in engine's response: a function of the SHA-256 (64 hex digits) of the
 * weight bytes that are really loaded, the prompt and the index, so that partial or mixed weights
 * change the tokens. 16 hexadecimal digits.
 */
inline std::string tokenAt(std::string_view aLoadedSha256,
                           std::string_view aPrompt,
                           uint64_t aIndex)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  uint64_t seed = base::fastHash(base::asBytes(aLoadedSha256), aIndex);
  uint64_t value = base::fastHash(base::asBytes(aPrompt), seed);
  std::string token(16, '0');
  for (int i = 15; i >= 0; --i, value >>= 4) {
    token[i] = kDigits[value & 0xf];
  }
  return token;
}

} // namespace boragepitch::standin
