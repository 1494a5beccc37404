#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "serving/Deployment.h"

namespace boragepitch::overload {

/** Work of an engine for one request. */
struct EngineWork
{
  uint64_t id = 0;
  uint64_t promptTokens = 0;
  uint64_t answerTokens = 0;
};

/** An event of a stream, at the end of a pass. */
struct EngineEvent
{
  uint64_t id = 0;
  bool isLast = false;
};

/**
 * An engine with continuous batching in simulated time. Each pass prefills prompts and generates
 * several tokens for every running request. Requests beyond the slots wait in a FIFO queue.
 */
class EngineSim
{
public:
  /** @param aProfile outlives the engine. */
  EngineSim(const serving::EngineProfile& aProfile, int aMaxQueueLength);

  /** Returns false when the queue is full and the request is rejected. */
  bool add(const EngineWork& aWork);
  /** Removes a request whose caller left or whose work the engine lost. */
  void remove(uint64_t aId);
  std::vector<uint64_t> removeAll();

  bool isIdle() const { return mActive.empty() && mWaiting.empty(); }
  /** Starts a pass; must not be called while idle. @return its duration, milliseconds. */
  double beginPass();
  /** Ends the current pass. @return the events that it produced. */
  std::vector<EngineEvent> endPass();

  int running() const { return static_cast<int>(mActive.size()); }
  int queued() const { return static_cast<int>(mWaiting.size()); }

private:
  struct Active
  {
    EngineWork work;
    double promptTokensLeft = 0;
    double answerTokensLeft = 0;
    bool generates = false; ///< Whether it generates tokens in the current pass.
  };

  const serving::EngineProfile& mProfile;
  const int mMaxQueueLength;
  std::vector<Active> mActive;
  std::deque<EngineWork> mWaiting;
};

} // namespace boragepitch::overload
