#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/Time.h"

namespace boragepitch::rollout {

/** What an engine says of its weights. */
struct EngineWeights
{
  uint64_t born = 0;    ///< Start of the engine; a restart forgets what it held.
  uint64_t version = 0; ///< 0 while it holds no complete weights.
  bool isBusy = false;  ///< An order is under way.
};

struct SwitchOptions
{
  /** An order that changed nothing after this time is given again. */
  base::Milliseconds orderTimeout{ 4000 };
};

/**
 * Decides when one endpoint loads its staged weights. An engine that holds none loads at once; one
 * that serves an older version waits for its turn, so that the endpoints of a service do not all
 * stop taking requests together. Answers a rollout under full load. Not thread-safe.
 */
class SwitchCore
{
public:
  explicit SwitchCore(SwitchOptions aOptions = {});

  /** @param aTurn earliest time at which a serving engine switches to the version. */
  void want(uint64_t aVersion, base::TimePoint aTurn);
  /** True when the staged weights are to be verified and loaded now. */
  bool isDue(const EngineWeights& aEngine, bool aStagedWhole, base::TimePoint aNow) const;
  /** True when isDue() will be within aAhead, as far as the turn decides. */
  bool isNear(const EngineWeights& aEngine,
              bool aStagedWhole,
              base::Duration aAhead,
              base::TimePoint aNow) const;
  void ordered(const EngineWeights& aEngine, base::TimePoint aNow);
  uint64_t wanted() const { return mWanted; }

private:
  struct Order
  {
    uint64_t version = 0;
    uint64_t born = 0;
    base::TimePoint at;
  };

  const SwitchOptions mOptions;
  uint64_t mWanted = 0;
  base::TimePoint mTurn;
  std::optional<Order> mOrder;
};

/**
 * Turns are spread evenly over a window, in an order that mixes the zones.
 * @param aRank of the endpoint among aCount of its service.
 */
base::Duration turnDelay(size_t aRank,
                         size_t aCount,
                         base::Duration aWindowStart,
                         base::Duration aWindow);

/** What an endpoint does with the streams that run when it switches. */
enum class RunningStreams
{
  Finish, ///< It takes nothing new until they have ended.
  Move,   ///< They go on at other endpoints.
};

/**
 * Answers a rollout under load: an endpoint that waits for its longest stream is lost for seconds,
 * and all of them are within a short window; a stream that moves costs only its prompt once more.
 * @param aMayMove every stream of the service may go on elsewhere.
 * @param aEndpoints of the service; a few could not take the streams of one.
 */
RunningStreams streamsAtSwitch(bool aMayMove, size_t aEndpoints);

/** Whether the streams that are left may be broken off, which is when few are or after a while:
 * most end meanwhile, and each that moves is a pause to its caller. */
bool mayStopStreams(int aRunning, base::Duration aDrainedFor);

/**
 * Whether a transfer is expected to be whole in time. Answers versions that are declared shortly
 * after each other: each switch costs an engine the time to finish what runs, so that an older
 * version is skipped when the newest one comes soon enough.
 * @param aHeld part of the chunks that have arrived, 0 to 1.
 * @param aSince time since the transfer began.
 */
bool isExpectedWithin(double aHeld, base::Duration aSince, base::Duration aLeft);

} // namespace boragepitch::rollout
