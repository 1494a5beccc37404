#include "base/Digest.h"

#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace boragepitch::base {

std::span<const std::byte> asBytes(std::string_view aText)
{
  return std::as_bytes(std::span<const char>(aText.data(), aText.size()));
}

std::string_view asText(std::span<const std::byte> aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

struct Sha256::State
{
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  State() = default;
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  ~State() { EVP_MD_CTX_free(context); }
};

Sha256::Sha256()
  : mState(std::make_unique<State>())
{
  if (EVP_DigestInit_ex(mState->context, EVP_sha256(), nullptr) != 1) {
    throw std::runtime_error("SHA-256 is not available in the crypto library");
  }
}

Sha256::~Sha256() = default;
Sha256::Sha256(Sha256&&) noexcept = default;
Sha256& Sha256::operator=(Sha256&&) noexcept = default;

void Sha256::update(std::span<const std::byte> aBytes)
{
  EVP_DigestUpdate(mState->context, aBytes.data(), aBytes.size());
}

Digest Sha256::finish()
{
  Digest digest{};
  unsigned length = 0;
  EVP_DigestFinal_ex(mState->context, reinterpret_cast<unsigned char*>(digest.data()), &length);
  return digest;
}

Digest sha256(std::span<const std::byte> aBytes)
{
  Sha256 hash;
  hash.update(aBytes);
  return hash.finish();
}

Digest hmacSha256(std::span<const std::byte> aKey, std::span<const std::byte> aBytes)
{
  Digest digest{};
  unsigned length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aBytes.data()),
       aBytes.size(),
       reinterpret_cast<unsigned char*>(digest.data()),
       &length);
  return digest;
}

bool equalConstantTime(const Digest& aLeft, const Digest& aRight)
{
  return CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string toHex(std::span<const std::byte> aBytes)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(aBytes.size() * 2);
  for (std::byte value : aBytes) {
    hex += kDigits[std::to_integer<unsigned>(value) >> 4];
    hex += kDigits[std::to_integer<unsigned>(value) & 0xf];
  }
  return hex;
}

static int hexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return aDigit - 'a' + 10;
  }
  return -1;
}

std::optional<Digest> digestFromHex(std::string_view aHex)
{
  Digest digest{};
  if (aHex.size() != digest.size() * 2) {
    return std::nullopt;
  }
  for (size_t i = 0; i < digest.size(); ++i) {
    int high = hexValue(aHex[2 * i]);
    int low = hexValue(aHex[2 * i + 1]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    digest[i] = static_cast<std::byte>(high * 16 + low);
  }
  return digest;
}

uint64_t fastHash(std::span<const std::byte> aBytes, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace boragepitch::base
