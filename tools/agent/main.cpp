#include "AgentSettings.h"
#include "Daemon.h"
#include "EndpointController.h"
#include "RunDaemon.h"
#include "ServerLimits.h"
#include "SharedSettings.h"
#include "base/Json.h"
#include "control/ConfigStore.h"
#include "resources/Codec.h"
#include "weights/EngineWeightHost.h"

namespace {

using namespace boragepitch;
using namespace std::chrono_literals;

// Time for entries to learn that this agent is leaving before it refuses new requests.
constexpr auto kLeaveDelay = 300ms;
// A gossip exchange about 512 nodes stays far below this limit.
constexpr size_t kControlBodyBytes = 4 << 20;

control::NodeState describeSelf(const settings::Settings& aSettings)
{
  control::NodeState self;
  self.id = aSettings.text("node.id");
  self.incarnation = tools::wallClockMilliseconds();
  self.kind = control::NodeKind::Agent;
  self.zone = aSettings.text("node.zone");
  self.region = aSettings.text("node.region");
  self.controlAddress = aSettings.address("node.control");
  self.dataAddress = aSettings.address("node.data");
  self.weightsAddress = aSettings.address("node.weights");
  self.endpoint = aSettings.text("endpoint.name");
  return self;
}

weights::Scheme parseScheme(const std::string& aName)
{
  if (aName == "origin") {
    return weights::Scheme::Origin;
  }
  if (aName == "chain") {
    return weights::Scheme::Chain;
  }
  if (aName == "trees") {
    return weights::Scheme::Trees;
  }
  return weights::Scheme::Swarm;
}

weights::DistributorOptions distributorOptions(const settings::Settings& aSettings)
{
  weights::DistributorOptions options;
  options.scheme = parseScheme(aSettings.text("weights.scheme"));
  options.links.uplink = static_cast<double>(aSettings.integer("weights.uplink_bytes_per_s"));
  options.links.downlink = static_cast<double>(aSettings.integer("weights.downlink_bytes_per_s"));
  options.links.interRegion = static_cast<double>(aSettings.integer("weights.region_bytes_per_s"));
  options.cacheBytes = static_cast<size_t>(aSettings.integer("weights.cache_bytes"));
  options.fetchThreads = static_cast<size_t>(aSettings.integer("weights.fetch_threads"));
  options.neighbours = static_cast<size_t>(aSettings.integer("weights.neighbours"));
  options.importerTimeout = aSettings.duration("weights.importer_timeout");
  return options;
}

/** The agent process. Members are declared in dependency order. */
class Agent final : public tools::DaemonProcess
{
public:
  Agent(const settings::Settings& aSettings,
        std::unique_ptr<control::HmacAuthenticator> aAuthenticator)
    : mSettings(aSettings)
    , mSelf(describeSelf(aSettings))
    , mAuthenticator(std::move(aAuthenticator))
    , mRpcServer(*mAuthenticator, mSelf.controlAddress.toString())
    , mRpcClient(*mAuthenticator)
    , mHost(aSettings.address("engine.address"))
  {
  }

  base::Status start() override
  {
    makePlatform();
    makeFleet();
    makeGateway();
    if (auto made = makeDistributor(); !made) {
      return made;
    }
    makeController();
    for (net::HttpServer* server :
         { mControlServer.get(), mDataServer.get(), mWeightsServer.get() }) {
      if (auto started = server->start(); !started) {
        return started;
      }
    }
    mFleet->start();
    mDistributor->start();
    if (mController) {
      mController->start();
    } else {
      serveAsPlainService();
    }
    return {};
  }

  void leave() override
  {
    mLeaving = true;
    if (mController) {
      mController->startLeaving();
    } else {
      mSelf.phase = control::Phase::Leaving;
      mFleet->publish(mSelf);
    }
    std::this_thread::sleep_for(kLeaveDelay);
    mGateway->startLeaving();
    waitForRequestsInFlight();
    if (mController) {
      mController->stop();
    }
    mDataServer->stop();
    mDistributor->stop();
    mWeightsServer->stop();
    mFleet->stop();
    mControlServer->stop();
  }

  Json::Value dump() const override
  {
    Json::Value dump;
    dump["node"] = mSelf.id;
    dump["leaving"] = mLeaving.load();
    dump["fleet"] = mFleet->dumpJson();
    dump["weights"] = mDistributor->dumpJson();
    dump["gateway"] = mGateway->dump();
    if (mController) {
      dump["endpoint"] = mController->dump();
    }
    return dump;
  }

private:
  void makePlatform()
  {
    uint64_t seed = tools::nodeSeed(mSettings);
    mTable =
      stores::HttpTable::Builder().address(mSettings.address("platform.table")).seed(seed).build();
    mObjects = stores::HttpObjects::Builder()
                 .address(mSettings.address("platform.objects"))
                 .seed(seed)
                 .build();
    mOrigin = stores::HttpWeightOrigin::Builder()
                .address(mSettings.address("platform.objects"))
                .seed(seed)
                .build();
    mVms =
      stores::HttpVmList::Builder().address(mSettings.address("platform.vms")).seed(seed).build();
    std::string owner = mSelf.id + "-" + std::to_string(mSelf.incarnation);
    mCodec = { &resources::toJson, &resources::fromJson };
    mStore = control::ConfigStore::Builder()
               .table(*mTable)
               .clock(mClock)
               .codec(mCodec)
               .owner(owner)
               .seed(seed)
               .build();
    mEpochs = std::make_unique<stores::EpochIssuer>(*mTable, owner);
  }

  void makeFleet()
  {
    net::HttpServer::Builder server;
    tools::applyServerLimits(server, mSettings, mMetrics);
    mControlServer =
      server.address(mSelf.controlAddress).maxBodyBytes(kControlBodyBytes).keepAlive(1s).build();
    mFleet = control::Fleet::Builder()
               .self(mSelf)
               .seeds(mSettings.addresses("fleet.seeds"))
               .vmList(mVms.get())
               .configStore(mStore.get())
               .codec(mCodec)
               .rpcClient(mRpcClient)
               .rpcServer(mRpcServer)
               .clock(mClock)
               .seed(tools::nodeSeed(mSettings))
               .settings(tools::fleetSettings(mSettings))
               .build();
    mRpcServer.attach(*mControlServer);
    tools::addControlRoutes(
      *mControlServer, mMetrics, [this] { return dump(); }, [this] { return isReady(); });
    mControlServer->route("GET", "/progress", [this](const net::HttpRequest&) {
      net::HttpResponse response;
      response.body = base::writeJson(progress());
      return response;
    });
  }

  void makeGateway()
  {
    net::HttpServer::Builder server;
    tools::applyServerLimits(server, mSettings, mMetrics);
    mDataServer = server.address(mSelf.dataAddress)
                    .maxConnections(static_cast<size_t>(mSettings.integer("limits.connections")))
                    .maxBodyBytes(static_cast<size_t>(mSettings.integer("limits.body_bytes")))
                    .keepAlive(60s)
                    .build();
    mGateway = gateway::AgentGateway::Builder()
                 .fleet(*mFleet)
                 .metrics(mMetrics)
                 .identity(mSelf.id, mSelf.zone, mSelf.endpoint)
                 .target(mSettings.address("engine.address"))
                 .onSuspects([this](std::vector<control::Suspect> aSuspects) {
                   if (mController) {
                     mController->setSuspects(std::move(aSuspects));
                   }
                 })
                 .onCrash([this](const std::string&) {
                   if (mController) {
                     mController->wake();
                   }
                 })
                 .build();
    mGateway->attach(*mDataServer);
  }

  base::Status makeDistributor()
  {
    auto distributor = weights::Distributor::Builder()
                         .fleet(mFleet.get())
                         .origin(mOrigin.get())
                         .objects(mObjects.get())
                         .host(&mHost)
                         .metrics(&mMetrics)
                         .node(mSelf.id, mSelf.zone, mSelf.region)
                         .originRegion(mSettings.text("platform.origin_region"))
                         .options(distributorOptions(mSettings))
                         .seed(tools::nodeSeed(mSettings))
                         .onChange([this] {
                           if (mController) {
                             mController->wake();
                           }
                         })
                         .build();
    if (!distributor) {
      return tl::make_unexpected(distributor.error());
    }
    mDistributor = std::move(*distributor);
    net::HttpServer::Builder server;
    tools::applyServerLimits(server, mSettings, mMetrics);
    mWeightsServer = server.address(mSelf.weightsAddress).keepAlive(30s).build();
    mDistributor->attach(*mWeightsServer);
    return {};
  }

  void makeController()
  {
    if (mSettings.text("engine.type") != "model") {
      return;
    }
    tools::EndpointSettings settings{ .name = mSelf.endpoint,
                                      .engine = mSettings.address("engine.address"),
                                      .stateInterval = mSettings.duration("engine.state_interval"),
                                      .maxEpochAge = mSettings.duration("engine.epoch_life") };
    mController = std::make_unique<tools::EndpointController>(
      tools::EndpointDependencies{ *mFleet, *mDistributor, *mGateway, *mEpochs }, settings, mSelf);
    mFleet->onConfigChange([this] { mController->wake(); });
  }

  /** A plain service has no weights: it takes requests as soon as the agent runs, up to its
   * declared warm limit. */
  void serveAsPlainService()
  {
    auto apply = [this] {
      auto snapshot = mFleet->config();
      gateway::EngineState state;
      state.cold = false;
      if (const auto* declared = snapshot->spec<resources::Endpoint>("Endpoint", mSelf.endpoint)) {
        state.warmLimit = declared->warmLimit;
      }
      mGateway->setServing(state);
    };
    mFleet->onConfigChange(apply);
    apply();
    mSelf.phase = control::Phase::Ready;
    mSelf.cold = false;
    mFleet->publish(mSelf);
  }

  bool isReady() const
  {
    bool serves = mController == nullptr || mController->isServing();
    return !mLeaving && serves && mFleet->mayStartNewWork(mClock.now());
  }

  Json::Value progress() const
  {
    Json::Value list(Json::arrayValue);
    for (const weights::TransferProgress& transfer : mDistributor->progress(mClock.now())) {
      Json::Value row;
      row["manifest"] = transfer.manifest.toString();
      row["state"] = std::string(weights::toString(transfer.state));
      row["chunksHeld"] = transfer.chunksHeld;
      row["chunks"] = transfer.chunks;
      row["bytesHeld"] = Json::UInt64{ transfer.bytesHeld };
      row["bytes"] = Json::UInt64{ transfer.bytes };
      row["fromOrigin"] = Json::UInt64{ transfer.fromOrigin };
      row["fromPeers"] = Json::UInt64{ transfer.fromPeers };
      row["fromOtherRegions"] = Json::UInt64{ transfer.fromOtherRegions };
      row["ageMs"] = Json::Int64{ base::toMilliseconds(transfer.age) };
      if (transfer.bytesHeld > 0 && transfer.bytesHeld < transfer.bytes) {
        double msPerByte = std::chrono::duration<double, std::milli>(transfer.age).count() /
                           static_cast<double>(transfer.bytesHeld);
        row["expectedMs"] =
          Json::Int64(msPerByte * static_cast<double>(transfer.bytes - transfer.bytesHeld));
      }
      if (transfer.error) {
        row["blockedBy"] = transfer.error->describe();
      }
      list.append(row);
    }
    return list;
  }

  void waitForRequestsInFlight()
  {
    auto deadline = mClock.now() + mSettings.duration("leave.drain_limit");
    while (mGateway->running() + mGateway->queued() > 0 && mClock.now() < deadline) {
      std::this_thread::sleep_for(10ms);
    }
  }

  const settings::Settings& mSettings;
  base::SteadyClock mClock;
  telemetry::Registry mMetrics;
  control::NodeState mSelf;
  std::unique_ptr<control::HmacAuthenticator> mAuthenticator;
  rpc::RpcServer mRpcServer;
  rpc::RpcClient mRpcClient;
  control::ResourceCodec mCodec;
  std::unique_ptr<stores::TableClient> mTable;
  std::unique_ptr<stores::ObjectClient> mObjects;
  std::unique_ptr<stores::WeightOrigin> mOrigin;
  std::unique_ptr<stores::VmList> mVms;
  std::unique_ptr<control::ConfigStore> mStore;
  std::unique_ptr<stores::EpochIssuer> mEpochs;
  weights::EngineWeightHost mHost;
  std::unique_ptr<control::Fleet> mFleet;
  std::unique_ptr<gateway::AgentGateway> mGateway;
  std::unique_ptr<weights::Distributor> mDistributor;
  std::unique_ptr<tools::EndpointController> mController;
  std::atomic<bool> mLeaving{ false };
  // Destroyed first, since the servers' handlers use all members above.
  std::unique_ptr<net::HttpServer> mWeightsServer;
  std::unique_ptr<net::HttpServer> mDataServer;
  std::unique_ptr<net::HttpServer> mControlServer;
};

} // namespace

int main(int aCount, char** aArguments)
{
  auto make = [](const settings::Settings& aSettings,
                 std::unique_ptr<control::HmacAuthenticator> aAuthenticator) {
    return std::make_unique<Agent>(aSettings, std::move(aAuthenticator));
  };
  return tools::runDaemon(aCount, aArguments, "bp-agent", tools::agentSchema(), make);
}
