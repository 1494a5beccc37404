#include "routing/CacheHints.h"

#include "base/Digest.h"

namespace boragepitch::routing {

namespace {

/** Prompts with the same first characters share cached state worth the affinity. */
constexpr size_t kPrefixCharacters = 256;
constexpr size_t kMinPromptCharacters = 32;

} // namespace

CacheHints::CacheHints(size_t aMaxPrefixes, base::Duration aMaxAge)
  : mMaxPrefixes(aMaxPrefixes)
  , mMaxAge(aMaxAge)
{
}

void CacheHints::apply(const CacheEvent& aEvent, base::TimePoint aNow)
{
  std::lock_guard lock(mMutex);
  // Bounds the memory as endpoints come and go; clearing everything only costs some cache hits.
  if (mSources.size() >= mMaxPrefixes && !mSources.contains(aEvent.endpoint)) {
    mSources.clear();
    mHints.clear();
    mInsertionOrder.clear();
  }
  EventSource& source = mSources[aEvent.endpoint];
  bool newInstance = source.instance != aEvent.instance;
  bool gap = aEvent.sequence != 0 && source.sequence != 0 && aEvent.sequence > source.sequence + 1;
  if (!newInstance && aEvent.sequence != 0 && aEvent.sequence <= source.sequence) {
    return;
  }
  if (newInstance || gap) {
    ++source.generation;
    source.instance = aEvent.instance;
    source.sequence = 0;
  }
  if (aEvent.sequence != 0) {
    source.sequence = aEvent.sequence;
  }
  insert(aEvent, source.generation, aNow);
}

void CacheHints::insert(const CacheEvent& aEvent, uint64_t aGeneration, base::TimePoint aNow)
{
  auto found = mHints.find(aEvent.prefix);
  bool sameEndpoint = found != mHints.end() && found->second.endpoint == aEvent.endpoint;
  if (aEvent.evicted && !sameEndpoint) {
    return;
  }
  if (found != mHints.end()) {
    mInsertionOrder.erase(found->second.position);
    mHints.erase(found);
  }
  if (aEvent.evicted) {
    return;
  }
  if (mHints.size() >= mMaxPrefixes) {
    mHints.erase(mInsertionOrder.front());
    mInsertionOrder.pop_front();
  }
  mInsertionOrder.push_back(aEvent.prefix);
  mHints[aEvent.prefix] =
    Hint{ aEvent.endpoint, aGeneration, aNow, std::prev(mInsertionOrder.end()) };
}

std::string CacheHints::find(uint64_t aPrefix, base::TimePoint aNow) const
{
  std::lock_guard lock(mMutex);
  auto found = mHints.find(aPrefix);
  if (found == mHints.end() || aNow - found->second.recordedAt > mMaxAge) {
    return {};
  }
  auto source = mSources.find(found->second.endpoint);
  bool valid = source != mSources.end() && source->second.generation == found->second.generation;
  return valid ? found->second.endpoint : std::string();
}

size_t CacheHints::size() const
{
  std::lock_guard lock(mMutex);
  return mHints.size();
}

uint64_t prefixHash(std::string_view aModel, std::string_view aPrompt)
{
  if (aPrompt.size() < kMinPromptCharacters) {
    return 0;
  }
  uint64_t seed = base::fastHash(base::asBytes(aModel));
  return base::fastHash(base::asBytes(aPrompt.substr(0, kPrefixCharacters)), seed);
}

} // namespace boragepitch::routing
