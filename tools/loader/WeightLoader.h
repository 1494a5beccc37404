#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "LoadOrder.h"
#include "LoaderFleet.h"
#include "WeightTableListener.h"
#include "base/Rng.h"
#include "net/HttpServer.h"
#include "platform/EngineControlClient.h"
#include "rollout/SwitchCore.h"
#include "telemetry/EventLog.h"
#include "weights/Distributor.h"

namespace boragepitch::tools {

struct LoaderOptions
{
  std::string node;
  std::string zone;
  std::string region;
  std::string service;
  net::Address weights;
  std::map<std::string, std::string> zones; ///< Region by availability zone.
  double linkBytesPerSecond = 0;
  base::Milliseconds versionTime{ 0 };
  uint64_t seed = 1;
  /** Applies the limits for callers to the server of chunks. */
  std::function<void(net::HttpServer::Builder&)> limitServer;
};

/** In-memory, read-only object store with the manifests that this process knows. */
class ManifestCache final : public stores::ObjectClient
{
public:
  void add(const weights::Manifest& aManifest);
  base::Status put(std::string_view aKey, std::string_view aValue) override;
  base::Result<std::string> fetch(std::string_view aKey, size_t aMaxBytes) override;

private:
  std::mutex mMutex;
  std::map<std::string, std::string, std::less<>> mTexts;
};

/**
 * Loads the declared weights into the engine on this VM: reads the manifest, has the Distributor
 * stage the chunks, verifies them and sends the engine a load order.
 */
class WeightLoader
{
public:
  WeightLoader(LoaderOptions aOptions,
               platform::EngineControlClient& aEngine,
               LoaderFleet& aFleet,
               const WeightTableListener& aWeightTable,
               telemetry::Registry& aMetrics,
               telemetry::EventLog& aLog);
  ~WeightLoader();
  WeightLoader(const WeightLoader&) = delete;
  WeightLoader& operator=(const WeightLoader&) = delete;

  void start();
  void stop();
  /** Takes the latest report of the engine; called on the thread of the LoadReporter. */
  void onReport(const platform::EngineReport& aReport, base::TimePoint aNow);
  /** True from just before a load order until it failed or the engine holds the new version and its
   * chunks are known to have been sound. */
  bool isSwitching() const { return mSwitching; }
  /** True if a load order is due shortly, so that entries prefer other endpoints. */
  bool switchesSoon() const { return mSwitchesSoon; }
  /** Sets a callback that runs just before a load order, so that entries stop sending requests. */
  void setAnnounceCallback(std::function<void()> aAnnounce) { mAnnounce = std::move(aAnnounce); }
  /** Called on the loader's thread with a manifest read from the origin, for the other loaders. */
  using Publish = std::function<void(const std::string& aKey, const std::string& aText)>;
  void setPublishCallback(Publish aPublish) { mPublish = std::move(aPublish); }

  /** Runs the next step without waiting for the interval; may be called from any thread. */
  void wake();

private:
  struct KnownManifest
  {
    std::shared_ptr<const weights::Manifest> manifest; ///< Null until it has been read.
    base::TimePoint retryAt; ///< Earliest time of the next request to the origin.
    bool isNew = true;       ///< No lookup has been scheduled yet.
    bool isStaged = false;   ///< All chunks are staged on this VM.
  };

  void run();
  void step(base::TimePoint aNow);
  bool openDistributor();
  /** Returns the manifest of a target; null while neither this nor another loader has read it. */
  std::shared_ptr<const weights::Manifest> manifestOf(const WeightTarget& aTarget,
                                                      base::TimePoint aNow);
  void storeManifest(KnownManifest& aKnown, std::shared_ptr<const weights::Manifest> aManifest);
  /** Passes the list of wanted manifests to the Distributor if it has changed. */
  void updateWantedManifests(
    const std::vector<std::shared_ptr<const weights::Manifest>>& aManifests);
  bool isExpectedBy(const weights::ManifestId& aId, base::TimePoint aDue) const;
  /** The manifests to fetch and hold, the most urgent first; see rollout::fetchOrder(). */
  std::vector<std::shared_ptr<const weights::Manifest>> inFetchOrder(
    const std::vector<std::shared_ptr<const weights::Manifest>>& aManifests,
    const std::vector<WeightTarget>& aTargets,
    uint64_t aEngineVersion,
    base::TimePoint aNow) const;
  /** Drops the manifests of versions that are no longer a target. */
  void dropObsoleteManifests(const std::vector<WeightTarget>& aTargets);
  void sendLoadOrder(const std::shared_ptr<const weights::Manifest>& aManifest,
                     uint64_t aVersion,
                     base::TimePoint aNow);
  /** Ends the switch once the engine holds the wanted version and its load is proven; has weights
   * loaded again that may be corrupt. */
  void settleOrder(const rollout::EngineWeights& aEngine, base::TimePoint aNow);
  /** Waits until the engine's streams may be interrupted; only for the announcement if the streams
   * are to finish.
   * @return the engine's latest report. */
  base::Result<platform::EngineReport> drain(rollout::StreamHandling aStreams);
  void log(std::string_view aEvent, std::initializer_list<telemetry::Field> aFields) const;

  const LoaderOptions mOptions;
  platform::EngineControlClient& mEngine;
  LoaderFleet& mFleet;
  const WeightTableListener& mWeightTable;
  telemetry::Registry& mMetrics;
  telemetry::EventLog& mLog;
  base::Rng mRng;
  base::SteadyClock mClock;
  weights::StagedWeightHost mStaging;
  ManifestCache mManifests;
  std::function<void()> mAnnounce;
  Publish mPublish;
  std::atomic<bool> mSwitching{ false };
  std::atomic<bool> mSwitchesSoon{ false };

  mutable std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  bool mWoken = false; ///< wake() was called since the latest step began.
  std::optional<platform::EngineReport> mReport;

  // Used by the loader's thread only.
  std::unique_ptr<platform::WeightOriginClient> mOrigin;
  std::unique_ptr<weights::Distributor> mDistributor;
  std::unique_ptr<net::HttpServer> mServer;
  std::map<uint64_t, KnownManifest> mKnownManifests; ///< By version.
  std::vector<weights::ManifestId> mWantedIds;       ///< The most urgent first.
  /** Earliest time at which a manifest may be requested from the origin again. */
  base::TimePoint mManifestRetryAt = base::TimePoint::max();
  std::set<weights::ManifestId> mEverWanted; ///< All manifests that were ever wanted.
  bool mHasWantedManifests = false; ///< Some manifest has been wanted since the process started.
  rollout::SwitchCore mSwitch;
  LoadOrder mOrder;
  uint64_t mEngineStartTimeMs = 0;
  std::thread mThread;
};

} // namespace boragepitch::tools
