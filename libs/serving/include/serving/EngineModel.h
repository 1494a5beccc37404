#pragma once

#include <cstdint>

#include "serving/Deployment.h"

namespace boragepitch::serving {

/** Work at an engine, as one process sees it. */
struct EngineLoad
{
  int running = 0;            ///< Requests that produce tokens.
  double waiting = 0;         ///< Requests that will start before a new one.
  double waitingPromptMs = 0; ///< Time to read their prompts.
};

/**
 * Predicts a continuously batching engine: it reads the prompts of new requests between the token
 * steps of the others, several steps a pass, and starts at most as many requests as it has slots.
 * Pure; all results are milliseconds.
 */
class EngineModel
{
public:
  explicit EngineModel(const EngineProfile& aProfile)
    : mProfile(aProfile)
  {
  }

  /** Time to read a prompt when nothing else is read. */
  double promptMs(uint64_t aTokens) const;
  /** One token of every running request. */
  double stepMs(int aRunning) const;
  /** Between two chances of a new request to start. */
  double passMs(int aRunning) const;
  /** Between two requests that end, while all slots are taken and prompts are read. */
  double slotIntervalMs() const;
  /** From the arrival of a request until its first event. */
  double firstEventMs(const EngineLoad& aLoad, uint64_t aPromptTokens) const;

private:
  const EngineProfile& mProfile;
};

} // namespace boragepitch::serving
