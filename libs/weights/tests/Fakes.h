#pragma once

#include <atomic>
#include <cstring>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "control/FleetView.h"
#include "net/HttpServer.h"
#include "stores/Stores.h"
#include "support/TestAddress.h"
#include "weights/Distributor.h"

namespace boragepitch::test {

using Bytes = std::vector<std::byte>;

inline Bytes randomBytes(size_t aSize, uint64_t aSeed)
{
  base::Rng rng(aSeed);
  Bytes bytes(aSize);
  for (std::byte& byte : bytes) {
    byte = static_cast<std::byte>(rng());
  }
  return bytes;
}

/** Waits until the condition holds; the default limit is long because the machine may be busy. */
template<typename Condition>
bool eventually(const Condition& aCondition, std::chrono::seconds aLimit = std::chrono::seconds(60))
{
  auto end = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(base::Milliseconds(5));
  }
  return true;
}

class FakeFleet final : public control::FleetView
{
public:
  std::shared_ptr<const resources::Snapshot> config() const override { return nullptr; }
  std::shared_ptr<const control::NodeTable> nodes() const override
  {
    std::lock_guard lock(mMutex);
    return mNodes;
  }
  bool mayStartNewWork(base::TimePoint /*aNow*/) const override { return true; }
  void publish(control::NodeState aSelf) override
  {
    std::lock_guard lock(mMutex);
    auto nodes = std::make_shared<control::NodeTable>(*mNodes);
    auto id = aSelf.id;
    (*nodes)[id] = { std::move(aSelf), control::Liveness::Alive };
    mNodes = std::move(nodes);
  }
  void remove(const std::string& aId)
  {
    std::lock_guard lock(mMutex);
    auto nodes = std::make_shared<control::NodeTable>(*mNodes);
    nodes->erase(aId);
    mNodes = std::move(nodes);
  }

private:
  mutable std::mutex mMutex;
  std::shared_ptr<const control::NodeTable> mNodes = std::make_shared<control::NodeTable>();
};

/** Weight store with one blob. */
class FakeOrigin final : public stores::WeightOrigin
{
public:
  explicit FakeOrigin(Bytes aBlob, double aRate = 0)
    : mBlob(std::move(aBlob))
    , mRate(aRate)
    , mAvailableAt(std::chrono::steady_clock::now())
  {
  }

  base::Status read(std::string_view /*aName*/,
                    uint64_t aOffset,
                    std::span<std::byte> aTarget) override
  {
    ++calls;
    if (down) {
      return base::fail(base::ErrorKind::Unavailable, "origin", "down", "retry");
    }
    std::unique_lock lock(mMutex);
    if (aOffset + aTarget.size() > mBlob.size()) {
      return base::fail(base::ErrorKind::Invalid, "origin", "out of range", "");
    }
    std::copy_n(mBlob.begin() + static_cast<ptrdiff_t>(aOffset), aTarget.size(), aTarget.begin());
    bytes += aTarget.size();
    if (mRate > 0) {
      std::chrono::duration<double> time(static_cast<double>(aTarget.size()) / mRate);
      mAvailableAt = std::max(mAvailableAt, std::chrono::steady_clock::now()) +
                     std::chrono::duration_cast<base::Duration>(time);
      auto until = mAvailableAt;
      lock.unlock();
      std::this_thread::sleep_until(until);
    }
    return {};
  }
  base::Result<uint64_t> size(std::string_view /*aName*/) override { return mBlob.size(); }
  void replace(Bytes aBlob)
  {
    std::lock_guard lock(mMutex);
    mBlob = std::move(aBlob);
  }

  std::atomic<bool> down{ false };
  std::atomic<uint64_t> bytes{ 0 };
  std::atomic<uint64_t> calls{ 0 };

private:
  std::mutex mMutex;
  Bytes mBlob;
  double mRate;
  base::TimePoint mAvailableAt;
};

class FakeObjects final : public stores::ObjectClient
{
public:
  base::Status put(std::string_view aKey, std::string_view aValue) override
  {
    std::lock_guard lock(mMutex);
    mObjects[std::string(aKey)] = aValue;
    return {};
  }
  base::Result<std::string> fetch(std::string_view aKey, size_t /*aMaxBytes*/) override
  {
    std::lock_guard lock(mMutex);
    auto found = mObjects.find(std::string(aKey));
    if (found == mObjects.end()) {
      return base::fail(base::ErrorKind::NotFound, std::string(aKey), "absent", "");
    }
    return found->second;
  }

private:
  std::mutex mMutex;
  std::map<std::string, std::string> mObjects;
};

/** Engine memory with a capacity limit; counts writes. */
class MemoryHost final : public weights::WeightHost
{
public:
  explicit MemoryHost(size_t aCapacity = size_t{ 1 } << 40)
    : mCapacity(aCapacity)
  {
  }

  base::Status allocate(const weights::Manifest& aManifest) override
  {
    std::lock_guard lock(mMutex);
    auto& staged = mStaged[aManifest.id()];
    size_t used = 0;
    for (const auto& [id, other] : mStaged) {
      used += other.size;
    }
    if (staged.size == 0 && used + aManifest.size() > mCapacity) {
      mStaged.erase(aManifest.id());
      return base::fail(base::ErrorKind::TooLarge, "room", "no room", "");
    }
    staged.size = aManifest.size();
    return {};
  }
  base::Status write(const weights::ManifestId& aId,
                     uint32_t aChunk,
                     std::span<const std::byte> aBytes) override
  {
    std::lock_guard lock(mMutex);
    auto found = mStaged.find(aId);
    if (found == mStaged.end()) {
      return base::fail(base::ErrorKind::NotFound, "manifest", "not staged", "");
    }
    found->second.chunks[aChunk] = Bytes(aBytes.begin(), aBytes.end());
    ++writes;
    return {};
  }
  base::Result<size_t> read(const weights::ManifestId& aId,
                            uint32_t aChunk,
                            std::span<std::byte> aTarget) override
  {
    std::lock_guard lock(mMutex);
    auto found = mStaged.find(aId);
    if (found == mStaged.end() || !found->second.chunks.contains(aChunk)) {
      return base::fail(base::ErrorKind::NotFound, "chunk", "absent", "");
    }
    const Bytes& chunk = found->second.chunks[aChunk];
    std::copy_n(chunk.begin(), std::min(chunk.size(), aTarget.size()), aTarget.begin());
    return chunk.size();
  }
  base::Status release(const weights::ManifestId& aId) override
  {
    std::lock_guard lock(mMutex);
    mStaged.erase(aId);
    return {};
  }

  bool isStaged(const weights::ManifestId& aId) const
  {
    std::lock_guard lock(mMutex);
    return mStaged.contains(aId);
  }
  /** All chunks in order. */
  Bytes content(const weights::ManifestId& aId) const
  {
    std::lock_guard lock(mMutex);
    Bytes whole;
    auto found = mStaged.find(aId);
    if (found != mStaged.end()) {
      for (const auto& [number, chunk] : found->second.chunks) {
        whole.insert(whole.end(), chunk.begin(), chunk.end());
      }
    }
    return whole;
  }

  std::atomic<uint64_t> writes{ 0 };

private:
  struct Staged
  {
    size_t size = 0;
    std::map<uint32_t, Bytes> chunks;
  };
  size_t mCapacity;
  mutable std::mutex mMutex;
  std::map<weights::ManifestId, Staged> mStaged;
};

} // namespace boragepitch::test
