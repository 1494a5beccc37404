#include <iostream>
#include <thread>

#include <unistd.h>

#include "Daemon.h"
#include "LoadReporter.h"
#include "LoaderFleet.h"
#include "LoaderSettings.h"
#include "NodeRows.h"
#include "WeightLoader.h"
#include "base/Digest.h"
#include "platform/HeaderNames.h"
#include "platform/StoreCalls.h"

namespace {

using namespace boragepitch;
using namespace std::chrono_literals;

/** The list of nodes changes rarely, and a late change only shifts the choice of peers. */
constexpr base::Milliseconds kNodeTableWait = 20000ms;
/** Gathers the rows that entries write together. */
constexpr base::Milliseconds kWeightTablePause = 100ms;
constexpr base::Milliseconds kNodeTablePause = 2500ms;
constexpr base::Milliseconds kRegisterRetry = 500ms;
constexpr double kBitsPerByte = 8;
constexpr double kMega = 1e6;

tools::LoaderOptions loaderOptions(const settings::Settings& aSettings)
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
  return options;
}

/** The process: its parts in the order in which they depend on each other. */
class Loader
{
public:
  explicit Loader(const settings::Settings& aSettings)
    : mSettings(aSettings)
    , mOptions(loaderOptions(aSettings))
    , mStore(aSettings.address("store.address"))
    , mLog(STDOUT_FILENO, mOptions.node)
    , mEngine(aSettings.address("engine.address"))
    , mSelfRow{ mOptions.zone, mOptions.region, mOptions.service, mOptions.weights }
    , mFleet(mOptions.node, mSelfRow, mLog)
    , mWeights(mOptions, mEngine, mFleet, mMetrics, mLog)
    , mReporter(mEngine, mFleet, mWeights, mLog, aSettings.duration("engine.report_interval"))
  {
  }

  base::Status start()
  {
    mMetricsServer =
      net::HttpServer::Builder().address(mSettings.address("listen.metrics")).build();
    tools::addControlRoutes(
      *mMetricsServer,
      mMetrics,
      [] { return Json::Value(Json::objectValue); },
      [] { return true; });
    if (auto started = mMetricsServer->start(); !started) {
      return started;
    }
    mWeights.beforeOrder([this] { mReporter.announce(); });
    mWeights.publishManifests([this](const std::string& aKey, const std::string& aText) {
      platform::StoreCalls store(mStore, 0ms);
      if (auto written = store.put(tools::kWeightTable, aKey, aText); !written) {
        // Every loader that needs it asks the origin in its turn.
        mLog.write(telemetry::Weight::Critical,
                   "manifest_not_published",
                   { { "key", aKey }, { "error", written.error().describe() } },
                   std::chrono::steady_clock::now());
      }
    });
    watch(tools::kWeightTable, mWeights, mSettings.duration("store.wait"), kWeightTablePause);
    watch(tools::kNodeTable, mFleet, kNodeTableWait, kNodeTablePause);
    mWeights.start();
    mReporter.start();
    mRegistration = std::thread([this] { registerSelf(); });
    log("started");
    return {};
  }

  void stop()
  {
    log("leaving");
    mStopping = true;
    mReporter.stop();
    for (auto& watcher : mWatchers) {
      watcher->stop();
    }
    mWeights.stop();
    mRegistration.join();
    mMetricsServer->stop();
    log("stopped");
    mLog.flush(std::chrono::steady_clock::now());
  }

  void log(std::string_view aEvent)
  {
    mLog.write(telemetry::Weight::Critical, aEvent, {}, std::chrono::steady_clock::now());
  }

private:
  void watch(const char* aTable,
             stores::TableListener& aListener,
             base::Milliseconds aWait,
             base::Milliseconds aPause)
  {
    stores::WatchOptions options;
    options.table = aTable;
    options.wait = aWait;
    options.pause = aPause;
    options.seed = base::fastHash(base::asBytes(mOptions.node + aTable));
    auto makeFeed = [this, aWait] { return std::make_unique<platform::StoreCalls>(mStore, aWait); };
    mWatchers.push_back(
      std::make_unique<stores::TableWatcher>(makeFeed, aListener, std::move(options)));
    mWatchers.back()->start();
  }

  void registerSelf()
  {
    while (!mStopping) {
      platform::StoreCalls store(mStore, 0ms);
      auto written = store.put(
        tools::kNodeTable, tools::kAgentPrefix + mOptions.node, tools::writeLoaderRow(mSelfRow));
      if (written) {
        return;
      }
      mLog.write(telemetry::Weight::Critical,
                 "registration_failed",
                 { { "error", written.error().describe() } },
                 std::chrono::steady_clock::now());
      std::this_thread::sleep_for(kRegisterRetry);
    }
  }

  const settings::Settings& mSettings;
  const tools::LoaderOptions mOptions;
  const net::Address mStore;
  telemetry::Registry mMetrics;
  telemetry::EventLog mLog;
  platform::EngineCalls mEngine;
  const tools::LoaderRow mSelfRow;
  tools::LoaderFleet mFleet;
  tools::WeightLoader mWeights;
  tools::LoadReporter mReporter;
  std::unique_ptr<net::HttpServer> mMetricsServer;
  std::vector<std::unique_ptr<stores::TableWatcher>> mWatchers;
  std::atomic<bool> mStopping{ false };
  std::thread mRegistration;
};

} // namespace

int main(int aCount, char** aArguments)
{
  auto schema = tools::loaderSchema();
  auto commandLine =
    tools::parseCommandLine(aCount, aArguments, "bp-loader", platform::kSettingsVariable);
  int exitCode = 0;
  auto settings = tools::loadSettings(commandLine, schema, exitCode);
  if (!settings) {
    return exitCode;
  }
  tools::SignalLoop signals;
  Loader loader(*settings);
  if (auto started = loader.start(); !started) {
    std::cerr << started.error().describe() << "\n";
    return static_cast<int>(tools::ExitCode::CannotStart);
  }
  signals.waitForTermination([] {},
                             [&] {
                               // Every setting is an address, a place or a bound of the deployment:
                               // a restart applies it.
                               loader.log(schema.load(commandLine.settingsPath) ? "reload_valid"
                                                                                : "reload_invalid");
                             });
  loader.stop();
  tools::endProcess(tools::ExitCode::Success);
}
