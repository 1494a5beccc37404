#include "WeightLoader.h"

#include <algorithm>

namespace boragepitch::tools {

namespace {

using namespace std::chrono_literals;

/** Between two looks at what is to be done, when nothing wakes the thread. */
constexpr base::Milliseconds kStep = 250ms;
/** Pause after the origin did not give a manifest. */
constexpr base::Milliseconds kManifestRetry = 250ms;
/** Between the turns of two loaders at the origin's manifest. */
constexpr base::Milliseconds kManifestTurn = 120ms;
/** Entries hear of a switch before the engine stops taking requests. */
constexpr base::Milliseconds kAnnounceTime = 20ms;
/** Between two looks at how many streams are left. */
constexpr base::Milliseconds kDrainStep = 50ms;
/** Entries prefer other endpoints for so long before a turn: about the length of a stream. */
constexpr base::Milliseconds kSoon = 800ms;
/** The first version of a model, which engines hold when nothing was ever declared. */
constexpr uint64_t kFirstVersion = 1;
/** Parts of the version time: turns begin when the first engines have staged the weights, and the
 * last one is loaded when entries begin to require them. */
constexpr double kTurnsBegin = 0.42;
constexpr double kTurnsLast = 0.32;
/** Chunks in flight and those that peers ask for just after they came; all are in the host too. */
constexpr size_t kCacheBytes = 1 << 20;
/** A version further back is not to be had from the origin. */
constexpr size_t kTargets = 2;
constexpr int kHighestUrgency = 9;
/** An engine may be without allowed weights for this long, where that saves it a second switch. */
constexpr base::Milliseconds kSkipGrace = 2000ms;
constexpr size_t kFetchThreads = 4;
/** An importer without progress is replaced after this part of the version time. */
constexpr base::Milliseconds kImporterTimeout = 1000ms;
constexpr base::Milliseconds kStallTimeout = 1500ms;
/** Longest pause between two tries of the origin: a version must be loaded within 8 s. */
constexpr base::Milliseconds kOriginBackoff = 600ms;
/** Chunks that arrive within this time are announced together: each announcement costs both sides
 * processor time, and a chunk takes 35 ms of a link of 7.6 Mbit/s. */
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
                           platform::EngineCalls& aEngine,
                           LoaderFleet& aFleet,
                           telemetry::Registry& aMetrics,
                           telemetry::EventLog& aLog)
  : mOptions(std::move(aOptions))
  , mEngine(aEngine)
  , mFleet(aFleet)
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
  mLog.write(telemetry::Weight::Critical, aEvent, aFields, std::chrono::steady_clock::now());
}

void WeightLoader::onReport(const platform::EngineReport& aReport, base::TimePoint /*aNow*/)
{
  std::lock_guard lock(mMutex);
  bool changed = !mReport || mReport->load.born != aReport.load.born ||
                 mReport->load.weightVersion != aReport.load.weightVersion ||
                 mReport->load.isSwitching != aReport.load.isSwitching;
  mReport = aReport;
  if (changed) {
    mWake.notify_all();
  }
}

void WeightLoader::onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  onChanges(aRows, aNow);
}

void WeightLoader::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  for (const auto& row : aRows) {
    take(row, aNow);
  }
  mWake.notify_all();
}

void WeightLoader::onServiceTime(base::Milliseconds aServiceTime)
{
  std::lock_guard lock(mMutex);
  mServiceTime = aServiceTime;
}

void WeightLoader::take(const stores::RowChange& aRow, base::TimePoint aNow)
{
  if (aRow.isDeleted) {
    return; // What was known stays in force.
  }
  if (aRow.key == setupKey(mOptions.service)) {
    takeSetup(aRow);
  } else if (isManifestKey(aRow.key)) {
    takeManifest(aRow);
  } else if (auto declared = readDeclaredRow(aRow.key, aRow.value)) {
    takeDeclared(*declared, aNow);
  }
}

void WeightLoader::takeSetup(const stores::RowChange& aRow)
{
  auto setup = readWeightSetup(aRow.value);
  if (!setup) {
    log("setup_invalid", { { "error", setup.error().describe() } });
    return;
  }
  log("setup",
      { { "model", setup->model },
        { "origin", setup->origin.toString() },
        { "may_move_streams", setup->mayMoveStreams ? "yes" : "no" } });
  std::lock_guard lock(mMutex);
  mSetup = std::move(*setup);
}

void WeightLoader::takeManifest(const stores::RowChange& aRow)
{
  auto manifest = weights::Manifest::parse(aRow.value);
  if (!manifest || aRow.key != manifestKey(manifest->model(), manifest->version())) {
    log("manifest_invalid", { { "row", aRow.key } });
    return;
  }
  std::lock_guard lock(mMutex);
  mPublished[aRow.key] = std::make_shared<const weights::Manifest>(std::move(*manifest));
}

void WeightLoader::takeDeclared(const DeclaredRow& aRow, base::TimePoint aNow)
{
  std::lock_guard lock(mMutex);
  uint64_t& known = mDeclared[aRow.model];
  if (aRow.version <= known) {
    return;
  }
  known = aRow.version;
  auto age = std::max(mServiceTime - aRow.at, base::Milliseconds(0));
  mDeclaredAt[aRow.model].emplace_back(known, aNow - age);
  log("weights_declared",
      { { "model", aRow.model },
        { "version", std::to_string(known) },
        { "age_ms", std::to_string(age.count()) } });
}

void WeightLoader::onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow)
{
  mLog.write(telemetry::Weight::Critical,
             aReachable ? "store_regained" : "store_lost",
             { { "table", "weights" }, { "reason", aReason.empty() ? "-" : aReason } },
             aNow);
}

std::vector<WeightLoader::Target> WeightLoader::targets() const
{
  std::vector<Target> targets;
  if (!mSetup) {
    return targets;
  }
  const std::string& model = mSetup->model;
  auto declared = mDeclaredAt.find(model);
  if (declared == mDeclaredAt.end() || declared->second.empty()) {
    targets.push_back({ model, kFirstVersion });
    return targets;
  }
  for (auto entry = declared->second.rbegin();
       entry != declared->second.rend() && targets.size() < kTargets;
       ++entry) {
    targets.push_back({ model, entry->first });
  }
  return targets;
}

base::TimePoint WeightLoader::overdueSince(const std::string& aModel,
                                           uint64_t aEngineVersion,
                                           base::TimePoint aNow) const
{
  auto declared = mDeclaredAt.find(aModel);
  if (declared != mDeclaredAt.end()) {
    for (const auto& [version, at] : declared->second) {
      if (version > aEngineVersion) {
        return at;
      }
    }
  }
  return aNow;
}

void WeightLoader::run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    lock.unlock();
    step(std::chrono::steady_clock::now());
    lock.lock();
    mWake.wait_for(lock, kStep);
  }
}

void WeightLoader::step(base::TimePoint aNow)
{
  std::vector<Target> wanted;
  std::optional<platform::EngineReport> report;
  base::TimePoint declaredAt = aNow;
  {
    std::lock_guard lock(mMutex);
    wanted = targets();
    report = mReport;
    if (!wanted.empty() && report) {
      declaredAt = overdueSince(wanted.front().model, report->load.weightVersion, aNow);
    }
  }
  if (wanted.empty() || !report || !openDistributor()) {
    return;
  }
  if (report->load.born != mBorn) {
    // A restart may have come with a loss of power, which empties the staging area.
    if (mBorn != 0) {
      mDistributor->hostLost();
      log("engine_restarted", { { "born", std::to_string(report->load.born) } });
    }
    mBorn = report->load.born;
  }
  forgetOthers(wanted);
  std::vector<std::shared_ptr<const weights::Manifest>> manifests;
  auto held = mDistributor->held();
  std::shared_ptr<const weights::Manifest> newest;
  uint64_t newestVersion = 0;
  for (const Target& target : wanted) {
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
  rollout::EngineWeights engine{ report->load.born,
                                 report->load.weightVersion,
                                 report->load.isSwitching };
  if (mSwitching && engine.version >= mSwitch.wanted() && !engine.isBusy) {
    mSwitching = false;
    log("weights_loaded", { { "version", std::to_string(engine.version) } });
  }
  if (!newest) {
    return;
  }
  auto [rank, count] = mFleet.rank();
  mSwitch.want(newestVersion,
               declaredAt + rollout::turnDelay(rank,
                                               count,
                                               partOf(mOptions.versionTime, kTurnsBegin),
                                               partOf(mOptions.versionTime, kTurnsLast)));
  bool newerComes = newest != manifests.front() && engine.version > 0 &&
                    comesInTime(manifests.front()->id(),
                                declaredAt + base::Duration(mOptions.versionTime + kSkipGrace));
  bool staged = newestVersion == mSwitch.wanted();
  mSwitchesSoon = !newerComes && mSwitch.isNear(engine, staged, kSoon, aNow);
  if (!newerComes && mSwitch.isDue(engine, staged, aNow)) {
    order(*newest, newestVersion, aNow);
  }
}

bool WeightLoader::openDistributor()
{
  if (mDistributor) {
    return true;
  }
  std::optional<WeightSetup> setup;
  {
    std::lock_guard lock(mMutex);
    setup = mSetup;
  }
  if (!setup) {
    return false;
  }
  auto region = mOptions.zones.find(setup->originZone);
  mOrigin = std::make_unique<platform::OriginCalls>(setup->origin);
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
      .onChange([this] { mWake.notify_all(); })
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

void WeightLoader::forgetOthers(const std::vector<Target>& aTargets)
{
  std::erase_if(mKnown, [&](const auto& aEntry) {
    return std::none_of(aTargets.begin(), aTargets.end(), [&](const Target& aTarget) {
      return aTarget.version == aEntry.first;
    });
  });
}

std::shared_ptr<const weights::Manifest> WeightLoader::manifestOf(const Target& aTarget,
                                                                  base::TimePoint aNow)
{
  // The origin may send wrong bytes: two equal answers are taken as right. A wrong manifest would
  // otherwise condemn all right chunks.
  KnownManifest& known = mKnown[aTarget.version];
  if (known.manifest) {
    return known.manifest;
  }
  if (auto shared = published(aTarget)) {
    adopt(known, std::move(shared));
    return known.manifest;
  }
  if (std::exchange(known.isNew, false)) {
    // One loader asks the origin, whose connections are few; the others get what it publishes.
    known.retryAt = aNow + kManifestTurn * static_cast<int64_t>(mFleet.rank().first);
  }
  if (aNow < known.retryAt) {
    return nullptr;
  }
  auto manifest = mOrigin->manifest(aTarget.model, aTarget.version);
  if (!manifest) {
    log("manifest_missing",
        { { "model", aTarget.model },
          { "version", std::to_string(aTarget.version) },
          { "error", manifest.error().describe() } });
    known.retryAt = aNow + base::Duration(kManifestRetry);
    return nullptr;
  }
  if (known.onceRead != manifest->id()) {
    known.onceRead = manifest->id();
    mWake.notify_all();
    return nullptr;
  }
  adopt(known, std::make_shared<const weights::Manifest>(std::move(*manifest)));
  if (mPublish) {
    mPublish(manifestKey(aTarget.model, std::to_string(aTarget.version)),
             known.manifest->canonical());
  }
  return known.manifest;
}

std::shared_ptr<const weights::Manifest> WeightLoader::published(const Target& aTarget) const
{
  std::lock_guard lock(mMutex);
  auto found = mPublished.find(manifestKey(aTarget.model, std::to_string(aTarget.version)));
  return found == mPublished.end() ? nullptr : found->second;
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
  for (const weights::Progress& one : mDistributor->progress(now)) {
    if (one.manifest == aId) {
      double held = one.chunks > 0 ? static_cast<double>(one.chunksHeld) / one.chunks : 0;
      return rollout::isExpectedWithin(held, one.age, aDue - now);
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
  std::vector<weights::Wanted> wanted;
  for (const auto& manifest : aManifests) {
    // Only this process stages chunks on this VM: what it wants later is not there yet.
    if (mStarted && !mSeen.contains(manifest->id())) {
      mStaging.noteNew(manifest->id());
    }
    mSeen.insert(manifest->id());
    weights::Wanted one;
    one.manifest = manifest->id();
    one.originName = manifest->model() + "/" + manifest->version();
    one.urgency = kHighestUrgency - static_cast<int>(wanted.size());
    one.endpoints = { mOptions.service };
    wanted.push_back(std::move(one));
  }
  mStarted = true;
  mDistributor->want(std::move(wanted));
}

bool WeightLoader::mayMoveStreams() const
{
  std::lock_guard lock(mMutex);
  return mSetup && mSetup->mayMoveStreams;
}

void WeightLoader::order(const weights::Manifest& aManifest,
                         uint64_t aVersion,
                         base::TimePoint aNow)
{
  // Staged chunks may turn bad at any time, so that all are written or verified just before.
  if (auto staged = mStaging.commit(aManifest); !staged) {
    log("staging_failed", { { "error", staged.error().describe() } });
    mDistributor->hostLost();
    return;
  }
  mSwitching = true;
  if (mAnnounce) {
    mAnnounce();
  }
  auto streams = rollout::streamsAtSwitch(mayMoveStreams(), mFleet.rank().second);
  bool move = streams == rollout::RunningStreams::Move;
  std::this_thread::sleep_for(kAnnounceTime);
  auto report = mEngine.report();
  auto since = std::chrono::steady_clock::now();
  while (move && report &&
         !rollout::mayStopStreams(report->load.running, std::chrono::steady_clock::now() - since)) {
    std::this_thread::sleep_for(kDrainStep);
    report = mEngine.report();
  }
  if (!report) {
    mSwitching = false;
    log("engine_silent", { { "error", report.error().describe() } });
    return;
  }
  auto answer =
    mEngine.start(aManifest.model(),
                  aVersion,
                  report->orders,
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
  // An order without an answer may have been accepted: it counts as given until its timeout.
  if (begun || !answer) {
    mSwitch.ordered({ report->load.born, report->load.weightVersion, true }, aNow);
  }
  mSwitching = begun;
}

} // namespace boragepitch::tools
