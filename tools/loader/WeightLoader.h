#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "LoaderFleet.h"
#include "WeightNews.h"
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
};

/** Serves manifests that this process has read from the origin. */
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
 * Brings the engine on this VM to the declared weights: reads the manifest, lets the Distributor
 * stage the chunks, verifies them and orders the engine to load them.
 */
class WeightLoader
{
public:
  WeightLoader(LoaderOptions aOptions,
               platform::EngineControlClient& aEngine,
               LoaderFleet& aFleet,
               const WeightNews& aNews,
               telemetry::Registry& aMetrics,
               telemetry::EventLog& aLog);
  ~WeightLoader();
  WeightLoader(const WeightLoader&) = delete;
  WeightLoader& operator=(const WeightLoader&) = delete;

  void start();
  void stop();
  /** The latest report of the engine, from the thread that reads it. */
  void onReport(const platform::EngineReport& aReport, base::TimePoint aNow);
  /** True from just before an order until the engine reports it. */
  bool isSwitching() const { return mSwitching; }
  bool switchesSoon() const { return mSwitchesSoon; }
  /** Called just before an order, so that entries stop sending. */
  void beforeOrder(std::function<void()> aAnnounce) { mAnnounce = std::move(aAnnounce); }
  /** Called on the loader's thread with a manifest that other loaders do not know yet. */
  using Publish = std::function<void(const std::string& aKey, const std::string& aText)>;
  void publishManifests(Publish aPublish) { mPublish = std::move(aPublish); }

  /** Looks at once for what is to be done; any thread. */
  void wake();

private:
  struct KnownManifest
  {
    std::shared_ptr<const weights::Manifest> manifest; ///< Null until it is known.
    base::TimePoint retryAt;                           ///< Earliest next call of the origin.
    bool isNew = true;                                 ///< Not looked for yet.
    bool isWhole = false;                              ///< All chunks are here.
  };

  void run();
  void step(base::TimePoint aNow);
  bool openDistributor();
  /** The manifest of a target; null until a loader has read it. */
  std::shared_ptr<const weights::Manifest> manifestOf(const WeightTarget& aTarget,
                                                      base::TimePoint aNow);
  void adopt(KnownManifest& aKnown, std::shared_ptr<const weights::Manifest> aManifest);
  /** Tells the Distributor what to fetch when that changed. */
  void wantManifests(const std::vector<std::shared_ptr<const weights::Manifest>>& aManifests);
  bool comesInTime(const weights::ManifestId& aId, base::TimePoint aDue) const;
  /** Drops manifests that are no target any more. */
  void forgetOthers(const std::vector<WeightTarget>& aTargets);
  void order(const weights::Manifest& aManifest, uint64_t aVersion, base::TimePoint aNow);
  /** Waits until the engine's streams may be broken off; at once where they finish by themselves.
   * @return the engine's latest report. */
  base::Result<platform::EngineReport> drain(rollout::StreamHandling aStreams);
  void log(std::string_view aEvent, std::initializer_list<telemetry::Field> aFields) const;

  const LoaderOptions mOptions;
  platform::EngineControlClient& mEngine;
  LoaderFleet& mFleet;
  const WeightNews& mNews;
  telemetry::Registry& mMetrics;
  telemetry::EventLog& mLog;
  base::Rng mRng;
  weights::StagedWeightHost mStaging;
  ManifestCache mManifests;
  std::function<void()> mAnnounce;
  Publish mPublish;
  std::atomic<bool> mSwitching{ false };
  std::atomic<bool> mSwitchesSoon{ false };

  mutable std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  bool mWoken = false; ///< Something has changed since the latest step began.
  std::optional<platform::EngineReport> mReport;

  // Used by the loader's thread only.
  std::unique_ptr<platform::WeightOriginClient> mOrigin;
  std::unique_ptr<weights::Distributor> mDistributor;
  std::unique_ptr<net::HttpServer> mServer;
  std::map<uint64_t, KnownManifest> mKnown; ///< By version.
  std::vector<weights::ManifestId> mWanted; ///< Newest first.
  std::set<weights::ManifestId> mSeen;      ///< All that were ever wanted.
  bool mStarted = false;                    ///< Something was wanted before.
  rollout::SwitchCore mSwitch;
  uint64_t mBorn = 0;
  std::thread mThread;
};

} // namespace boragepitch::tools
