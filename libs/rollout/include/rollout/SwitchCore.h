#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/Time.h"

namespace boragepitch::rollout {

/** An engine's report of its weights. */
struct EngineWeights
{
  uint64_t incarnation = 0; ///< Id of the engine start; a restart loses the loaded weights.
  uint64_t version = 0;     ///< 0 while no complete weights are loaded.
  bool isBusy = false;      ///< An order is in progress.
};

struct SwitchOptions
{
  /** An order without effect after this time is sent again. */
  base::Milliseconds orderTimeout{ 4000 };
};

/**
 * Decides when one endpoint loads its staged weights. An engine without weights loads them at once;
 * one that serves an older version waits for its scheduled time, so that during a rollout under
 * full load the endpoints of a service do not all stop taking requests together. Not thread-safe.
 */
class SwitchCore
{
public:
  explicit SwitchCore(SwitchOptions aOptions = {});

  /** @param aEarliestSwitch earliest time at which a serving engine switches to aVersion. */
  void setWantedVersion(uint64_t aVersion, base::TimePoint aEarliestSwitch);
  /** True if the staged weights are to be verified and loaded now. */
  bool isDue(const EngineWeights& aEngine, bool aIsStaged, base::TimePoint aNow) const;
  /** True if isDue() holds at aNow + aAhead, should nothing else change. */
  bool isDueWithin(const EngineWeights& aEngine,
                   bool aIsStaged,
                   base::Duration aAhead,
                   base::TimePoint aNow) const;
  void onOrderSent(const EngineWeights& aEngine, base::TimePoint aNow);
  /** Makes an order due that loads the version which the engine holds once more.
   * @return false if one was required before since the engine's start. */
  bool requireReload(const EngineWeights& aEngine);
  uint64_t wantedVersion() const { return mWantedVersion; }

private:
  struct Order
  {
    uint64_t version = 0;
    uint64_t incarnation = 0;
    base::TimePoint sentAt;
  };

  /** Weights that the engine is to load again. */
  struct Reload
  {
    uint64_t version = 0;
    uint64_t incarnation = 0;
    bool isOrdered = false;
  };

  bool mustReload(const EngineWeights& aEngine) const;

  const SwitchOptions mOptions;
  uint64_t mWantedVersion = 0;
  base::TimePoint mEarliestSwitch;
  std::optional<Order> mOrder;
  std::optional<Reload> mReload;
};

/**
 * Delay before an endpoint may switch, so that the switches of a service spread evenly over a
 * window.
 * @param aRank rank of the endpoint among the aCount of its service, ordered to mix zones.
 */
base::Duration staggeredSwitchDelay(size_t aRank,
                                    size_t aCount,
                                    base::Duration aWindowStart,
                                    base::Duration aWindow);

/** How an endpoint that is about to switch treats its running streams. */
enum class StreamHandling
{
  Finish, ///< Take no new requests and wait for the streams to end.
  Move,   ///< Resume the streams at other endpoints.
};

/**
 * Chooses how to treat running streams. During a rollout under load, an endpoint that waits for its
 * longest stream is unavailable for seconds, and all endpoints switch within a short window; a
 * moved stream only has its prompt processed again.
 * @param aMayMoveStreams every stream of the service may be resumed elsewhere.
 * @param aEndpointCount number of endpoints of the service; too few cannot absorb the streams of
 * one.
 */
StreamHandling chooseStreamHandling(bool aMayMoveStreams, size_t aEndpointCount);

/** True if the remaining streams may be interrupted: only a few are left, or the drain has taken
 * long enough. Most streams end within that time, and moving a stream delays its caller. */
bool mayInterruptStreams(int aRunningStreams, base::Duration aDrainedFor);

/**
 * True if a transfer is expected to complete within aTimeLeft. Used when versions are declared
 * shortly after one another: each switch makes an engine drain, so an older version is skipped if
 * the newest one will be complete soon enough.
 * @param aFractionHeld fraction of the chunks that have arrived, 0 to 1.
 * @param aElapsed time since the transfer began.
 */
bool isTransferExpectedWithin(double aFractionHeld,
                              base::Duration aElapsed,
                              base::Duration aTimeLeft);

/**
 * True if a version that is not loaded yet can still serve requests before a newer one is required.
 * Otherwise its transfer only delays the newer one.
 * @param aNewerRequiredAt time from which requests start on the newer version only.
 */
bool canStillServe(base::TimePoint aNewerRequiredAt, base::TimePoint aNow);

} // namespace boragepitch::rollout
