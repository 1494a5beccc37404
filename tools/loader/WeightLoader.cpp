#include "WeightLoader.h"

#include <algorithm>

namespace boragepitch::tools {

namespace {

using namespace std::chrono_literals;

/** Interval between two steps if nothing wakes the thread. */
constexpr base::Milliseconds kStep = 250ms;
/** Retry delay after a manifest could not be read from the origin. */
constexpr base::Milliseconds kManifestRetry = 250ms;
/** Stagger between the manifest requests of two loaders to the origin. */
constexpr base::Milliseconds kManifestTurn = 120ms;
/** Time for the announcement of a switch to reach the entries before the engine stops accepting
 * requests. */
constexpr base::Milliseconds kAnnounceTime = 20ms;
/** Polling interval for the number of running streams while the engine drains. */
constexpr base::Milliseconds kDrainStep = 50ms;
/** Entries prefer other endpoints for this long before a switch: about the length of a stream. */
constexpr base::Milliseconds kSoon = 800ms;
/** Fractions of the version time: the staggered switches begin when the first engines have staged
 * the weights, and the last engine has loaded them when entries begin to require them. */
constexpr double kTurnsBegin = 0.42;
constexpr double kTurnsLast = 0.32;
/** Holds chunks in flight and chunks that peers request just after their arrival; all of them are
 * staged on the VM too. */
constexpr size_t kCacheBytes = 1 << 20;
constexpr int kHighestUrgency = 9;
/** An engine may hold an outdated version for this long past the version time if it thereby skips
 * an intermediate version. */
constexpr base::Milliseconds kSkipGrace = 2000ms;
constexpr size_t kFetchThreads = 4;
/** An importer without progress is replaced after this time. */
constexpr base::Milliseconds kImporterTimeout = 1000ms;
constexpr base::Milliseconds kStallTimeout = 1500ms;
/** Cap of the backoff between two requests to the origin: a version must be loaded within 8 s. */
constexpr base::Milliseconds kOriginBackoff = 600ms;
/** Chunks that arrive within this interval are announced together: each announcement costs the
 * sender and the receiver CPU time, and a chunk takes 35 ms on a link of 7.6 Mbit/s. */
constexpr base::Milliseconds kAnnounceInterval = 120ms;
constexpr size_t kNeighbours = 5;
constexpr size_t kMaxServerConnections = 48;

base::Duration partOf(base::Milliseconds aTime, double aPart)
{
  return std::chrono::duration_cast<base::Duration>(aTime * aPart);
}

} // namespace

void ManifestCache::add(const weights::Manifest& aManifest)
{
  std::lock_guard lock(mMutex);
  mTexts["manifests/" + aManifest.id().toString()] = aManifest.canonical();
}

base::Status ManifestCache::put(std::string_view aKey, std::string_view /*aValue*/)
{
  return base::fail(base::ErrorKind::Invalid, std::string(aKey), "the cache is read-only", "");
}

base::Result<std::string> ManifestCache::fetch(std::string_view aKey, size_t /*aMaxBytes*/)
{
  std::lock_guard lock(mMutex);
  auto found = mTexts.find(aKey);
  if (found == mTexts.end()) {
    return base::fail(base::ErrorKind::NotFound, std::string(aKey), "not read yet", "retry");
  }
  return found->second;
}

WeightLoader::WeightLoader(LoaderOptions aOptions,
                           platform::EngineControlClient& aEngine,
                           LoaderFleet& aFleet,
                           const WeightNews& aNews,
                           telemetry::Registry& aMetrics,
                           telemetry::EventLog& aLog)
  : mOptions(std::move(aOptions))
  , mEngine(aEngine)
  , mFleet(aFleet)
  , mNews(aNews)
  , mMetrics(aMetrics)
  , mLog(aLog)
  , mRng(mOptions.seed)
  , mStaging(aEngine)
{
}

WeightLoader::~WeightLoader()
{
  stop();
}

void WeightLoader::start()
{
  mThread = std::thread([this] { run(); });
}

void WeightLoader::stop()
{
  {
    std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
  if (mDistributor) {
    mDistributor->stop();
  }
  if (mServer) {
    mServer->stop();
  }
}

void WeightLoader::log(std::string_view aEvent,
                       std::initializer_list<telemetry::Field> aFields) const
{
  mLog.write(telemetry::EventClass::Critical, aEvent, aFields, std::chrono::steady_clock::now());
}

void WeightLoader::onReport(const platform::EngineReport& aReport, base::TimePoint /*aNow*/)
{
  bool changed = false;
  {
    std::lock_guard lock(mMutex);
    changed = !mReport || mReport->load.startTimeMs != aReport.load.startTimeMs ||
              mReport->load.weightVersion != aReport.load.weightVersion ||
              mReport->load.isSwitching != aReport.load.isSwitching;
    mReport = aReport;
  }
  if (changed) {
    wake();
  }
}

void WeightLoader::wake()
{
  {
    std::lock_guard lock(mMutex);
    mWoken = true;
  }
  mWake.notify_all();
}

void WeightLoader::run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    lock.unlock();
    step(std::chrono::steady_clock::now());
    lock.lock();
    mWake.wait_for(lock, kStep, [this] { return mWoken || mStopping; });
    mWoken = false;
  }
}

void WeightLoader::step(base::TimePoint aNow)
{
  mSwitchesSoon = false;
  auto wanted = mNews.targets();
  std::optional<platform::EngineReport> report;
  {
    std::lock_guard lock(mMutex);
    report = mReport;
  }
  if (wanted.empty() || !report || !openDistributor()) {
    return;
  }
  auto declaredAt = mNews.overdueSince(wanted.front().model, report->load.weightVersion, aNow);
  if (report->load.startTimeMs != mBorn) {
    // The VM may have lost power, which empties the staging area.
    if (mBorn != 0) {
      mDistributor->invalidateHost();
      log("engine_restarted", { { "born", std::to_string(report->load.startTimeMs) } });
    }
    mBorn = report->load.startTimeMs;
  }
  forgetOthers(wanted);
  std::vector<std::shared_ptr<const weights::Manifest>> manifests;
  auto held = mDistributor->held();
  std::shared_ptr<const weights::Manifest> newest;
  uint64_t newestVersion = 0;
  for (const WeightTarget& target : wanted) {
    auto manifest = manifestOf(target, aNow);
    if (!manifest) {
      continue;
    }
    manifests.push_back(manifest);
    bool whole = std::find(held.begin(), held.end(), manifest->id().toString()) != held.end();
    if (whole && !std::exchange(mKnown[target.version].isWhole, true)) {
      log("weights_staged", { { "version", std::to_string(target.version) } });
    }
    if (whole && !newest) {
      newest = manifest;
      newestVersion = target.version;
    }
  }
  wantManifests(manifests);
  rollout::EngineWeights engine{ report->load.startTimeMs,
                                 report->load.weightVersion,
                                 report->load.isSwitching };
  if (mSwitching && engine.version >= mSwitch.wantedVersion() && !engine.isBusy) {
    mSwitching = false;
    log("weights_loaded", { { "version", std::to_string(engine.version) } });
  }
  if (!newest) {
    return;
  }
  auto [rank, count] = mFleet.rank();
  mSwitch.setWantedVersion(
    newestVersion,
    declaredAt + rollout::staggeredSwitchDelay(rank,
                                               count,
                                               partOf(mOptions.versionTime, kTurnsBegin),
                                               partOf(mOptions.versionTime, kTurnsLast)));
  bool newerComes = newest != manifests.front() && engine.version > 0 &&
                    comesInTime(manifests.front()->id(),
                                declaredAt + base::Duration(mOptions.versionTime + kSkipGrace));
  bool staged = newestVersion == mSwitch.wantedVersion();
  mSwitchesSoon = !newerComes && mSwitch.isDueWithin(engine, staged, kSoon, aNow);
  if (!newerComes && mSwitch.isDue(engine, staged, aNow)) {
    order(*newest, newestVersion, aNow);
  }
}

bool WeightLoader::openDistributor()
{
  if (mDistributor) {
    return true;
  }
  auto setup = mNews.setup();
  if (!setup) {
    return false;
  }
  auto region = mOptions.zones.find(setup->originZone);
  mOrigin = std::make_unique<platform::WeightOriginClient>(setup->origin);
  weights::DistributorOptions options;
  options.links.uplink = mOptions.linkBytesPerSecond;
  options.links.downlink = mOptions.linkBytesPerSecond;
  options.cacheBytes = kCacheBytes;
  options.fetchThreads = kFetchThreads;
  options.importerTimeout = kImporterTimeout;
  options.stallTimeout = kStallTimeout;
  options.backoffCap = kOriginBackoff;
  options.announceInterval = kAnnounceInterval;
  options.neighbours = kNeighbours;
  auto distributor =
    weights::Distributor::Builder()
      .fleet(&mFleet)
      .origin(mOrigin.get())
      .objects(&mManifests)
      .host(&mStaging)
      .metrics(&mMetrics)
      .node(mOptions.node, mOptions.zone, mOptions.region)
      .originRegion(region != mOptions.zones.end() ? region->second : mOptions.region)
      .options(options)
      .seed(mOptions.seed)
      .onChange([this] { wake(); })
      .build();
  if (!distributor) {
    log("distributor_invalid", { { "error", distributor.error().describe() } });
    return false;
  }
  mDistributor = std::move(*distributor);
  mServer = net::HttpServer::Builder()
              .address(mOptions.weights)
              .maxConnections(kMaxServerConnections)
              .build();
  mDistributor->attach(*mServer);
  if (auto started = mServer->start(); !started) {
    log("cannot_listen", { { "error", started.error().describe() } });
  }
  mDistributor->start();
  return true;
}

void WeightLoader::forgetOthers(const std::vector<WeightTarget>& aTargets)
{
  std::erase_if(mKnown, [&](const auto& aEntry) {
    return std::none_of(aTargets.begin(), aTargets.end(), [&](const WeightTarget& aTarget) {
      return aTarget.version == aEntry.first;
    });
  });
}

std::shared_ptr<const weights::Manifest> WeightLoader::manifestOf(const WeightTarget& aTarget,
                                                                  base::TimePoint aNow)
{
  KnownManifest& known = mKnown[aTarget.version];
  if (known.manifest) {
    return known.manifest;
  }
  if (auto shared = mNews.manifest(aTarget)) {
    adopt(known, std::move(shared));
    return known.manifest;
  }
  if (std::exchange(known.isNew, false)) {
    // The origin accepts few connections: the first loader asks it, the others read what that
    // loader publishes.
    known.retryAt = aNow + kManifestTurn * static_cast<int64_t>(mFleet.rank().first);
  }
  if (aNow < known.retryAt) {
    return nullptr;
  }
  // The origin may send corrupt bytes, so a manifest is accepted only if two answers are equal.
  // With a corrupt manifest, all intact chunks would be rejected.
  auto manifest = mOrigin->manifest(aTarget.model, aTarget.version);
  auto again = manifest ? mOrigin->manifest(aTarget.model, aTarget.version) : manifest;
  if (!manifest || !again || manifest->id() != again->id()) {
    log("manifest_missing",
        { { "model", aTarget.model },
          { "version", std::to_string(aTarget.version) },
          { "error",
            !manifest ? manifest.error().describe()
            : !again  ? again.error().describe()
                      : "two answers of the origin differ" } });
    known.retryAt = aNow + base::Duration(kManifestRetry);
    return nullptr;
  }
  adopt(known, std::make_shared<const weights::Manifest>(std::move(*manifest)));
  if (mPublish) {
    mPublish(manifestKey(aTarget.model, std::to_string(aTarget.version)),
             known.manifest->canonical());
  }
  return known.manifest;
}

void WeightLoader::adopt(KnownManifest& aKnown, std::shared_ptr<const weights::Manifest> aManifest)
{
  aKnown.manifest = std::move(aManifest);
  mManifests.add(*aKnown.manifest);
  log("manifest",
      { { "model", aKnown.manifest->model() },
        { "version", aKnown.manifest->version() },
        { "id", aKnown.manifest->id().toString() } });
}

bool WeightLoader::comesInTime(const weights::ManifestId& aId, base::TimePoint aDue) const
{
  auto now = std::chrono::steady_clock::now();
  for (const weights::TransferProgress& one : mDistributor->progress(now)) {
    if (one.manifest == aId) {
      double held = one.chunks > 0 ? static_cast<double>(one.chunksHeld) / one.chunks : 0;
      return rollout::isTransferExpectedWithin(held, one.age, aDue - now);
    }
  }
  return false;
}

void WeightLoader::wantManifests(
  const std::vector<std::shared_ptr<const weights::Manifest>>& aManifests)
{
  std::vector<weights::ManifestId> set;
  for (const auto& manifest : aManifests) {
    set.push_back(manifest->id());
  }
  if (set == mWanted) {
    return;
  }
  mWanted = set;
  std::vector<weights::TransferRequest> wanted;
  for (const auto& manifest : aManifests) {
    // Only this process stages chunks on this VM, so nothing is staged of a manifest first wanted
    // after the start.
    if (mStarted && !mSeen.contains(manifest->id())) {
      mStaging.noteNotStaged(manifest->id());
    }
    mSeen.insert(manifest->id());
    weights::TransferRequest one;
    one.manifest = manifest->id();
    one.originName = manifest->model() + "/" + manifest->version();
    one.urgency = kHighestUrgency - static_cast<int>(wanted.size());
    one.endpoints = { mOptions.service };
    wanted.push_back(std::move(one));
  }
  mStarted = true;
  mDistributor->setWanted(std::move(wanted));
}

base::Result<platform::EngineReport> WeightLoader::drain(rollout::StreamHandling aStreams)
{
  std::this_thread::sleep_for(kAnnounceTime);
  auto since = std::chrono::steady_clock::now();
  for (;;) {
    auto report = mEngine.report();
    auto drainedFor = std::chrono::steady_clock::now() - since;
    if (!report || aStreams == rollout::StreamHandling::Finish ||
        rollout::mayInterruptStreams(report->load.running, drainedFor)) {
      return report;
    }
    std::this_thread::sleep_for(kDrainStep);
  }
}

void WeightLoader::order(const weights::Manifest& aManifest,
                         uint64_t aVersion,
                         base::TimePoint aNow)
{
  // Staged chunks may become corrupt at any time, so all are written or verified just before the
  // load order.
  if (auto staged = mStaging.commit(aManifest); !staged) {
    log("staging_failed", { { "error", staged.error().describe() } });
    mDistributor->invalidateHost();
    return;
  }
  mSwitching = true;
  if (mAnnounce) {
    mAnnounce();
  }
  auto setup = mNews.setup();
  auto streams =
    rollout::chooseStreamHandling(setup && setup->mayMoveStreams, mFleet.rank().second);
  auto report = drain(streams);
  if (!report) {
    mSwitching = false;
    log("engine_silent", { { "error", report.error().describe() } });
    return;
  }
  bool move = streams == rollout::StreamHandling::Move;
  auto answer =
    mEngine.orderLoad(aManifest.model(),
                      aVersion,
                      report->orderCount,
                      move ? platform::RunningRequests::Stop : platform::RunningRequests::Finish);
  bool begun = answer && *answer != platform::OrderAnswer::Refused;
  log("order",
      { { "version", std::to_string(aVersion) },
        { "from", std::to_string(report->load.weightVersion) },
        { "streams", move ? "move" : "finish" },
        { "running", std::to_string(report->load.running) },
        { "answer",
          !answer                                         ? answer.error().describe()
          : *answer == platform::OrderAnswer::Begun       ? "begun"
          : *answer == platform::OrderAnswer::AlreadyDone ? "done"
                                                          : "refused" } });
  // An order without an answer may have been accepted: it counts as sent until it times out.
  if (begun || !answer) {
    mSwitch.onOrderSent({ report->load.startTimeMs, report->load.weightVersion, true }, aNow);
  }
  mSwitching = begun;
}

} // namespace boragepitch::tools
