#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "serving/Deployment.h"

namespace boragepitch::overload {

/** What an engine has to do for a request. */
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
 * A continuously batching engine in simulated time: it works in passes, each of which reads prompts
 * and makes several tokens of every running request. Requests beyond its slots wait in order.
 */
class EngineSim
{
public:
  /** @param aProfile outlives the engine. */
  EngineSim(const serving::EngineProfile& aProfile, int aMostWaiting);

  /** False when too many wait already: the request is rejected. */
  bool add(const EngineWork& aWork);
  /** The caller left, or the engine lost its work. */
  void remove(uint64_t aId);
  std::vector<uint64_t> removeAll();

  bool isIdle() const { return mActive.empty() && mWaiting.empty(); }
  /** Starts a pass. @return its length, milliseconds. Not while idle. */
  double beginPass();
  /** Ends the pass that was begun. @return the events that it made. */
  std::vector<EngineEvent> endPass();

  int running() const { return static_cast<int>(mActive.size()); }
  int queued() const { return static_cast<int>(mWaiting.size()); }

private:
  struct Active
  {
    EngineWork work;
    double promptLeft = 0; ///< Tokens.
    double answerLeft = 0; ///< Tokens.
    bool writes = false;   ///< In the pass that was begun.
  };

  const serving::EngineProfile& mProfile;
  const int mMostWaiting;
  std::vector<Active> mActive;
  std::deque<EngineWork> mWaiting;
};

} // namespace boragepitch::overload
