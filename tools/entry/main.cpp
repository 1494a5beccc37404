#include "Daemon.h"
#include "EntrySettings.h"
#include "PlannerLoop.h"
#include "ProgressReport.h"
#include "RunDaemon.h"
#include "ServerLimits.h"
#include "SharedSettings.h"
#include "StoreAdapter.h"
#include "SuspectNotices.h"
#include "api/ResourceApi.h"
#include "base/Json.h"
#include "gateway/EntryGateway.h"
#include "resources/Codec.h"

namespace {

using namespace boragepitch;
using namespace std::chrono_literals;

// Time for the load balancer to see /readyz fail before new requests are refused.
constexpr auto kLeaveDelay = 300ms;
constexpr size_t kControlBodyBytes = 4 << 20;

control::NodeState describeSelf(const settings::Settings& aSettings)
{
  control::NodeState self;
  self.id = aSettings.text("node.id");
  self.incarnation = tools::wallClockMilliseconds();
  self.kind = control::NodeKind::Entry;
  self.zone = aSettings.text("node.zone");
  self.region = aSettings.text("node.region");
  self.controlAddress = aSettings.address("node.control");
  self.dataAddress = aSettings.address("node.public");
  self.phase = control::Phase::Ready;
  return self;
}

std::unique_ptr<routing::EndpointChoice> makeChoice(const std::string& aName)
{
  if (aName == "round-robin") {
    return std::make_unique<routing::RoundRobin>();
  }
  if (aName == "least-loaded") {
    return std::make_unique<routing::LeastLoaded>();
  }
  return nullptr;
}

/** The entry process. Members are declared in dependency order. */
class Entry final : public tools::DaemonProcess
{
public:
  Entry(const settings::Settings& aSettings,
        std::unique_ptr<control::HmacAuthenticator> aAuthenticator)
    : mSettings(aSettings)
    , mSelf(describeSelf(aSettings))
    , mAuthenticator(std::move(aAuthenticator))
    , mRpcServer(*mAuthenticator, mSelf.controlAddress.toString())
    , mRpcClient(*mAuthenticator)
  {
  }

  base::Status start() override
  {
    makePlatform();
    makeFleet();
    makePlanner();
    makePublicServer();
    for (net::HttpServer* server : { mControlServer.get(), mPublicServer.get() }) {
      if (auto started = server->start(); !started) {
        return started;
      }
    }
    mFleet->start();
    mFleet->publish(mSelf);
    mLease->start();
    mPlanner->start();
    return {};
  }

  void leave() override
  {
    mLeaving = true;
    mSelf.phase = control::Phase::Leaving;
    mFleet->publish(mSelf);
    mPlanner->stop();
    mLease->stop();
    std::this_thread::sleep_for(kLeaveDelay);
    mGateway->startLeaving();
    mApi->stop();
    mGateway->waitIdle(mSettings.duration("leave.drain_limit"));
    mPublicServer->stop();
    mFleet->stop();
    mControlServer->stop();
  }

  Json::Value dump() const override
  {
    Json::Value dump;
    dump["node"] = mSelf.id;
    dump["leaving"] = mLeaving.load();
    dump["fleet"] = mFleet->dumpJson();
    dump["gateway"] = mGateway->dump();
    dump["plannerFencing"] = Json::UInt64{ mLease->fencing() };
    return dump;
  }

private:
  std::unique_ptr<control::ConfigStore> makeStore(stores::TableClient& aTable,
                                                  const std::string& aSuffix)
  {
    return control::ConfigStore::Builder()
      .table(aTable)
      .clock(mClock)
      .codec(mCodec)
      .owner(mSelf.id + "-" + std::to_string(mSelf.incarnation) + aSuffix)
      .seed(tools::nodeSeed(mSettings))
      .build();
  }

  void makePlatform()
  {
    uint64_t seed = tools::nodeSeed(mSettings);
    mTable =
      stores::HttpTable::Builder().address(mSettings.address("platform.table")).seed(seed).build();
    mVms =
      stores::HttpVmList::Builder().address(mSettings.address("platform.vms")).seed(seed).build();
    mCodec = { &resources::toJson, &resources::fromJson };
    mStore = makeStore(*mTable, "");
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
    mRpcServer.addMethod(tools::kSuspectsMethod, [this](const Json::Value& aParams) {
      mGateway->learnSuspects(tools::parseSuspects(aParams));
      return base::Result<Json::Value>(Json::Value(Json::objectValue));
    });
    mRpcServer.attach(*mControlServer);
    tools::addControlRoutes(
      *mControlServer, mMetrics, [this] { return dump(); }, [this] { return isReady(); });
  }

  void makePlanner()
  {
    mLease = stores::LeaseRunner::Builder()
               .table(*mTable)
               .clock(mClock)
               .lease({ .name = "planner",
                        .owner = mSelf.id + "-" + std::to_string(mSelf.incarnation),
                        .duration = mSettings.duration("planner.lease") })
               .seed(tools::nodeSeed(mSettings))
               .build();
    mFencedTable = std::make_unique<tools::FencedTable>(*mLease, *mTable);
    mPlannerStore = makeStore(*mFencedTable, "-planner");
    tools::PlannerSettings settings{ .interval = mSettings.duration("planner.interval"),
                                     .claimAge = mSettings.duration("claims.keep") };
    mPlanner =
      std::make_unique<tools::PlannerLoop>(*mFleet, *mLease, *mPlannerStore, *mTable, settings);
    mFleet->onConfigChange([this] { mPlanner->wake(); });
  }

  void makePublicServer()
  {
    net::HttpServer::Builder server;
    tools::applyServerLimits(server, mSettings, mMetrics);
    mPublicServer = server.address(mSettings.address("node.public"))
                      .maxConnections(static_cast<size_t>(mSettings.integer("limits.connections")))
                      .maxBodyBytes(static_cast<size_t>(mSettings.integer("limits.body_bytes")))
                      .build();
    mStoreAdapter = std::make_unique<tools::StoreAdapter>(*mStore, *mFleet);
    std::vector<std::string> keys;
    for (const auto& [name, key] : mSettings.section("operators")) {
      keys.push_back(key);
    }
    mApi = api::ResourceApi::Builder()
             .store(*mStoreAdapter)
             .fleet(*mFleet)
             .operatorKeys(std::move(keys))
             .progress([this] { return tools::progressReport(*mFleet); })
             .build();
    mApi->attach(*mPublicServer);
    gateway::EntryLimits limits;
    mNotices = std::make_unique<tools::SuspectNotices>(
      *mFleet, *mAuthenticator, mSelf.id, limits.noticeTimeout);
    limits.defaultDeadline = mSettings.duration("limits.default_deadline");
    limits.progressTimeout = mSettings.duration("limits.progress_timeout");
    limits.maxAttempts = static_cast<int>(mSettings.integer("limits.attempts"));
    auto builder = gateway::EntryGateway::Builder();
    builder.fleet(*mFleet)
      .table(*mTable)
      .metrics(mMetrics)
      .identity(mSelf.id, mSelf.zone, mSelf.region)
      .limits(limits)
      .suspectNotice([this](const std::vector<control::Suspect>& aSuspects) {
        return mNotices->notify(aSuspects);
      })
      .seed(tools::nodeSeed(mSettings));
    if (auto choice = makeChoice(mSettings.text("routing.choice"))) {
      builder.choice(std::move(choice));
    }
    mGateway = builder.build();
    mGateway->attach(*mPublicServer);
  }

  bool isReady() const
  {
    return !mLeaving && (mFleet->mayStartNewWork(mClock.now()) || awaitsFirstDeclaration());
  }

  /**
   * True when no configuration has been declared yet and the last store poll succeeded recently.
   * Such an entry serves no requests, but must be ready so that the load balancer passes the first
   * declaration to the resource API. Polling the store here would block /readyz during a store
   * outage.
   */
  bool awaitsFirstDeclaration() const
  {
    if (mFleet->config()->revision() != 0) {
      return false;
    }
    Json::Value age = mFleet->dumpJson()["evidence"]["store"];
    return age.isInt64() && age.asInt64() <= mSettings.duration("fleet.isolation_limit").count();
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
  std::unique_ptr<stores::VmList> mVms;
  std::unique_ptr<control::ConfigStore> mStore;
  std::unique_ptr<control::Fleet> mFleet;
  std::unique_ptr<stores::LeaseRunner> mLease;
  std::unique_ptr<tools::FencedTable> mFencedTable;
  std::unique_ptr<control::ConfigStore> mPlannerStore;
  std::unique_ptr<tools::PlannerLoop> mPlanner;
  std::unique_ptr<tools::StoreAdapter> mStoreAdapter;
  std::unique_ptr<api::ResourceApi> mApi;
  std::unique_ptr<tools::SuspectNotices> mNotices;
  std::unique_ptr<gateway::EntryGateway> mGateway;
  std::atomic<bool> mLeaving{ false };
  // Destroyed first, since the servers' handlers use all members above.
  std::unique_ptr<net::HttpServer> mPublicServer;
  std::unique_ptr<net::HttpServer> mControlServer;
};

} // namespace

int main(int aCount, char** aArguments)
{
  auto make = [](const settings::Settings& aSettings,
                 std::unique_ptr<control::HmacAuthenticator> aAuthenticator) {
    return std::make_unique<Entry>(aSettings, std::move(aAuthenticator));
  };
  return tools::runDaemon(aCount, aArguments, "bp-entry", tools::entrySchema(), make);
}
