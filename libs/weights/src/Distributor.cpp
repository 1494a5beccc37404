#include "weights/Distributor.h"

#include <algorithm>
#include <thread>

#include "ChunkFetcher.h"
#include "ChunkServer.h"
#include "Context.h"
#include "Membership.h"
#include "PeerPoller.h"
#include "Preparer.h"
#include "Verifier.h"
#include "telemetry/Log.h"

namespace boragepitch::weights {

namespace {
constexpr base::Milliseconds kControlInterval{ 50 };
/** Interval while every manifest is complete; the longest delay until a change of the fleet is
 * noticed. */
constexpr base::Milliseconds kSettledControlInterval{ 500 };
constexpr size_t kTreeRoots = 4;

tl::unexpected<base::Error> invalid(std::string aField, std::string aMessage)
{
  return base::fail(
    base::ErrorKind::Invalid, std::move(aField), std::move(aMessage), "correct the setting");
}

/** Number of VMs of a region that use the link to other regions at the same time. */
size_t interRegionUsers(const DistributorOptions& aOptions, size_t aAgents)
{
  switch (aOptions.scheme) {
    case Scheme::Origin:
      return aAgents;
    case Scheme::Chain:
      return 1;
    case Scheme::Trees:
      return std::min(aAgents, kTreeRoots);
    case Scheme::Swarm:
      break;
  }
  return std::min(aAgents, aOptions.importersPerRegion);
}

TransferProgress progressOf(const Task& aTask, base::TimePoint aNow)
{
  TransferProgress progress;
  progress.manifest = aTask.wanted.manifest;
  progress.state = aTask.state;
  progress.fromOrigin = aTask.fromOrigin;
  progress.fromPeers = aTask.fromPeers;
  progress.fromOtherRegions = aTask.fromOtherRegions;
  progress.age = aNow - aTask.created;
  progress.error = aTask.error;
  if (aTask.manifest) {
    const Manifest& manifest = *aTask.manifest;
    progress.chunks = manifest.chunkCount();
    progress.chunksHeld = aTask.own.count();
    progress.bytes = manifest.size();
    progress.bytesHeld = uint64_t{ aTask.own.count() } * manifest.chunkSize();
    if (aTask.own.test(manifest.chunkCount() - 1)) {
      progress.bytesHeld -= manifest.chunkSize() - manifest.sizeOf(manifest.chunkCount() - 1);
    }
  }
  return progress;
}

Json::Value taskJson(const Task& aTask, base::TimePoint aNow)
{
  TransferProgress progress = progressOf(aTask, aNow);
  Json::Value json;
  json["manifest"] = progress.manifest.toString();
  json["state"] = std::string(toString(progress.state));
  json["wanted"] = aTask.isWanted;
  json["urgency"] = aTask.wanted.urgency;
  json["chunksHeld"] = progress.chunksHeld;
  json["chunks"] = progress.chunks;
  json["inFlight"] = aTask.inFlight.count();
  json["fromOrigin"] = Json::UInt64(progress.fromOrigin);
  json["fromPeers"] = Json::UInt64(progress.fromPeers);
  json["fromOtherRegions"] = Json::UInt64(progress.fromOtherRegions);
  json["error"] = progress.error ? progress.error->describe() : "";
  json["peers"] = Json::Value(Json::objectValue);
  for (const PeerView& view : aTask.peers) {
    json["peers"][view.id]["chunks"] = view.have.count();
    json["peers"][view.id]["progressAgeMs"] =
      Json::Int64(base::toMilliseconds(aNow - view.lastProgress));
  }
  return json;
}

} // namespace

class DistributorImpl final : public Distributor
{
public:
  explicit DistributorImpl(const Builder& aBuilder)
    : mContext(aBuilder.mOptions,
               LocalVm{ .id = aBuilder.mId,
                        .region = aBuilder.mRegion,
                        .originRegion = aBuilder.mOriginRegion },
               aBuilder.mSeed,
               *aBuilder.mMetrics)
    , mOnChange(aBuilder.mOnChange)
    , mServer(mContext)
    , mFetcher(mContext)
    , mPreparer(mContext)
    , mVerifier(mContext)
  {
    mContext.fleet = aBuilder.mFleet;
    mContext.origin = aBuilder.mOrigin;
    mContext.objects = aBuilder.mObjects;
    mContext.host = aBuilder.mHost;
  }

  ~DistributorImpl() override { DistributorImpl::stop(); }

  void setWanted(std::vector<TransferRequest> aWanted) override
  {
    {
      std::lock_guard lock(mContext.mutex);
      auto now = std::chrono::steady_clock::now();
      auto released = mContext.core.setWanted(std::move(aWanted), now, mContext.rng);
      mPreparer.release(released);
      mTasksChanged = true;
    }
    mContext.notifyAll();
    mFetcher.cancelStale();
  }

  std::vector<TransferProgress> progress(base::TimePoint aNow) const override
  {
    std::vector<TransferProgress> list;
    std::lock_guard lock(mContext.mutex);
    for (const Task* task : mContext.core.ordered()) {
      if (task->isWanted) {
        list.push_back(progressOf(*task, aNow));
      }
    }
    return list;
  }

  std::vector<std::string> held() const override
  {
    std::lock_guard lock(mContext.mutex);
    return mContext.core.held();
  }

  std::vector<std::string> fetching() const override
  {
    std::lock_guard lock(mContext.mutex);
    return mContext.core.fetching();
  }

  std::shared_ptr<const Manifest> manifest(const ManifestId& aId) const override
  {
    std::lock_guard lock(mContext.mutex);
    const Task* task = mContext.core.find(aId);
    return task != nullptr ? task->manifest : nullptr;
  }

  void invalidateHost() override
  {
    {
      std::lock_guard lock(mContext.mutex);
      mContext.core.invalidateHost(std::chrono::steady_clock::now());
      mTasksChanged = true;
    }
    mContext.notifyAll();
    mFetcher.cancelStale();
  }

  void attach(net::HttpServer& aServer) override { mServer.attach(aServer); }

  void noteRequestBytes(uint64_t aUp, uint64_t aDown, bool aCrossRegion) override
  {
    mContext.links.noteRequestBytes(aUp, aDown, aCrossRegion, std::chrono::steady_clock::now());
  }

  void start() override
  {
    mFetcher.start();
    mThreads.emplace_back([this] { mPreparer.run(); });
    mThreads.emplace_back([this] { mVerifier.run(); });
    mThreads.emplace_back([this] { control(); });
  }

  void stop() override
  {
    {
      std::lock_guard lock(mContext.mutex);
      mContext.stopping = true;
    }
    mContext.notifyAll();
    mContext.links.stop();
    mServer.stop();
    mFetcher.cancelStale();
    mFetcher.join();
    for (std::thread& thread : mThreads) {
      thread.join();
    }
    mThreads.clear();
  }

  Json::Value dumpJson() const override
  {
    auto now = std::chrono::steady_clock::now();
    Json::Value json;
    std::lock_guard lock(mContext.mutex);
    json["scheme"] = std::string(toString(mContext.options.scheme));
    json["memoryBytes"] = Json::UInt64(mContext.memory.used());
    json["memoryPeakBytes"] = Json::UInt64(mContext.memory.peak());
    json["uploads"] = Json::UInt64(mServer.load());
    json["originInFlight"] = Json::UInt64(mContext.core.origin().inFlight());
    json["originFailures"] = mContext.core.origin().failures();
    json["manifests"] = Json::Value(Json::arrayValue);
    for (const Task* task : mContext.core.ordered()) {
      json["manifests"].append(taskJson(*task, now));
    }
    json["peers"] = Json::Value(Json::objectValue);
    for (const auto& [id, peer] : mContext.core.peerBook().peers()) {
      json["peers"][id]["corruptChunks"] = Json::UInt64(peer.corruptChunks);
      json["peers"][id]["avoided"] = now < peer.avoidUntil;
      json["peers"][id]["inFlight"] = peer.inFlight;
    }
    return json;
  }

private:
  void control()
  {
    while (!mContext.stopping) {
      refreshMembers();
      refreshPollers();
      reportChanges();
      std::unique_lock lock(mContext.mutex);
      auto interval = mContext.isSettled() ? kSettledControlInterval : kControlInterval;
      mContext.control.wait_for(
        lock, interval, [this] { return mContext.stopping || mTasksChanged; });
    }
    for (auto& [id, poller] : mPollers) {
      poller->requestStop();
    }
    mPollers.clear();
  }

  /** Updates the members of each manifest when the node table or the set of manifests changed. */
  void refreshMembers()
  {
    auto nodes = mContext.fleet->nodes();
    std::lock_guard lock(mContext.mutex);
    auto now = std::chrono::steady_clock::now();
    bool tasksChanged = std::exchange(mTasksChanged, false);
    bool nodesChanged = nodes != mNodes;
    mNodes = nodes;
    for (const Task* task : mContext.core.ordered()) {
      if (!task->manifest || (!nodesChanged && !tasksChanged && !task->members.empty())) {
        continue;
      }
      auto members = membersFor(*nodes, task->wanted, mContext.localVm.id, mContext.localVm.region);
      // The node table changes often but seldom changes the members; choosing neighbours again is
      // expensive.
      if (members != task->members) {
        mContext.core.setMembers(task->wanted.manifest, std::move(members), now);
      }
    }
    if (nodesChanged) {
      size_t agents = std::max<size_t>(1, agentsIn(*nodes, mContext.localVm.region));
      mContext.links.shareInterRegion(interRegionUsers(mContext.options, agents), now);
    }
  }

  void refreshPollers()
  {
    std::set<std::string> polled;
    {
      std::lock_guard lock(mContext.mutex);
      polled = mContext.core.polledPeers();
    }
    std::vector<std::unique_ptr<PeerPoller>> retired;
    for (auto entry = mPollers.begin(); entry != mPollers.end();) {
      auto address = mContext.addressOf(entry->first);
      if (polled.contains(entry->first) && address == entry->second->address()) {
        ++entry;
        continue;
      }
      entry->second->requestStop();
      retired.push_back(std::move(entry->second));
      entry = mPollers.erase(entry);
    }
    for (const std::string& peer : polled) {
      auto address = mContext.addressOf(peer);
      if (address && !mPollers.contains(peer)) {
        mPollers[peer] = std::make_unique<PeerPoller>(mContext, peer, *address);
      }
    }
  }

  void reportChanges()
  {
    auto heldNow = held();
    auto fetchingNow = fetching();
    if (heldNow == mReportedHeld && fetchingNow == mReportedFetching) {
      return;
    }
    mReportedHeld = std::move(heldNow);
    mReportedFetching = std::move(fetchingNow);
    if (mOnChange) {
      mOnChange();
    }
  }

  Context mContext;
  std::function<void()> mOnChange;
  ChunkServer mServer;
  ChunkFetcher mFetcher;
  Preparer mPreparer;
  Verifier mVerifier;
  bool mTasksChanged = false; ///< Guarded by the context's mutex.
  std::shared_ptr<const control::NodeTable> mNodes;
  std::map<std::string, std::unique_ptr<PeerPoller>> mPollers;
  std::vector<std::string> mReportedHeld;
  std::vector<std::string> mReportedFetching;
  std::vector<std::thread> mThreads;
};

using Builder = Distributor::Builder;

Builder& Builder::fleet(const control::FleetView* aFleet)
{
  mFleet = aFleet;
  return *this;
}

Builder& Builder::origin(stores::WeightOrigin* aOrigin)
{
  mOrigin = aOrigin;
  return *this;
}

Builder& Builder::objects(stores::ObjectClient* aObjects)
{
  mObjects = aObjects;
  return *this;
}

Builder& Builder::host(WeightHost* aHost)
{
  mHost = aHost;
  return *this;
}

Builder& Builder::metrics(telemetry::Registry* aRegistry)
{
  mMetrics = aRegistry;
  return *this;
}

Builder& Builder::node(std::string aId, std::string aZone, std::string aRegion)
{
  mId = std::move(aId);
  mZone = std::move(aZone);
  mRegion = std::move(aRegion);
  return *this;
}

Builder& Builder::originRegion(std::string aRegion)
{
  mOriginRegion = std::move(aRegion);
  return *this;
}

Builder& Builder::options(DistributorOptions aOptions)
{
  mOptions = aOptions;
  return *this;
}

Builder& Builder::scheme(Scheme aScheme)
{
  mOptions.scheme = aScheme;
  return *this;
}

Builder& Builder::links(LinkLimits aLinks)
{
  mOptions.links = aLinks;
  return *this;
}

Builder& Builder::cacheBytes(size_t aBytes)
{
  mOptions.cacheBytes = aBytes;
  return *this;
}

Builder& Builder::seed(uint64_t aSeed)
{
  mSeed = aSeed;
  return *this;
}

Builder& Builder::onChange(std::function<void()> aCallback)
{
  mOnChange = std::move(aCallback);
  return *this;
}

base::Result<std::unique_ptr<Distributor>> Builder::build()
{
  if (!mFleet || !mOrigin || !mObjects || !mHost || !mMetrics) {
    return invalid("builder", "fleet, origin, objects, host and metrics are required");
  }
  if (mId.empty() || mRegion.empty() || mOriginRegion.empty()) {
    return invalid("node", "node id, region and origin region are required");
  }
  bool positive =
    mOptions.fetchThreads > 0 && mOptions.fetchesPerPeer > 0 && mOptions.originConnections > 0 &&
    mOptions.neighbours > 0 && mOptions.importersPerRegion > 0 && mOptions.remoteNeighbours > 0 &&
    mOptions.uploadSlots > 0 && mOptions.cacheBytes > 0 && mOptions.maxOriginMismatches > 0;
  if (!positive) {
    return invalid("options", "counts must be positive");
  }
  const LinkLimits& links = mOptions.links;
  if (links.uplink < 0 || links.downlink < 0 || links.interRegion < 0) {
    return invalid("links", "rates must not be negative");
  }
  return std::unique_ptr<Distributor>(std::make_unique<DistributorImpl>(*this));
}

} // namespace boragepitch::weights
