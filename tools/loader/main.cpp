#include <deque>

#include <unistd.h>

#include "Daemon.h"
#include "LoadReporter.h"
#include "LoaderFleet.h"
#include "LoaderSettings.h"
#include "NodeRows.h"
#include "RunNode.h"
#include "ServerLimits.h"
#include "StoreConnections.h"
#include "WeightLoader.h"
#include "WeightTableListener.h"
#include "base/Digest.h"

namespace {

using namespace boragepitch;
using namespace std::chrono_literals;

/** A late update of the list of nodes affects the choice of peers only: entries announce
 * themselves, and a loader that joins reads the list at its start. */
constexpr base::Milliseconds kNodeTableWait = 30000ms;
/** Coalesces the rows that entries write at about the same time. */
constexpr base::Milliseconds kWeightTableCoalesceTime = 100ms;
constexpr base::Milliseconds kNodeTableCoalesceTime = 3000ms;
constexpr base::Milliseconds kMaxNodeTableCoalesceTime = 24000ms;
/** Manifests that are written again after a restore; the origin does not serve older versions. */
constexpr size_t kMaxKeptManifests = 2;
constexpr double kBitsPerByte = 8;
constexpr double kMega = 1e6;

tools::LoaderOptions loaderOptions(const settings::Settings& aSettings,
                                   std::function<void(net::HttpServer::Builder&)> aLimitServer)
{
  tools::LoaderOptions options;
  options.node = aSettings.text("node.id");
  options.zone = aSettings.text("node.zone");
  options.region = aSettings.text("node.region");
  options.service = aSettings.text("engine.service");
  options.weights = aSettings.address("listen.weights");
  options.zones = aSettings.section("zones");
  options.linkBytesPerSecond = aSettings.number("links.vm_mbps") * kMega / kBitsPerByte *
                               aSettings.number("links.weights_share");
  options.versionTime = aSettings.duration("weights.version_time");
  options.seed = base::fastHash(base::asBytes(options.node));
  options.limitServer = std::move(aLimitServer);
  return options;
}

serving::SubsetOptions subsetOptions(const settings::Settings& aSettings)
{
  serving::SubsetOptions options;
  options.entriesPerEndpoint =
    static_cast<size_t>(aSettings.integer("placement.entries_per_engine"));
  return options;
}

serving::ReportIntervals reportIntervals(const settings::Settings& aSettings)
{
  serving::ReportIntervals intervals;
  intervals.busy = aSettings.duration("engine.report_interval");
  intervals.quiet = aSettings.duration("engine.quiet_report_interval");
  return intervals;
}

/** The process; each member may depend on those declared before it. */
class Loader final : public tools::NodeProcess
{
public:
  explicit Loader(const settings::Settings& aSettings)
    : mSettings(aSettings)
    , mOptions(loaderOptions(aSettings,
                             [this](net::HttpServer::Builder& aServer) { limitServer(aServer); }))
    , mLog(STDOUT_FILENO, mOptions.node)
    , mStoreConnections(mOptions.node, aSettings.address("store.address"), mLog)
    , mEngine(aSettings.address("engine.address"))
    , mSelfRow{ mOptions.zone, mOptions.region, mOptions.service, mOptions.weights }
    , mFleet(mOptions.node,
             mSelfRow,
             aSettings.address("engine.address").toString(),
             subsetOptions(aSettings),
             mLog)
    , mWeightTable(mOptions.service, mLog)
    , mWeights(mOptions, mEngine, mFleet, mWeightTable, mMetrics, mLog)
    , mNotices(mFleet, mWeightTable, mLog, [this] { mWeightWatcher->refresh(); })
    , mReporter(mEngine, mFleet, mWeights, mNotices, mLog, reportIntervals(aSettings))
  {
  }

  base::Status start() override
  {
    net::HttpServer::Builder server;
    limitServer(server);
    mMetricsServer =
      server.address(mSettings.address("listen.metrics"))
        .maxConnections(static_cast<size_t>(mSettings.integer("limits.status_connections")))
        .build();
    tools::addControlRoutes(
      *mMetricsServer,
      mMetrics,
      [] { return Json::Value(Json::objectValue); },
      [] { return true; });
    if (auto started = mMetricsServer->start(); !started) {
      return started;
    }
    mWeightTable.onChange([this] { mWeights.wake(); });
    mWeights.setAnnounceCallback([this] { mReporter.announce(); });
    mWeights.setPublishCallback([this](const std::string& aKey, const std::string& aText) {
      // While it is not written, the other loaders read the manifest from the origin themselves,
      // one after the other.
      mStoreConnections.keep({ tools::kWeightTable, aKey, aText });
      mPublishedManifests.push_back(aKey);
      if (mPublishedManifests.size() > kMaxKeptManifests) {
        mStoreConnections.forget(tools::kWeightTable, mPublishedManifests.front());
        mPublishedManifests.pop_front();
      }
    });
    if (auto bound = mReporter.bind(mOptions.weights); !bound) {
      return bound;
    }
    mWeightWatcher = &mStoreConnections.watch(tools::kWeightTable,
                                              mWeightTable,
                                              mSettings.duration("store.wait"),
                                              kWeightTableCoalesceTime);
    mStoreConnections.watch(
      tools::kNodeTable, mFleet, kNodeTableWait, kNodeTableCoalesceTime, kMaxNodeTableCoalesceTime);
    mStoreConnections.keep(
      { tools::kNodeTable, tools::kLoaderPrefix + mOptions.node, tools::writeLoaderRow(mSelfRow) });
    mWeights.start();
    mReporter.start();
    return {};
  }

  void leave(base::TimePoint /*aSignalledAt*/) override
  {
    mReporter.stop();
    mStoreConnections.stop();
    mWeights.stop();
    mMetricsServer->stop();
  }

  telemetry::EventLog& log() override { return mLog; }

private:
  void limitServer(net::HttpServer::Builder& aServer)
  {
    tools::applyServerLimits(
      aServer, mSettings, mMetrics, [this](const std::string& aReason, const net::Address& aPeer) {
        mLog.write(telemetry::EventClass::Refused,
                   "connection_cut",
                   { { "reason", aReason }, { "peer", aPeer.toString() } },
                   std::chrono::steady_clock::now());
      });
  }

  const settings::Settings& mSettings;
  const tools::LoaderOptions mOptions;
  telemetry::Registry mMetrics;
  telemetry::EventLog mLog;
  tools::StoreConnections mStoreConnections;
  platform::EngineControlClient mEngine;
  const tools::LoaderRow mSelfRow;
  tools::LoaderFleet mFleet;
  tools::WeightTableListener mWeightTable;
  tools::WeightLoader mWeights;
  std::deque<std::string> mPublishedManifests; ///< Keys, oldest first; used by the loader's thread.
  stores::TableWatcher* mWeightWatcher = nullptr; ///< Set before the reporter starts.
  tools::EntryNotices mNotices;
  tools::LoadReporter mReporter;
  std::unique_ptr<net::HttpServer> mMetricsServer;
};

} // namespace

int main(int aCount, char** aArguments)
{
  return tools::runNode(
    aCount,
    aArguments,
    "bp-loader",
    tools::loaderSchema(),
    [](const settings::Settings& aSettings) { return std::make_unique<Loader>(aSettings); });
}
