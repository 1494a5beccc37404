#include <cstdlib>
#include <iostream>
#include <thread>

#include <unistd.h>

#include "Daemon.h"
#include "EndpointListener.h"
#include "EntryListener.h"
#include "NodeRows.h"
#include "OperatorListener.h"
#include "RouterSettings.h"
#include "base/Digest.h"
#include "platform/HeaderNames.h"
#include "platform/OperatorRows.h"
#include "platform/StoreCalls.h"

namespace {

using namespace boragepitch;
using namespace std::chrono_literals;

/** The list of entries changes rarely, and a late change only shifts budgets. */
constexpr base::Milliseconds kNodeTableWait = 10000ms;
/** News of endpoints and configurations must be in force within two seconds. */
constexpr base::Milliseconds kNewsPause = 150ms;
constexpr base::Milliseconds kNodeTablePause = 2000ms;
constexpr base::Milliseconds kRegisterRetry = 500ms;
/** For a version that nobody recorded: it may have been declared long before. */
constexpr base::Milliseconds kEnforceUnrecorded = 2000ms;

relay::RelayOptions relayOptions(const settings::Settings& aSettings)
{
  relay::RelayOptions options;
  options.node = aSettings.text("node.id");
  options.callers = aSettings.address("listen.callers");
  options.readiness = aSettings.address("listen.readiness");
  options.readinessPath = platform::kReadinessPath;
  options.metrics = aSettings.address("listen.metrics");
  options.peers = aSettings.address("listen.peers");
  options.maxCallerConnections = static_cast<size_t>(aSettings.integer("limits.connections"));
  options.placement.zone = aSettings.text("node.zone");
  options.placement.region = aSettings.text("node.region");
  options.placement.coldOvershoot = aSettings.number("cold.overshoot");
  options.placement.coldTolerance = aSettings.number("cold.tolerance");
  options.placement.budgetFactor = aSettings.number("admission.budget_factor");
  options.placement.leastBudget = aSettings.duration("admission.least_budget");
  options.retries.ratio = aSettings.number("retries.ratio");
  options.retries.slack = aSettings.number("retries.slack");
  options.retries.window = aSettings.duration("retries.window");
  options.leaveLimit = aSettings.duration("leave.limit");
  options.seed = base::fastHash(base::asBytes(options.node));
  return options;
}

/** The process: its parts in the order in which they depend on each other. */
class Router
{
public:
  explicit Router(const settings::Settings& aSettings)
    : mSettings(aSettings)
    , mNode(aSettings.text("node.id"))
    , mStore(aSettings.address("store.address"))
    , mLog(STDOUT_FILENO, mNode)
    , mRelay(relay::Relay::Builder()
               .options(relayOptions(aSettings))
               .dialect(&mHeaders)
               .metrics(&mMetrics)
               .log(&mLog)
               .build())
    , mOperators(
        *mRelay,
        mLog,
        { aSettings.duration("weights.version_time") - aSettings.duration("weights.version_margin"),
          kEnforceUnrecorded },
        [this] { return std::make_unique<platform::StoreCalls>(mStore, 0ms); })
    , mEndpoints(*mRelay, mLog, aSettings.section("zones"), aSettings.duration("store.lapse_grace"))
    , mEntries(*mRelay, mLog, mNode)
  {
  }

  base::Status start()
  {
    if (auto started = mRelay->start(); !started) {
      return started;
    }
    auto wait = mSettings.duration("store.wait");
    watch(platform::kOperatorTable, mOperators, wait, kNewsPause);
    watch(platform::kEndpointTable, mEndpoints, wait, kNewsPause);
    watch(kNodeTableName, mEntries, kNodeTableWait, kNodeTablePause);
    mRegistration = std::thread([this] { registerSelf(); });
    log("started", {});
    return {};
  }

  void serve() { mRelay->run(); }

  /** Thread-safe. */
  void leave()
  {
    log("signal", { { "signal", "terminate" } });
    mRelay->startLeaving();
  }

  void stop()
  {
    mStopping = true;
    for (auto& watcher : mWatchers) {
      watcher->stop();
    }
    mRegistration.join();
    log("stopped", {});
    mLog.flush(std::chrono::steady_clock::now());
  }

  void log(std::string_view aEvent, std::initializer_list<telemetry::Field> aFields)
  {
    mLog.write(telemetry::Weight::Critical, aEvent, aFields, std::chrono::steady_clock::now());
  }

private:
  static constexpr const char* kNodeTableName = tools::kNodeTable;

  void watch(const char* aTable,
             stores::TableListener& aListener,
             base::Milliseconds aWait,
             base::Milliseconds aPause)
  {
    stores::WatchOptions options;
    options.table = aTable;
    options.wait = aWait;
    options.pause = aPause;
    options.seed = base::fastHash(base::asBytes(mNode + aTable));
    auto makeFeed = [this, aWait] { return std::make_unique<platform::StoreCalls>(mStore, aWait); };
    mWatchers.push_back(
      std::make_unique<stores::TableWatcher>(makeFeed, aListener, std::move(options)));
    mWatchers.back()->start();
  }

  void registerSelf()
  {
    std::string address = mSettings.address("listen.peers").toString();
    while (!mStopping) {
      platform::StoreCalls store(mStore, 0ms);
      auto written = store.put(tools::kNodeTable, tools::kEntryPrefix + mNode, address);
      if (written) {
        return;
      }
      log("registration_failed", { { "error", written.error().describe() } });
      std::this_thread::sleep_for(kRegisterRetry);
    }
  }

  const settings::Settings& mSettings;
  const std::string mNode;
  const net::Address mStore;
  telemetry::Registry mMetrics;
  telemetry::EventLog mLog;
  platform::HeaderNames mHeaders;
  std::unique_ptr<relay::Relay> mRelay;
  tools::OperatorListener mOperators;
  tools::EndpointListener mEndpoints;
  tools::EntryListener mEntries;
  std::vector<std::unique_ptr<stores::TableWatcher>> mWatchers;
  std::atomic<bool> mStopping{ false };
  std::thread mRegistration;
};

} // namespace

int main(int aCount, char** aArguments)
{
  auto schema = tools::routerSchema();
  auto commandLine =
    tools::parseCommandLine(aCount, aArguments, "bp-router", platform::kSettingsVariable);
  int exitCode = 0;
  auto settings = tools::loadSettings(commandLine, schema, exitCode);
  if (!settings) {
    return exitCode;
  }
  tools::SignalLoop signals;
  Router router(*settings);
  if (auto started = router.start(); !started) {
    std::cerr << started.error().describe() << "\n";
    return static_cast<int>(tools::ExitCode::CannotStart);
  }
  std::thread signalThread([&] {
    signals.waitForTermination(
      [] {},
      [&] {
        // Every setting is an address, a place or a bound of the deployment: a restart applies it.
        bool valid = schema.load(commandLine.settingsPath).has_value();
        router.log("reload",
                   { { "settings", valid ? "valid" : "invalid" }, { "applied", "none" } });
      });
    router.leave();
  });
  router.serve();
  router.stop();
  signalThread.join();
  tools::endProcess(tools::ExitCode::Success);
}
