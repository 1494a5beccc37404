#include "objects/Blobs.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <thread>

#include "base/Digest.h"
#include "common/BlobContent.h"

namespace boragepitch::standin {

namespace {

/** Burst size of the shared rate limit. */
constexpr double kBurstBytes = 32 << 10;
/** Placeholder rate while there is no limit: a token bucket needs a positive rate. */
constexpr double kPlaceholderRate = 1;

std::optional<uint64_t> parseNumber(std::string_view aText)
{
  uint64_t value = 0;
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::string Blob::etag() const
{
  std::string identity = file + ":" + std::to_string(size) + ":" + std::to_string(seed);
  uint64_t hash = base::fastHash(base::asBytes(identity));
  return "\"" + std::to_string(hash) + "\"";
}

bool Blob::read(uint64_t aOffset, std::span<std::byte> aTarget) const
{
  if (file.empty()) {
    fillBlob(seed, aOffset, aTarget);
    return true;
  }
  std::ifstream stream(file, std::ios::binary);
  stream.seekg(std::streamoff(aOffset));
  stream.read(reinterpret_cast<char*>(aTarget.data()), std::streamsize(aTarget.size()));
  return stream.good();
}

BlobCatalogue::BlobCatalogue(std::string aRoot)
  : mRoot(std::move(aRoot))
{
}

bool BlobCatalogue::add(const std::string& aSpec)
{
  size_t second = aSpec.rfind(':');
  size_t first =
    second == std::string::npos || second == 0 ? std::string::npos : aSpec.rfind(':', second - 1);
  if (first == std::string::npos || aSpec.find('/') >= first) {
    return false;
  }
  std::string_view text = aSpec;
  auto size = parseNumber(text.substr(first + 1, second - first - 1));
  auto seed = parseNumber(text.substr(second + 1));
  if (!size || !seed) {
    return false;
  }
  std::lock_guard lock(mMutex);
  mBlobs[aSpec.substr(0, first)] = { *size, *seed, "" };
  return true;
}

std::optional<Blob> BlobCatalogue::find(const std::string& aName) const
{
  {
    std::lock_guard lock(mMutex);
    if (auto found = mBlobs.find(aName); found != mBlobs.end()) {
      return found->second;
    }
  }
  if (mRoot.empty() || aName.find("..") != std::string::npos) {
    return std::nullopt;
  }
  std::filesystem::path path = std::filesystem::path(mRoot) / aName;
  std::error_code error;
  if (!std::filesystem::is_regular_file(path, error)) {
    return std::nullopt;
  }
  auto changed = std::filesystem::last_write_time(path, error).time_since_epoch().count();
  return Blob{ std::filesystem::file_size(path, error), uint64_t(changed), path.string() };
}

bool BlobCatalogue::replace(const std::string& aName, uint64_t aSeed)
{
  std::lock_guard lock(mMutex);
  auto found = mBlobs.find(aName);
  if (found == mBlobs.end()) {
    return false;
  }
  found->second.seed = aSeed;
  return true;
}

SharedRate::SharedRate(double aBytesPerSecond)
  : mRate(aBytesPerSecond)
  , mBucket(aBytesPerSecond > 0 ? aBytesPerSecond : kPlaceholderRate,
            kBurstBytes,
            std::chrono::steady_clock::now())
{
}

void SharedRate::take(size_t aBytes)
{
  for (;;) {
    base::Duration wait{};
    {
      std::lock_guard lock(mMutex);
      auto now = std::chrono::steady_clock::now();
      if (mRate <= 0 || mBucket.tryTake(double(aBytes), now)) {
        return;
      }
      wait = mBucket.timeUntilAvailable(now);
    }
    std::this_thread::sleep_for(wait);
  }
}

void SharedRate::setRate(double aBytesPerSecond)
{
  std::lock_guard lock(mMutex);
  mRate = aBytesPerSecond;
  mBucket.setRate(mRate > 0 ? mRate : kPlaceholderRate, std::chrono::steady_clock::now());
}

std::optional<ByteRange> parseRange(const std::string& aHeader, uint64_t aSize)
{
  std::string_view text = aHeader;
  size_t dash = text.find('-');
  if (!text.starts_with("bytes=") || dash == std::string_view::npos) {
    return std::nullopt;
  }
  auto first = parseNumber(text.substr(6, dash - 6));
  auto last = parseNumber(text.substr(dash + 1));
  if (!first || *first >= aSize || (last && *last < *first)) {
    return std::nullopt;
  }
  return ByteRange{ *first, std::min(last.value_or(aSize - 1), aSize - 1) };
}

} // namespace boragepitch::standin
