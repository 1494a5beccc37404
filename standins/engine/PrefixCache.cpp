#include "engine/PrefixCache.h"

#include "base/Digest.h"

namespace boragepitch::standin {

namespace {

constexpr size_t kMaxEvents = 4096;

} // namespace

PrefixCache::PrefixCache(size_t aBlocks,
                         base::Milliseconds aEventLag,
                         double aGapPercent,
                         uint64_t aSeed)
  : mBlocks(aBlocks)
  , mEventLag(aEventLag)
  , mGapPercent(aGapPercent)
  , mRng(aSeed)
{
}

size_t PrefixCache::use(std::string_view aModel, std::string_view aPrompt)
{
  std::lock_guard lock(mMutex);
  size_t missed = 0;
  uint64_t hash = base::fastHash(base::asBytes(aModel));
  for (size_t begin = 0; begin < aPrompt.size(); begin += kBlockBytes) {
    hash = base::fastHash(base::asBytes(aPrompt.substr(begin, kBlockBytes)), hash);
    if (auto found = mIndex.find(hash); found != mIndex.end()) {
      mRecent.splice(mRecent.begin(), mRecent, found->second);
      continue;
    }
    ++missed;
    mRecent.push_front(hash);
    mIndex[hash] = mRecent.begin();
    publish("stored", hash);
    evict();
  }
  return missed;
}

void PrefixCache::evict()
{
  while (mRecent.size() > mBlocks) {
    uint64_t block = mRecent.back();
    mRecent.pop_back();
    mIndex.erase(block);
    publish("evicted", block);
  }
}

void PrefixCache::publish(const char* aKind, uint64_t aBlock)
{
  ++mSequence;
  if (std::uniform_real_distribution<double>(0, 100)(mRng) < mGapPercent) {
    return;
  }
  mEvents.push_back({ mSequence, std::chrono::steady_clock::now(), aKind, aBlock });
  if (mEvents.size() > kMaxEvents) {
    mEvents.pop_front();
  }
}

Json::Value PrefixCache::eventsAfter(uint64_t aSequence) const
{
  std::lock_guard lock(mMutex);
  auto visible = std::chrono::steady_clock::now() - mEventLag;
  Json::Value body;
  body["events"] = Json::arrayValue;
  body["last"] = Json::UInt64(aSequence);
  for (const Event& event : mEvents) {
    if (event.sequence <= aSequence || event.time > visible) {
      continue;
    }
    Json::Value item;
    item["sequence"] = Json::UInt64(event.sequence);
    item["kind"] = event.kind;
    // Not every JSON parser keeps the precision of 64-bit numbers.
    item["block"] = std::to_string(event.block);
    body["events"].append(item);
    body["last"] = Json::UInt64(event.sequence);
  }
  return body;
}

} // namespace boragepitch::standin
