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
#include "WeightRows.h"
#include "base/Rng.h"
#include "net/HttpServer.h"
#include "platform/EngineCalls.h"
#include "rollout/SwitchCore.h"
#include "stores/TableWatcher.h"
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
class WeightLoader final : public stores::TableListener
{
public:
  WeightLoader(LoaderOptions aOptions,
               platform::EngineCalls& aEngine,
               LoaderFleet& aFleet,
               telemetry::Registry& aMetrics,
               telemetry::EventLog& aLog);
  ~WeightLoader() override;

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

  void onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow) override;
  void onServiceTime(base::Milliseconds aServiceTime) override;

private:
  struct Target
  {
    std::string model;
    uint64_t version = 0;
  };

  struct KnownManifest
  {
    std::shared_ptr<const weights::Manifest> manifest; ///< Null until it was read twice alike.
    std::optional<weights::ManifestId> onceRead;
    base::TimePoint retryAt; ///< Earliest next call of the origin.
    bool isNew = true;       ///< Not looked for yet.
    bool isWhole = false;    ///< All chunks are here.
  };

  void run();
  bool mayMoveStreams() const;
  void step(base::TimePoint aNow);
  /** The model and the versions to hold, newest first; empty while the setup is not known. */
  std::vector<Target> targets() const;
  /** When the oldest version that the engine does not have was declared. */
  base::TimePoint overdueSince(const std::string& aModel,
                               uint64_t aEngineVersion,
                               base::TimePoint aNow) const;
  bool openDistributor();
  /** The manifest of a target; null until two answers of the origin agree. */
  std::shared_ptr<const weights::Manifest> manifestOf(const Target& aTarget, base::TimePoint aNow);
  void adopt(KnownManifest& aKnown, std::shared_ptr<const weights::Manifest> aManifest);
  /** Tells the Distributor what to fetch when that changed. */
  void wantManifests(const std::vector<std::shared_ptr<const weights::Manifest>>& aManifests);
  bool comesInTime(const weights::ManifestId& aId, base::TimePoint aDue) const;
  /** Drops manifests that are no target any more. */
  void forgetOthers(const std::vector<Target>& aTargets);
  void order(const weights::Manifest& aManifest, uint64_t aVersion, base::TimePoint aNow);
  void take(const stores::RowChange& aRow, base::TimePoint aNow);
  void takeSetup(const stores::RowChange& aRow);
  void takeManifest(const stores::RowChange& aRow);
  void takeDeclared(const DeclaredRow& aRow, base::TimePoint aNow);
  std::shared_ptr<const weights::Manifest> published(const Target& aTarget) const;
  void log(std::string_view aEvent, std::initializer_list<telemetry::Field> aFields) const;

  const LoaderOptions mOptions;
  platform::EngineCalls& mEngine;
  LoaderFleet& mFleet;
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
  std::optional<WeightSetup> mSetup;
  /** Manifests that loaders have published, by row key. */
  std::map<std::string, std::shared_ptr<const weights::Manifest>> mPublished;
  base::Milliseconds mServiceTime{ 0 };      ///< Clock of the store at the latest news.
  std::map<std::string, uint64_t> mDeclared; ///< Version by model.
  /** When each version of a model was declared, oldest first. */
  std::map<std::string, std::vector<std::pair<uint64_t, base::TimePoint>>> mDeclaredAt;
  std::optional<platform::EngineReport> mReport;

  // Used by the loader's thread only.
  std::unique_ptr<platform::OriginCalls> mOrigin;
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
