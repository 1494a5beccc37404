#pragma once

#include <cstdint>

#include "serving/Deployment.h"

namespace boragepitch::serving {

/** Load of an engine, as one process estimates it. */
struct EngineLoad
{
  int running = 0;            ///< Requests that are producing tokens.
  double waiting = 0;         ///< Queued requests that will start before a new one.
  double waitingPromptMs = 0; ///< Time to prefill the prompts of the queued requests.
};

/**
 * Latency model of an engine with continuous batching. A pass of the engine consists of the prefill
 * of newly admitted requests and several decode steps of all running ones; at most as many requests
 * run as the engine has slots. All results are in milliseconds.
 */
class EngineModel
{
public:
  explicit EngineModel(const EngineProfile& aProfile)
    : mProfile(aProfile)
  {
  }

  /** Time to prefill one prompt alone. */
  double promptMs(uint64_t aTokens) const;
  /** Time of a decode step, which makes one token of every running request. */
  double stepMs(int aRunning) const;
  /** Time of the decode steps of a pass, after which the engine admits new requests. */
  double passMs(int aRunning) const;
  /** Mean time between two slots becoming free while all slots are taken. */
  double slotIntervalMs() const;
  /** Time from the arrival of a request to its first event. */
  double firstEventMs(const EngineLoad& aLoad, uint64_t aPromptTokens) const;

private:
  const EngineProfile& mProfile;
};

} // namespace boragepitch::serving
