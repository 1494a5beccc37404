#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace boragepitch::base {

/** A SHA-256 value. */
using Digest = std::array<std::byte, 32>;

std::span<const std::byte> asBytes(std::string_view aText);
std::string_view asText(std::span<const std::byte> aBytes);

Digest sha256(std::span<const std::byte> aBytes);

/** Incremental SHA-256. */
class Sha256
{
public:
  Sha256();
  ~Sha256();
  Sha256(Sha256&&) noexcept;
  Sha256& operator=(Sha256&&) noexcept;

  void update(std::span<const std::byte> aBytes);
  /** Returns the digest; the object must not be used afterwards. */
  Digest finish();

private:
  struct State;
  std::unique_ptr<State> mState;
};

Digest hmacSha256(std::span<const std::byte> aKey, std::span<const std::byte> aBytes);
/** Compares in constant time, so that the duration reveals nothing about the contents. */
bool equalConstantTime(const Digest& aLeft, const Digest& aRight);

std::string toHex(std::span<const std::byte> aBytes);
/** Parses exactly 64 lower-case hexadecimal digits; empty on any other input. */
std::optional<Digest> digestFromHex(std::string_view aHex);

/** Fast non-cryptographic 64-bit hash (xxHash). */
uint64_t fastHash(std::span<const std::byte> aBytes, uint64_t aSeed = 0);

} // namespace boragepitch::base
