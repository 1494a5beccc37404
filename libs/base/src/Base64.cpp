#include "base/Base64.h"

#include <openssl/evp.h>

namespace boragepitch::base {

std::string toBase64(std::string_view aBytes)
{
  // EVP_EncodeBlock also writes a terminating zero byte, for which std::string has room.
  std::string text((aBytes.size() + 2) / 3 * 4, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(aBytes.data()),
                  static_cast<int>(aBytes.size()));
  return text;
}

std::optional<std::string> fromBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / 4 * 3, '\0');
  int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                             reinterpret_cast<const unsigned char*>(aText.data()),
                             static_cast<int>(aText.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock decodes padding to zero bytes and counts them.
  size_t padding = 0;
  while (padding < 2 && padding < aText.size() && aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<size_t>(size) - padding);
  return bytes;
}

} // namespace boragepitch::base
