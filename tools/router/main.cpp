#include <thread>

#include <unistd.h>

#include "EndpointListener.h"
#include "EntryListener.h"
#include "NodeRows.h"
#include "OperatorListener.h"
#include "RouterSettings.h"
#include "RunNode.h"
#include "ServerLimits.h"
#include "StoreCallLog.h"
#include "StoreConnections.h"
#include "base/Digest.h"
#include "platform/OperatorRows.h"
#include "platform/PlatformHeaderCodec.h"
#include "stores/PeerCopies.h"

namespace {

using namespace boragepitch;
using namespace std::chrono_literals;

/** The list of entries changes rarely, and a late update only shifts budgets between entries. */
constexpr base::Milliseconds kNodeTableWait = 10000ms;
/** Versions of weights are enforced from the time at which their declaration is read. */
constexpr base::Milliseconds kOperatorTableCoalesceTime = 150ms;
/** The endpoints' rows change all the time while many are in cold start. A leave must be known
 * within two seconds. */
constexpr base::Milliseconds kEndpointTableCoalesceTime = 500ms;
constexpr base::Milliseconds kNodeTableCoalesceTime = 2000ms;
constexpr base::Milliseconds kMaxNodeTableCoalesceTime = 8000ms;
/** Delay before a version without a record is enforced: it may have been declared long before. */
constexpr base::Milliseconds kUnrecordedVersionDelay = 2000ms;

relay::RelayOptions relayOptions(const settings::Settings& aSettings)
{
  relay::RelayOptions options;
  options.node = aSettings.text("node.id");
  options.callers = aSettings.address("listen.callers");
  options.readiness = aSettings.address("listen.readiness");
  options.readinessPath = platform::kReadinessPath;
  options.metrics = aSettings.address("listen.metrics");
  options.peers = aSettings.address("listen.peers");
  options.maxCallerConnections = tools::callerConnections(aSettings.integer("limits.connections"),
                                                          aSettings.integer("limits.descriptors"));
  options.maxHeldBytes = tools::heldBytes(aSettings.number("limits.memory"), tools::systemMemory());
  options.maxFramingBytes = static_cast<size_t>(aSettings.integer("limits.framing"));
  options.framingBytesPerByte = static_cast<size_t>(aSettings.integer("limits.framing_ratio"));
  options.unreadTimeout = aSettings.duration("limits.unread_timeout");
  options.maxStatusConnections =
    static_cast<size_t>(aSettings.integer("limits.status_connections"));
  options.statusTimeout = aSettings.duration("limits.status_timeout");
  options.placement.node = options.node;
  options.placement.subset.entriesPerEndpoint =
    static_cast<size_t>(aSettings.integer("placement.entries_per_engine"));
  options.placement.zone = aSettings.text("node.zone");
  options.placement.region = aSettings.text("node.region");
  options.placement.coldOvershoot = aSettings.number("cold.overshoot");
  options.placement.coldTolerance = aSettings.number("cold.tolerance");
  options.placement.budgetFactor = aSettings.number("admission.budget_factor");
  options.placement.minBudget = aSettings.duration("admission.least_budget");
  options.placement.deferredWait = aSettings.number("admission.deferred_wait");
  options.priorities.urgentRefusals = aSettings.number("admission.urgent_refusals");
  options.priorities.floor = aSettings.number("admission.floor");
  options.workspaceShares.isEnabled = aSettings.flag("admission.workspace_shares");
  options.retries.ratio = aSettings.number("retries.ratio");
  options.retries.slack = aSettings.number("retries.slack");
  options.retries.window = tools::milliseconds(aSettings.number("retries.window"));
  options.hedges.share = aSettings.number("hedges.share");
  options.hedges.window = tools::milliseconds(aSettings.number("hedges.window"));
  auto gracePeriod = tools::milliseconds(aSettings.number("leave.grace_period"));
  options.leaveLimit = tools::leaveLimit(gracePeriod);
  options.leaveEndTime = tools::leaveEndTime(gracePeriod);
  options.seed = base::fastHash(base::asBytes(options.node));
  return options;
}

stores::CopyHolder copyHolder(const settings::Settings& aSettings)
{
  return { aSettings.text("node.id"),
           aSettings.address("listen.peers"),
           aSettings.number("limits.bandwidth") };
}

/** The process; each member may depend on those declared before it. */
class Router final : public tools::NodeProcess
{
public:
  explicit Router(const settings::Settings& aSettings)
    : mSettings(aSettings)
    , mNode(aSettings.text("node.id"))
    , mLog(STDOUT_FILENO, mNode)
    , mCopies(copyHolder(aSettings),
              [this](const stores::CopyAttempt& aAttempt) {
                tools::logCopyAttempt(
                  mLog, "operators", aAttempt, std::chrono::steady_clock::now());
              })
    , mStoreConnections(mNode, aSettings.address("store.address"), mLog)
    , mRelay(relay::Relay::Builder()
               .options(relayOptions(aSettings))
               .headerCodec(&mHeaders)
               .metrics(&mMetrics)
               .log(&mLog)
               .build())
    , mNotifier({ mNode, aSettings.text("node.region") },
                aSettings.address("listen.peers"),
                relayOptions(aSettings).placement.subset,
                mNoticeSender)
    , mOperators(
        *mRelay,
        mNotifier,
        mLog,
        mMetrics,
        { aSettings.duration("weights.version_time") - aSettings.duration("weights.version_margin"),
          kUnrecordedVersionDelay },
        [this] { return mStoreConnections.openFeed(); })
    , mEndpoints(*mRelay, mLog, aSettings.section("zones"), aSettings.duration("store.lapse_grace"))
    , mEntries(*mRelay,
               mNotifier,
               mLog,
               { mNode, aSettings.text("node.region") },
               [this](std::vector<stores::CopyHolder> aHolders) {
                 mCopies.setHolders(std::move(aHolders));
               })
  {
  }

  base::Status start() override
  {
    if (auto started = mRelay->start(); !started) {
      return started;
    }
    if (auto started = mCopies.start(); !started) {
      return started;
    }
    auto wait = tools::storeWait(mSettings.duration("endpoints.drain_time"));
    mStoreConnections.watch(platform::kOperatorTable,
                            mOperators,
                            wait,
                            kOperatorTableCoalesceTime,
                            base::Milliseconds(0),
                            &mCopies);
    mStoreConnections.watch(platform::kEndpointTable, mEndpoints, wait, kEndpointTableCoalesceTime);
    mStoreConnections.watch(tools::kNodeTable,
                            mEntries,
                            kNodeTableWait,
                            kNodeTableCoalesceTime,
                            kMaxNodeTableCoalesceTime);
    mStoreConnections.keep({ tools::kNodeTable,
                             tools::kEntryPrefix + mNode,
                             tools::writeEntryRow({ mSettings.text("node.region"),
                                                    mSettings.address("listen.peers"),
                                                    mSettings.number("limits.bandwidth") }) });
    mLoop = std::thread([this] { mRelay->run(); });
    return {};
  }

  void leave(base::TimePoint aSignalledAt) override
  {
    mRelay->startLeaving(aSignalledAt);
    mLoop.join();
    mStoreConnections.stop();
  }

  telemetry::EventLog& log() override { return mLog; }

private:
  const settings::Settings& mSettings;
  const std::string mNode;
  telemetry::Registry mMetrics;
  telemetry::EventLog mLog;
  stores::PeerCopies mCopies;
  tools::StoreConnections mStoreConnections;
  platform::PlatformHeaderCodec mHeaders;
  std::unique_ptr<relay::Relay> mRelay;
  tools::UdpNoticeSender mNoticeSender;
  tools::LoaderNotifier mNotifier;
  tools::OperatorListener mOperators;
  tools::EndpointListener mEndpoints;
  tools::EntryListener mEntries;
  std::thread mLoop;
};

} // namespace

int main(int aCount, char** aArguments)
{
  relay::limitHeldMemory();
  return tools::runNode(
    aCount,
    aArguments,
    "bp-router",
    tools::routerSchema(),
    [](const settings::Settings& aSettings) { return std::make_unique<Router>(aSettings); });
}
