#include "WeightLoader.h"

#include <algorithm>

#include "rollout/VersionPlan.h"

namespace boragepitch::tools {

namespace {

using namespace std::chrono_literals;

/** Interval between two steps if nothing wakes the thread. */
constexpr base::Milliseconds kStepInterval = 250ms;
/** Retry delay of the first loader after a manifest could not be read from the origin, and what is
 * added to it for each further place in the order. If all asked as often as the first one, their
 * answers would take the origin's link for a second when it is back. */
constexpr base::Milliseconds kManifestRetryDelay = 100ms;
constexpr base::Milliseconds kManifestRetryStep = 300ms;
/** Stagger between the manifest requests of two loaders to the origin. Two answers take some 20 ms,
 * and what a loader publishes reaches the others within 150 ms. */
constexpr base::Milliseconds kManifestStagger = 60ms;
/** Time for the announcement of a switch to reach the entries before the engine stops accepting
 * requests. */
constexpr base::Milliseconds kAnnounceTime = 20ms;
/** Polling interval for the number of running streams while the engine drains. */
constexpr base::Milliseconds kDrainPollInterval = 50ms;
/** Entries prefer other endpoints for this long before a switch: about the length of a stream. */
constexpr base::Milliseconds kSwitchNoticeTime = 800ms;
/** Fractions of the version time: the staggered switches begin when the first engines have staged
 * the weights, and the last engine has loaded them when entries begin to require them. */
constexpr double kSwitchStartFraction = 0.42;
constexpr double kSwitchSpreadFraction = 0.32;
/** Holds chunks in flight and chunks that peers request just after their arrival; all of them are
 * staged on the VM too. */
constexpr size_t kCacheBytes = 1 << 20;
constexpr int kMaxUrgency = 9;
/** An engine may hold an outdated version for this long past the version time if it thereby skips
 * an intermediate version. */
constexpr base::Milliseconds kSkippedVersionGrace = 2000ms;
/** Entries require a version this long before the version time ends. */
constexpr base::Milliseconds kRequiredBeforeVersionTime = 1000ms;
constexpr size_t kFetchThreads = 6;
/** Two uploads at a time keep a link busy; with more, each chunk reaches its first holders later.
 */
constexpr size_t kUploadSlots = 2;
/** A VM that finds a peer busy asks another one at once; in a longer queue it would wait while
 * other uplinks idle. */
constexpr base::Milliseconds kMaxUploadQueueTime = 150ms;
/** An importer without progress is replaced after this time. */
constexpr base::Milliseconds kImporterTimeout = 1000ms;
constexpr base::Milliseconds kStallTimeout = 1500ms;
/** Cap of the backoff between two requests to the origin: a version must be loaded within 8 s. */
constexpr base::Milliseconds kMaxOriginBackoff = 250ms;
/** Chunks that arrive within this interval are announced together: each announcement costs the
 * sender and the receiver CPU time, and a chunk takes 35 ms on a link of 7.6 Mbit/s. */
constexpr base::Milliseconds kAnnounceInterval = 60ms;
constexpr size_t kNeighbours = 8;
/** Importers of each other region that an importer polls: those that import the same chunks. Each
 * polled peer costs a thread and the processor time of its answers. */
constexpr size_t kRemoteNeighbours = 4;
/** With many importers each has few chunks to import, and all of them at once. */
constexpr size_t kImportersPerRegion = 16;
constexpr size_t kMaxServerConnections = 48;
/** The server wakes up often for each idle connection; loaders that poll come back within this. */
constexpr std::chrono::seconds kKeepAlive{ 1 };

base::Duration fractionOf(base::Milliseconds aTime, double aFraction)
{
  return std::chrono::duration_cast<base::Duration>(aTime * aFraction);
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
                           const WeightTableListener& aWeightTable,
                           telemetry::Registry& aMetrics,
                           telemetry::EventLog& aLog)
  : mOptions(std::move(aOptions))
  , mEngine(aEngine)
  , mFleet(aFleet)
  , mWeightTable(aWeightTable)
  , mMetrics(aMetrics)
  , mLog(aLog)
  , mRng(mOptions.seed)
  , mStaging(aEngine, mClock)
  , mOrder(aEngine, mStaging, mClock)
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
    auto next = std::min(mManifestRetryAt, std::chrono::steady_clock::now() + kStepInterval);
    mWake.wait_until(lock, next, [this] { return mWoken || mStopping; });
    mWoken = false;
  }
}

void WeightLoader::step(base::TimePoint aNow)
{
  mSwitchesSoon = false;
  mManifestRetryAt = base::TimePoint::max();
  auto wantedTargets = mWeightTable.targets();
  std::optional<platform::EngineReport> report;
  {
    std::lock_guard lock(mMutex);
    report = mReport;
  }
  if (wantedTargets.empty() || !report || !openDistributor()) {
    return;
  }
  auto declaredAt = mWeightTable.oldestMissingDeclaredAt(
    wantedTargets.front().model, report->load.weightVersion, aNow);
  if (report->load.startTimeMs != mEngineStartTimeMs) {
    // The VM may have lost power, which empties the staging area.
    if (mEngineStartTimeMs != 0) {
      mDistributor->invalidateHost();
      log("engine_restarted", { { "born", std::to_string(report->load.startTimeMs) } });
    }
    mEngineStartTimeMs = report->load.startTimeMs;
  }
  dropObsoleteManifests(wantedTargets);
  std::vector<std::shared_ptr<const weights::Manifest>> manifests;
  for (const WeightTarget& target : wantedTargets) {
    if (auto manifest = manifestOf(target, aNow)) {
      manifests.push_back(std::move(manifest));
    }
  }
  auto wanted = inFetchOrder(manifests, wantedTargets, report->load.weightVersion, aNow);
  updateWantedManifests(wanted);
  auto held = mDistributor->held();
  std::shared_ptr<const weights::Manifest> newestStaged;
  uint64_t newestStagedVersion = 0;
  for (const WeightTarget& target : wantedTargets) {
    KnownManifest& known = mKnownManifests[target.version];
    bool isWanted = std::find(wanted.begin(), wanted.end(), known.manifest) != wanted.end();
    if (!isWanted ||
        std::find(held.begin(), held.end(), known.manifest->id().toString()) == held.end()) {
      continue;
    }
    if (!std::exchange(known.isStaged, true)) {
      log("weights_staged", { { "version", std::to_string(target.version) } });
    }
    if (!newestStaged) {
      newestStaged = known.manifest;
      newestStagedVersion = target.version;
    }
  }
  rollout::EngineWeights engine{ report->load.startTimeMs,
                                 report->load.weightVersion,
                                 report->load.isSwitching };
  settleOrder(engine, aNow);
  if (!newestStaged) {
    return;
  }
  auto [rank, count] = mFleet.rank();
  mSwitch.setWantedVersion(newestStagedVersion,
                           declaredAt + rollout::staggeredSwitchDelay(
                                          rank,
                                          count,
                                          fractionOf(mOptions.versionTime, kSwitchStartFraction),
                                          fractionOf(mOptions.versionTime, kSwitchSpreadFraction)));
  bool isNewerArriving =
    newestStaged != manifests.front() && engine.version > 0 &&
    isExpectedBy(manifests.front()->id(),
                 declaredAt + base::Duration(mOptions.versionTime + kSkippedVersionGrace));
  bool staged = newestStagedVersion == mSwitch.wantedVersion();
  mSwitchesSoon = !isNewerArriving && mSwitch.isDueWithin(engine, staged, kSwitchNoticeTime, aNow);
  if (!isNewerArriving && mSwitch.isDue(engine, staged, aNow)) {
    sendLoadOrder(newestStaged, newestStagedVersion, aNow);
  }
}

bool WeightLoader::openDistributor()
{
  if (mDistributor) {
    return true;
  }
  auto setup = mWeightTable.setup();
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
  options.remoteNeighbours = kRemoteNeighbours;
  options.importersPerRegion = kImportersPerRegion;
  options.stallTimeout = kStallTimeout;
  options.backoffCap = kMaxOriginBackoff;
  options.announceInterval = kAnnounceInterval;
  options.neighbours = kNeighbours;
  options.uploadSlots = kUploadSlots;
  options.maxUploadQueueTime = kMaxUploadQueueTime;
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
  net::HttpServer::Builder server;
  if (mOptions.limitServer) {
    mOptions.limitServer(server);
  }
  mServer = server.address(mOptions.weights)
              .maxConnections(kMaxServerConnections)
              .keepAlive(kKeepAlive)
              .build();
  mDistributor->attach(*mServer);
  if (auto started = mServer->start(); !started) {
    log("cannot_listen", { { "error", started.error().describe() } });
  }
  mDistributor->start();
  return true;
}

std::vector<std::shared_ptr<const weights::Manifest>> WeightLoader::inFetchOrder(
  const std::vector<std::shared_ptr<const weights::Manifest>>& aManifests,
  const std::vector<WeightTarget>& aTargets,
  uint64_t aEngineVersion,
  base::TimePoint aNow) const
{
  auto progress = mDistributor->progress(aNow);
  std::vector<rollout::PendingVersion> pending;
  std::map<uint64_t, std::shared_ptr<const weights::Manifest>> manifests;
  base::Duration copyTime{ 0 };
  for (auto target = aTargets.rbegin(); target != aTargets.rend(); ++target) {
    auto found = std::find_if(aManifests.begin(), aManifests.end(), [&](const auto& aManifest) {
      return aManifest->version() == std::to_string(target->version);
    });
    double missing = 1;
    for (const weights::TransferProgress& transfer : progress) {
      if (found != aManifests.end() && transfer.manifest == (*found)->id() && transfer.chunks > 0) {
        missing = 1 - static_cast<double>(transfer.chunksHeld) / transfer.chunks;
      }
    }
    // A version counts before its manifest has been read: the origin sends both.
    pending.push_back(
      { target->version,
        target->declaredAt + base::Duration(mOptions.versionTime - kRequiredBeforeVersionTime),
        missing });
    if (found == aManifests.end()) {
      continue;
    }
    manifests[target->version] = *found;
    copyTime = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(
      static_cast<double>((*found)->size()) / std::max(mOptions.linkBytesPerSecond, 1.0)));
  }
  std::vector<std::shared_ptr<const weights::Manifest>> ordered;
  for (uint64_t version : rollout::fetchOrder(pending, copyTime, aNow)) {
    if (auto known = manifests.find(version); known != manifests.end()) {
      ordered.push_back(known->second);
    }
  }
  // What the engine serves stays held for other VMs that still lack it.
  auto served = manifests.find(aEngineVersion);
  if (served != manifests.end() &&
      std::find(ordered.begin(), ordered.end(), served->second) == ordered.end()) {
    ordered.push_back(served->second);
  }
  return ordered;
}

void WeightLoader::dropObsoleteManifests(const std::vector<WeightTarget>& aTargets)
{
  std::erase_if(mKnownManifests, [&](const auto& aEntry) {
    return std::none_of(aTargets.begin(), aTargets.end(), [&](const WeightTarget& aTarget) {
      return aTarget.version == aEntry.first;
    });
  });
}

std::shared_ptr<const weights::Manifest> WeightLoader::manifestOf(const WeightTarget& aTarget,
                                                                  base::TimePoint aNow)
{
  KnownManifest& known = mKnownManifests[aTarget.version];
  if (known.manifest) {
    return known.manifest;
  }
  if (auto shared = mWeightTable.manifest(aTarget)) {
    storeManifest(known, std::move(shared));
    return known.manifest;
  }
  if (std::exchange(known.isNew, false)) {
    // The origin accepts few connections: the first loader asks it, the others read what that
    // loader publishes.
    known.retryAt = aNow + kManifestStagger * static_cast<int64_t>(mFleet.rank().first);
  }
  if (aNow < known.retryAt) {
    mManifestRetryAt = std::min(mManifestRetryAt, known.retryAt);
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
    known.retryAt = std::chrono::steady_clock::now() + kManifestRetryDelay +
                    kManifestRetryStep * static_cast<int64_t>(mFleet.rank().first);
    mManifestRetryAt = std::min(mManifestRetryAt, known.retryAt);
    return nullptr;
  }
  storeManifest(known, std::make_shared<const weights::Manifest>(std::move(*manifest)));
  if (mPublish) {
    mPublish(manifestKey(aTarget.model, std::to_string(aTarget.version)),
             known.manifest->canonical());
  }
  return known.manifest;
}

void WeightLoader::storeManifest(KnownManifest& aKnown,
                                 std::shared_ptr<const weights::Manifest> aManifest)
{
  aKnown.manifest = std::move(aManifest);
  mManifests.add(*aKnown.manifest);
  log("manifest",
      { { "model", aKnown.manifest->model() },
        { "version", aKnown.manifest->version() },
        { "id", aKnown.manifest->id().toString() } });
}

bool WeightLoader::isExpectedBy(const weights::ManifestId& aId, base::TimePoint aDue) const
{
  auto now = std::chrono::steady_clock::now();
  for (const weights::TransferProgress& transfer : mDistributor->progress(now)) {
    if (transfer.manifest == aId) {
      double held =
        transfer.chunks > 0 ? static_cast<double>(transfer.chunksHeld) / transfer.chunks : 0;
      return rollout::isTransferExpectedWithin(held, transfer.age, aDue - now);
    }
  }
  return false;
}

void WeightLoader::updateWantedManifests(
  const std::vector<std::shared_ptr<const weights::Manifest>>& aManifests)
{
  std::vector<weights::ManifestId> ids;
  for (const auto& manifest : aManifests) {
    ids.push_back(manifest->id());
  }
  if (ids == mWantedIds) {
    return;
  }
  mWantedIds = ids;
  std::vector<weights::TransferRequest> requests;
  for (const auto& manifest : aManifests) {
    // Only this process stages chunks on this VM, so nothing is staged of a manifest first wanted
    // after the start.
    if (mHasWantedManifests && !mEverWanted.contains(manifest->id())) {
      mStaging.noteNotStaged(manifest->id());
    }
    mEverWanted.insert(manifest->id());
    weights::TransferRequest request;
    request.manifest = manifest->id();
    request.originName = manifest->model() + "/" + manifest->version();
    request.urgency = kMaxUrgency - static_cast<int>(requests.size());
    request.endpoints = { mOptions.service };
    requests.push_back(std::move(request));
  }
  mHasWantedManifests = true;
  mDistributor->setWanted(std::move(requests));
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
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

void WeightLoader::settleOrder(const rollout::EngineWeights& aEngine, base::TimePoint aNow)
{
  // An order that counted as lost may still take effect.
  if (aEngine.isBusy || (!mSwitching && !mOrder.isUnproven())) {
    return;
  }
  switch (mOrder.prove(aEngine)) {
    case LoadProof::Proven:
      if (mSwitching && aEngine.version >= mSwitch.wantedVersion()) {
        mSwitching = false;
        log("weights_loaded", { { "version", std::to_string(aEngine.version) } });
      }
      break;
    case LoadProof::Pending:
      if (mSwitching && mOrder.isLost(aEngine, aNow)) {
        mSwitching = false;
        log("order_lost", { { "version", std::to_string(mSwitch.wantedVersion()) } });
      }
      break;
    case LoadProof::Rejected:
      mSwitching = true;
      // The engine takes no requests until it has loaded these weights again or a newer version.
      if (mSwitch.requireReload(aEngine)) {
        log("load_rejected", { { "version", std::to_string(aEngine.version) } });
        mDistributor->invalidateHost();
      }
      break;
  }
}

void WeightLoader::sendLoadOrder(const std::shared_ptr<const weights::Manifest>& aManifest,
                                 uint64_t aVersion,
                                 base::TimePoint aNow)
{
  auto stagingFailed = [this](const base::Error& aError) {
    log("staging_failed", { { "error", aError.describe() } });
    mSwitching = mOrder.isRejected();
    mDistributor->invalidateHost();
  };
  if (auto staged = mOrder.stage(aManifest, aVersion); !staged) {
    stagingFailed(staged.error());
    return;
  }
  mSwitching = true;
  if (mAnnounce) {
    mAnnounce();
  }
  auto setup = mWeightTable.setup();
  auto streams =
    rollout::chooseStreamHandling(setup && setup->mayMoveStreams, mFleet.rank().second);
  auto report = drain(streams);
  if (!report) {
    mSwitching = mOrder.isRejected();
    log("engine_silent", { { "error", report.error().describe() } });
    return;
  }
  // Writing the chunks and the drain take time, and the VM may have been suspended meanwhile.
  if (auto renewed = mOrder.renewChecks(); !renewed) {
    if (renewed.error().kind != base::ErrorKind::Timeout) {
      stagingFailed(renewed.error());
      return;
    }
    // The engine then takes requests once the chunks have been checked after the load.
    log("checks_too_slow", { { "error", renewed.error().describe() } });
  }
  bool move = streams == rollout::StreamHandling::Move;
  auto answer = mOrder.send(
    *report, move ? platform::RunningRequests::Stop : platform::RunningRequests::Finish);
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
  mSwitching = begun || !answer || mOrder.isRejected();
}

} // namespace boragepitch::tools
