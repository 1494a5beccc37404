#include "weights/Bitmap.h"

#include <bit>
#include <span>

#include "base/Digest.h"

namespace boragepitch::weights {

namespace {
constexpr uint32_t kWordBits = 64;

int hexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return aDigit - 'a' + 10;
  }
  return -1;
}
} // namespace

Bitmap::Bitmap(uint32_t aSize)
  : mSize(aSize)
  , mWords((size_t{ aSize } + kWordBits - 1) / kWordBits)
{
}

bool Bitmap::test(uint32_t aIndex) const
{
  return aIndex < mSize && (mWords[aIndex / kWordBits] >> (aIndex % kWordBits) & 1) != 0;
}

bool Bitmap::set(uint32_t aIndex)
{
  if (aIndex >= mSize || test(aIndex)) {
    return false;
  }
  mWords[aIndex / kWordBits] |= uint64_t{ 1 } << (aIndex % kWordBits);
  ++mCount;
  return true;
}

bool Bitmap::clear(uint32_t aIndex)
{
  if (!test(aIndex)) {
    return false;
  }
  mWords[aIndex / kWordBits] &= ~(uint64_t{ 1 } << (aIndex % kWordBits));
  --mCount;
  return true;
}

uint32_t Bitmap::firstMissing() const
{
  for (size_t word = 0; word < mWords.size(); ++word) {
    if (~mWords[word] != 0) {
      auto index = static_cast<uint32_t>(word * kWordBits + std::countr_one(mWords[word]));
      return index < mSize ? index : mSize;
    }
  }
  return mSize;
}

std::string Bitmap::toHex() const
{
  std::string bytes((size_t{ mSize } + 7) / 8, '\0');
  for (size_t i = 0; i < bytes.size(); ++i) {
    bytes[i] = static_cast<char>(mWords[i / 8] >> (i % 8 * 8) & 0xff);
  }
  return base::toHex(base::asBytes(bytes));
}

std::optional<Bitmap> Bitmap::fromHex(std::string_view aHex, uint32_t aSize)
{
  if (aHex.size() != (size_t{ aSize } + 7) / 8 * 2) {
    return std::nullopt;
  }
  Bitmap bitmap(aSize);
  for (size_t i = 0; i < aHex.size(); i += 2) {
    int high = hexValue(aHex[i]);
    int low = hexValue(aHex[i + 1]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    auto byte = static_cast<unsigned>(high * 16 + low);
    for (uint32_t bit = 0; bit < 8; ++bit) {
      if ((byte >> bit & 1) != 0 && !bitmap.set(static_cast<uint32_t>(i * 4 + bit))) {
        return std::nullopt;
      }
    }
  }
  return bitmap;
}

} // namespace boragepitch::weights
