#include "FleetImpl.h"

#include <algorithm>

#include "telemetry/Log.h"

namespace boragepitch::control {

namespace {

constexpr base::Milliseconds kTickInterval{ 50 };
// The failure detector visits every record, and its timeouts are seconds.
constexpr base::Milliseconds kDetectorInterval{ 200 };
// Copying the table of the largest fleet takes about a millisecond.
constexpr base::Milliseconds kTablePublishInterval{ 20 };
// Exchanges, polls and VM list reads each block a thread for seconds if the other side does not
// answer, so pushes have a pool of their own.
constexpr size_t kPoolThreads = 5;
constexpr size_t kPushThreads = 4;
constexpr size_t kMaxQueued = 64;
constexpr base::Milliseconds kFirstPollSpread{ 1000 };
constexpr size_t kMaxExchangesInFlight = 3;
// Every this many gossip rounds, a seed or VM list address without a live process is contacted, so
// that a partition can heal even after each side has removed the other's records.
constexpr uint64_t kRoundsPerSeedContact = 8;
// Adoption times kept for dumpJson(); `bench/run control` reads them after many declarations.
constexpr size_t kMaxAdoptions = 128;

NodeState withIncarnation(NodeState aSelf)
{
  if (aSelf.incarnation == 0) {
    auto wall = std::chrono::system_clock::now().time_since_epoch();
    aSelf.incarnation =
      static_cast<uint64_t>(std::chrono::duration_cast<base::Milliseconds>(wall).count());
  }
  return aSelf;
}

} // namespace

FleetImpl::FleetImpl(Builder aOptions)
  : mOptions(std::move(aOptions))
  , mSettings(mOptions.mSettings)
  , mClock(*mOptions.mClock)
  , mClient(*mOptions.mClient)
  , mRng(mOptions.mSeed)
  , mCore(withIncarnation(mOptions.mSelf), mSettings, mOptions.mCodec, mClock.now())
  , mPauseDetector(mSettings.pauseLimit)
  , mPollSchedule(mSettings.pollBudget, mSettings.maxPollPeriod)
  , mConfig(mCore.config().snapshot())
  , mNodes(std::make_shared<const NodeTable>(mCore.nodes().table()))
{
  addMethods();
}

FleetImpl::~FleetImpl()
{
  stop();
}

bool FleetImpl::mayStartNewWork(base::TimePoint aNow) const
{
  // Without a configuration, a process cannot tell an unknown model from one that it has not
  // learned of yet. Right after a pause, mFreshUntil still has its old value; only the overdue tick
  // shows the pause.
  return mConfig.load()->revision() > 0 && aNow < mFreshUntil.load() &&
         aNow - mLastTick.load() <= mSettings.pauseLimit;
}

void FleetImpl::publish(NodeState aSelf)
{
  Lock lock(mMutex);
  mCore.publish(std::move(aSelf));
  publishTable(lock);
  applyEffects(lock);
}

void FleetImpl::offerRevision(const LogEntry& aEntry)
{
  Lock lock(mMutex);
  mCore.adopt({ aEntry });
  if (mCore.config().revision() < aEntry.revision) {
    mPollSchedule.pollNow(now());
  }
  applyEffects(lock);
}

void FleetImpl::onConfigChange(Callback aCallback)
{
  Lock lock(mMutex);
  mConfigCallbacks.push_back(std::move(aCallback));
}

void FleetImpl::onNodesChange(Callback aCallback)
{
  Lock lock(mMutex);
  mNodesCallbacks.push_back(std::move(aCallback));
}

void FleetImpl::start()
{
  Lock lock(mMutex);
  if (mThread.joinable() || mStopped) {
    return;
  }
  base::TimePoint start = now();
  mLastTick = start;
  mNextGossip = start;
  mNextVmListRead = start;
  mNextEvidenceCheck = start + mSettings.isolationLimit / 2;
  bool isAlone = mOptions.mSeeds.empty() && mOptions.mVmList == nullptr;
  if (!isAlone) {
    // If a whole fleet starts at once, most processes then get the configuration from peers.
    mPollSchedule.delayNextPoll(start, kFirstPollSpread, mRng);
  }
  mPool = std::make_unique<WorkPool>(kPoolThreads, kMaxQueued);
  mPushPool = std::make_unique<WorkPool>(kPushThreads, kMaxQueued);
  mThread = std::thread([this] { run(); });
}

void FleetImpl::stop()
{
  {
    Lock lock(mMutex);
    mStopped = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
  if (mPool) {
    mPool->stop();
    mPushPool->stop();
  }
  mFreshUntil = base::TimePoint::min();
}

void FleetImpl::run()
{
  Lock lock(mMutex);
  while (!mStopped) {
    tick(lock);
    runCallbacks(lock);
    mWake.wait_for(lock, kTickInterval, [this] { return mStopped || mConfigCallbackDue; });
  }
}

void FleetImpl::tick(Lock& aLock)
{
  base::TimePoint at = now();
  if (auto pause = mPauseDetector.tick(at)) {
    mCore.paused(at);
    mFreshUntil = base::TimePoint::min();
    ++mCounters.pauses;
    mPollSchedule.pollNow(at);
    mNextGossip = at;
    telemetry::logEvent(telemetry::Level::Warn,
                        "process-paused",
                        { { "ms", std::to_string(base::toMilliseconds(*pause)) } });
  }
  mLastTick = at;
  if (at >= mNextDetectorTick) {
    mNextDetectorTick = at + kDetectorInterval;
    mCore.tick(at);
  }
  startDueTasks(at);
  if (mTableChanged && at - mTablePublishedAt >= kTablePublishInterval) {
    publishTable(aLock);
  }
  applyEffects(aLock);
}

void FleetImpl::startDueTasks(base::TimePoint aNow)
{
  if (aNow >= mNextGossip) {
    mNextGossip = aNow + mSettings.gossipInterval;
    ++mGossipRounds;
    startExchange(choosePartner(aNow));
  } else if (aNow >= mNextEvidenceCheck &&
             mCore.freshness().freshUntil() < aNow + mSettings.isolationLimit / 2) {
    // Half of the isolation limit has passed without new evidence: contact a peer before it ends.
    mNextEvidenceCheck = aNow + mSettings.isolationLimit / 10;
    bool otherRegions = mCore.freshness().needsOtherRegions();
    auto ids = choosePeers(mCore.nodes().table(),
                           mCore.nodes().self(),
                           otherRegions ? PeerScope::OtherRegions : PeerScope::OwnZone,
                           1,
                           mRng);
    const NodeEntry* peer = ids.empty() ? nullptr : mCore.nodes().find(ids.front());
    startExchange(peer ? std::optional(Partner{ ids.front(), peer->state.controlAddress })
                       : chooseSeed());
  }
  if (mOptions.mStore != nullptr && !mPolling && mPollSchedule.isDue(aNow)) {
    mPolling = mPool->submit([this] { pollStore(); });
  }
  if (mOptions.mVmList != nullptr && !mReadingVmList && aNow >= mNextVmListRead) {
    mNextVmListRead = aNow + vmListDelay(mSettings.vmListInterval, mVmListAddresses.size(), mRng);
    mReadingVmList = mPool->submit([this] { readVmList(); });
  }
}

void FleetImpl::startExchange(std::optional<Partner> aPartner)
{
  if (!aPartner || mExchangesInFlight >= kMaxExchangesInFlight) {
    return;
  }
  if (mPool->submit([this, partner = *aPartner] { exchange(partner); })) {
    ++mExchangesInFlight;
  }
}

std::optional<FleetImpl::Partner> FleetImpl::choosePartner(base::TimePoint)
{
  if (!mJoined || mGossipRounds % kRoundsPerSeedContact == 0) {
    if (auto seed = chooseSeed()) {
      return seed;
    }
  }
  // Alternates instead of choosing at random, so that other regions are contacted regularly.
  PeerScope scope = mGossipRounds % 2 == 0 ? PeerScope::OwnZone : PeerScope::OtherZones;
  auto ids = choosePeers(mCore.nodes().table(), mCore.nodes().self(), scope, 1, mRng);
  if (ids.empty()) {
    return chooseSeed();
  }
  return Partner{ ids.front(), mCore.nodes().find(ids.front())->state.controlAddress };
}

std::optional<FleetImpl::Partner> FleetImpl::chooseSeed()
{
  std::set<net::Address> known{ mCore.nodes().self().controlAddress };
  for (const auto& [id, entry] : mCore.nodes().table()) {
    if (entry.liveness == Liveness::Alive) {
      known.insert(entry.state.controlAddress);
    }
  }
  std::vector<net::Address> unknown;
  auto isUnknown = [&](const net::Address& aSeed) { return known.count(aSeed) == 0; };
  const auto& seeds = mOptions.mSeeds;
  std::copy_if(seeds.begin(), seeds.end(), std::back_inserter(unknown), isUnknown);
  std::copy_if(
    mVmListAddresses.begin(), mVmListAddresses.end(), std::back_inserter(unknown), isUnknown);
  if (unknown.empty()) {
    return std::nullopt;
  }
  return Partner{ "", unknown[base::uniformBelow(mRng, unknown.size())] };
}

void FleetImpl::applyEffects(const Lock& aLock)
{
  (void)aLock;
  Effects effects = mCore.takeEffects();
  if (mStopped) {
    return;
  }
  mFreshUntil = mCore.freshness().freshUntil();
  if (effects.configChanged) {
    mConfig = mCore.config().snapshot();
    mAdoptions.emplace_back(mCore.config().revision(), now());
    if (mAdoptions.size() > kMaxAdoptions) {
      mAdoptions.pop_front();
    }
    mConfigCallbackDue = true;
    mWake.notify_all();
  }
  mTableChanged = mTableChanged || effects.nodesChanged;
  if (!mPool) {
    return;
  }
  bool urgent = !effects.urgentNodes.empty() || !effects.urgentLiveness.empty();
  bool hasNewRevision = mSettings.gossipConfig && mCore.config().revision() > mPushedRevision;
  if (hasNewRevision || urgent) {
    uint64_t after = std::exchange(mPushedRevision, mCore.config().revision());
    push(after, effects);
  }
  if (effects.pullFrom && !mPulling && mSettings.gossipConfig) {
    mPool->submit([this, peer = *effects.pullFrom] { pull(peer, false); });
  }
}

void FleetImpl::publishTable(const Lock& aLock)
{
  (void)aLock;
  mNodes = std::make_shared<const NodeTable>(mCore.nodes().table());
  mTablePublishedAt = now();
  mTableChanged = false;
  mNodesCallbackDue = true;
}

void FleetImpl::runCallbacks(Lock& aLock)
{
  bool config = std::exchange(mConfigCallbackDue, false);
  bool nodes = std::exchange(mNodesCallbackDue, false);
  if (!config && !nodes) {
    return;
  }
  std::vector<Callback> configCallbacks = config ? mConfigCallbacks : std::vector<Callback>();
  std::vector<Callback> nodesCallbacks = nodes ? mNodesCallbacks : std::vector<Callback>();
  aLock.unlock();
  for (const Callback& callback : configCallbacks) {
    callback();
  }
  for (const Callback& callback : nodesCallbacks) {
    callback();
  }
  aLock.lock();
}

Json::Value FleetImpl::dumpJson() const
{
  static constexpr const char* kLiveness[] = { "alive", "suspect", "dead" };
  Lock lock(mMutex);
  base::TimePoint at = now();
  Json::Value dump;
  dump["id"] = mCore.nodes().self().id;
  dump["revision"] = Json::UInt64(mCore.config().revision());
  dump["mayStartNewWork"] = mayStartNewWork(at);
  dump["evidence"] = encodeAges(mCore.freshness().ages(at));
  for (const auto& [id, entry] : mCore.nodes().table()) {
    Json::Value node = encodeNode(entry.state);
    node["liveness"] = kLiveness[static_cast<int>(entry.liveness)];
    dump["nodes"].append(std::move(node));
  }
  // Adoption times are milliseconds of the machine's monotonic clock.
  dump["adoptions"] = Json::Value(Json::arrayValue);
  for (const auto& [revision, time] : mAdoptions) {
    Json::Value adoption;
    adoption["revision"] = Json::UInt64(revision);
    adoption["atMs"] = Json::Int64(base::toMilliseconds(time.time_since_epoch()));
    dump["adoptions"].append(std::move(adoption));
  }
  Json::Value& counters = dump["counters"];
  counters["exchanges"] = Json::UInt64(mCounters.exchanges);
  counters["exchangesFailed"] = Json::UInt64(mCounters.exchangesFailed);
  counters["pushes"] = Json::UInt64(mCounters.pushes);
  counters["pulls"] = Json::UInt64(mCounters.pulls);
  counters["polls"] = Json::UInt64(mCounters.polls);
  counters["pollsFailed"] = Json::UInt64(mCounters.pollsFailed);
  counters["pauses"] = Json::UInt64(mCounters.pauses);
  counters["calls"] = Json::UInt64(mClient.calls());
  counters["bytesSent"] = Json::UInt64(mClient.bytesSent());
  counters["bytesReceived"] = Json::UInt64(mClient.bytesReceived());
  const rpc::RpcServer& server = *mOptions.mServer;
  counters["callsServed"] = Json::UInt64(server.calls());
  counters["servedBytesSent"] = Json::UInt64(server.bytesSent());
  counters["servedBytesReceived"] = Json::UInt64(server.bytesReceived());
  counters["vmListReads"] = Json::UInt64(mCounters.vmListReads);
  return dump;
}

} // namespace boragepitch::control
