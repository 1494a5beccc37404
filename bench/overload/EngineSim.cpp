#include "EngineSim.h"

#include <algorithm>

#include "serving/EngineModel.h"

namespace boragepitch::overload {

namespace {
/** Prompt tokens that are prefilled in one token step. */
constexpr double kChunkTokens = 2048;
} // namespace

EngineSim::EngineSim(const serving::EngineProfile& aProfile, int aMaxQueueLength)
  : mProfile(aProfile)
  , mMaxQueueLength(aMaxQueueLength)
{
}

bool EngineSim::add(const EngineWork& aWork)
{
  if (queued() >= mMaxQueueLength) {
    return false;
  }
  mWaiting.push_back(aWork);
  return true;
}

void EngineSim::remove(uint64_t aId)
{
  std::erase_if(mWaiting, [&](const EngineWork& aWork) { return aWork.id == aId; });
  std::erase_if(mActive, [&](const Active& aActive) { return aActive.work.id == aId; });
}

std::vector<uint64_t> EngineSim::removeAll()
{
  std::vector<uint64_t> ids;
  for (const Active& active : mActive) {
    ids.push_back(active.work.id);
  }
  for (const EngineWork& work : mWaiting) {
    ids.push_back(work.id);
  }
  mActive.clear();
  mWaiting.clear();
  return ids;
}

double EngineSim::beginPass()
{
  while (!mWaiting.empty() && running() < mProfile.slots) {
    const EngineWork& work = mWaiting.front();
    mActive.push_back({ work,
                        static_cast<double>(work.promptTokens),
                        static_cast<double>(std::max<uint64_t>(work.answerTokens, 1)) });
    mWaiting.pop_front();
  }
  serving::EngineModel model(mProfile);
  bool anyWriter = std::any_of(mActive.begin(), mActive.end(), [](const Active& aActive) {
    return aActive.promptTokensLeft <= 0;
  });
  double readable = kChunkTokens * (anyWriter ? mProfile.stepsPerPass : 1);
  double readMs = 0;
  int generating = 0;
  for (Active& active : mActive) {
    active.generates = active.promptTokensLeft <= 0;
    if (!active.generates && readable > 0) {
      double tokens = std::min(active.promptTokensLeft, readable);
      auto whole = static_cast<double>(active.work.promptTokens);
      readMs += model.promptMs(active.work.promptTokens) * tokens / std::max(whole, 1.0);
      active.promptTokensLeft -= tokens;
      readable -= tokens;
      // The pass that finishes the prefill also generates the first token.
      active.generates = active.promptTokensLeft <= 0;
    }
    generating += active.generates ? 1 : 0;
  }
  return readMs + (generating > 0 ? model.passMs(generating) : 0);
}

std::vector<EngineEvent> EngineSim::endPass()
{
  std::vector<EngineEvent> events;
  for (Active& active : mActive) {
    if (active.generates) {
      active.answerTokensLeft -= mProfile.stepsPerPass;
      events.push_back({ active.work.id, active.answerTokensLeft <= 0 });
    }
  }
  std::erase_if(mActive, [](const Active& aActive) { return aActive.answerTokensLeft <= 0; });
  return events;
}

} // namespace boragepitch::overload
