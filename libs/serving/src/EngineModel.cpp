#include "serving/EngineModel.h"

#include <algorithm>

namespace boragepitch::serving {

namespace {
constexpr double kPerMillion = 1e-6;
constexpr double kPerThousand = 1e-3;
/** Share of a pass that a new request waits on average: arrivals are spread evenly over it. */
constexpr double kMeanPassWaitShare = 0.5;
} // namespace

double EngineModel::promptMs(uint64_t aTokens) const
{
  auto tokens = static_cast<double>(aTokens);
  double tokensPerMs = std::max(mProfile.promptTokensPerSecond, 1.0) * kPerThousand;
  double millionPairs = tokens * tokens / 2 * kPerMillion;
  return tokens / tokensPerMs + millionPairs * mProfile.msPerMillionTokenPairs;
}

double EngineModel::stepMs(int aRunning) const
{
  double contextTokens = aRunning * (mProfile.meanPromptTokens + mProfile.meanAnswerTokens / 2);
  return mProfile.stepMs + mProfile.perSequenceMs * aRunning +
         mProfile.contextMsPerThousand * contextTokens * kPerThousand;
}

double EngineModel::passMs(int aRunning) const
{
  return mProfile.stepsPerPass * stepMs(aRunning);
}

double EngineModel::slotIntervalMs() const
{
  int slots = std::max(mProfile.slots, 1);
  return promptMs(static_cast<uint64_t>(mProfile.meanPromptTokens)) +
         mProfile.meanAnswerTokens * stepMs(slots) / slots;
}

double EngineModel::firstEventMs(const EngineLoad& aLoad, uint64_t aPromptTokens) const
{
  double passTimeMs = passMs(aLoad.running);
  double freeSlots = std::max(0, mProfile.slots - aLoad.running);
  double slotsToWaitFor = std::max(0.0, aLoad.waiting + 1 - freeSlots);
  double passWaitMs = aLoad.running > 0 ? kMeanPassWaitShare * passTimeMs : 0;
  return passWaitMs + slotsToWaitFor * slotIntervalMs() + aLoad.waitingPromptMs +
         promptMs(aPromptTokens) + passTimeMs;
}

} // namespace boragepitch::serving
