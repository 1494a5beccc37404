#include "WeightLoader.h"

#include <algorithm>

#include "platform/OperatorRows.h"

namespace boragepitch::tools {

namespace {

using namespace std::chrono_literals;

/** Between two looks at what is to be done, when nothing wakes the thread. */
constexpr base::Milliseconds kStep = 250ms;
/** Pause after the origin did not give a manifest. */
constexpr base::Milliseconds kManifestRetry = 250ms;
/** Entries hear of a switch before the engine stops taking requests. */
constexpr base::Milliseconds kAnnounceTime = 20ms;
/** The first version of a model, which engines hold when nothing was ever declared. */
constexpr uint64_t kFirstVersion = 1;
/** Parts of the version time: turns begin when most engines have staged the weights, and end early
 * enough to finish what runs. */
constexpr double kTurnsBegin = 0.35;
constexpr double kTurnsLast = 0.45;
/** Chunk memory: the chunks of one version are 2 MiB. */
constexpr size_t kCacheBytes = 4 << 20;
constexpr size_t kFetchThreads = 4;
/** An importer without progress is replaced after this part of the version time. */
constexpr base::Milliseconds kImporterTimeout = 1000ms;
constexpr base::Milliseconds kStallTimeout = 1500ms;
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

void WeightLoader::take(const stores::RowChange& aRow, base::TimePoint aNow)
{
  auto kind = platform::readOperatorKey(aRow.key).kind;
  if (aRow.isDeleted) {
    return;
  }
  if (kind == platform::OperatorRowKind::Deployment) {
    auto deployment = platform::readDeployment(aRow.value);
    if (!deployment) {
      log("deployment_invalid", { { "error", deployment.error().describe() } });
      return;
    }
    std::lock_guard lock(mMutex);
    mDeployment = std::move(*deployment);
  } else if (kind == platform::OperatorRowKind::WeightVersion) {
    auto declared = platform::readWeightVersion(aRow.value);
    if (!declared) {
      log("version_invalid", { { "error", declared.error().describe() } });
      return;
    }
    std::lock_guard lock(mMutex);
    uint64_t& known = mDeclared[declared->model];
    if (declared->version > known) {
      known = declared->version;
      mDeclaredAt[declared->model].emplace_back(known, aNow);
      log("weights_declared",
          { { "model", declared->model }, { "version", std::to_string(known) } });
    }
  }
}

void WeightLoader::onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow)
{
  mLog.write(telemetry::Weight::Critical,
             aReachable ? "store_regained" : "store_lost",
             { { "table", "operators" }, { "reason", aReason.empty() ? "-" : aReason } },
             aNow);
}

std::optional<WeightLoader::Target> WeightLoader::target() const
{
  if (!mDeployment) {
    return std::nullopt;
  }
  const serving::Service* service = mDeployment->service(mOptions.service);
  if (service == nullptr || !service->engine || service->engine->models.empty()) {
    return std::nullopt;
  }
  Target target{ service->engine->models.front(), kFirstVersion };
  auto declared = mDeclared.find(target.model);
  if (declared != mDeclared.end()) {
    target.version = declared->second;
  }
  return target;
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
  std::optional<Target> wanted;
  std::optional<platform::EngineReport> report;
  base::TimePoint declaredAt = aNow;
  {
    std::lock_guard lock(mMutex);
    wanted = target();
    report = mReport;
    if (wanted && report) {
      declaredAt = overdueSince(wanted->model, report->load.weightVersion, aNow);
    }
  }
  if (!wanted || !report || !openDistributor()) {
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
  bool known = mManifest && mManifest->model() == wanted->model &&
               mManifest->version() == std::to_string(wanted->version);
  if (!known && !readManifest(*wanted)) {
    return;
  }
  auto [rank, count] = mFleet.rank();
  mSwitch.want(wanted->version,
               declaredAt + rollout::turnDelay(rank,
                                               count,
                                               partOf(mOptions.versionTime, kTurnsBegin),
                                               partOf(mOptions.versionTime, kTurnsLast)));
  auto held = mDistributor->held();
  bool whole = std::find(held.begin(), held.end(), mManifest->id().toString()) != held.end();
  rollout::EngineWeights engine{ report->load.born,
                                 report->load.weightVersion,
                                 report->load.isSwitching };
  if (mSwitching && engine.version >= wanted->version && !engine.isBusy) {
    mSwitching = false;
    log("weights_loaded", { { "version", std::to_string(engine.version) } });
  }
  if (mSwitch.isDue(engine, whole, aNow)) {
    order(*wanted, aNow);
  }
}

bool WeightLoader::openDistributor()
{
  if (mDistributor) {
    return true;
  }
  std::optional<serving::WeightSource> source;
  {
    std::lock_guard lock(mMutex);
    for (const auto& [name, service] : mDeployment->services()) {
      if (service.origin) {
        source = service.origin;
      }
    }
  }
  if (!source) {
    return false;
  }
  auto region = mOptions.zones.find(source->zone);
  mOrigin = std::make_unique<platform::OriginCalls>(source->address);
  weights::DistributorOptions options;
  options.links.uplink = mOptions.linkBytesPerSecond;
  options.links.downlink = mOptions.linkBytesPerSecond;
  options.cacheBytes = kCacheBytes;
  options.fetchThreads = kFetchThreads;
  options.importerTimeout = kImporterTimeout;
  options.stallTimeout = kStallTimeout;
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

bool WeightLoader::readManifest(const Target& aTarget)
{
  // The origin may send wrong bytes: two equal answers are taken as right. A wrong manifest would
  // otherwise condemn all right chunks.
  auto manifest = mOrigin->manifest(aTarget.model, aTarget.version);
  if (!manifest) {
    log("manifest_missing",
        { { "model", aTarget.model },
          { "version", std::to_string(aTarget.version) },
          { "error", manifest.error().describe() } });
    std::this_thread::sleep_for(kManifestRetry);
    return false;
  }
  if (mOnceRead != manifest->id()) {
    mOnceRead = manifest->id();
    return false;
  }
  mManifest = std::make_shared<const weights::Manifest>(std::move(*manifest));
  mManifests.add(*mManifest);
  weights::Wanted wanted;
  wanted.manifest = mManifest->id();
  wanted.originName = aTarget.model + "/" + std::to_string(aTarget.version);
  wanted.since = std::chrono::steady_clock::now();
  wanted.endpoints = { mOptions.service };
  mDistributor->want({ wanted });
  log("manifest",
      { { "model", aTarget.model },
        { "version", std::to_string(aTarget.version) },
        { "id", mManifest->id().toString() } });
  return true;
}

bool WeightLoader::verifyStaged() const
{
  for (uint32_t chunk = 0; chunk < mManifest->chunkCount(); ++chunk) {
    auto bytes = mEngine.chunk(mManifest->model(), chunk);
    if (!bytes || !mManifest->verifies(chunk, base::asBytes(*bytes))) {
      log("staged_chunk_bad",
          { { "chunk", std::to_string(chunk) },
            { "reason", bytes ? "digest" : bytes.error().describe() } });
      return false;
    }
  }
  return true;
}

void WeightLoader::order(const Target& aTarget, base::TimePoint aNow)
{
  // Staged chunks may turn bad after they were written.
  if (!verifyStaged()) {
    mDistributor->hostLost();
    return;
  }
  mSwitching = true;
  if (mAnnounce) {
    mAnnounce();
  }
  std::this_thread::sleep_for(kAnnounceTime);
  auto report = mEngine.report();
  if (!report) {
    mSwitching = false;
    log("engine_silent", { { "error", report.error().describe() } });
    return;
  }
  auto answer = mEngine.start(aTarget.model, aTarget.version, report->orders);
  bool begun = answer && *answer != platform::OrderAnswer::Refused;
  log("order",
      { { "version", std::to_string(aTarget.version) },
        { "from", std::to_string(report->load.weightVersion) },
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
