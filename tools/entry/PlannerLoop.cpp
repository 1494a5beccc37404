#include "PlannerLoop.h"

#include "StoreAdapter.h"
#include "rollout/Planner.h"
#include "routing/ClaimStore.h"
#include "telemetry/Log.h"

namespace boragepitch::tools {

namespace {

// Reading one page of claims per second stays far below the table service's read rate limit.
constexpr auto kPruneInterval = std::chrono::seconds(1);

} // namespace

FencedTable::FencedTable(stores::LeaseRunner& aLease, stores::TableClient& aTable)
  : mLease(aLease)
  , mTable(aTable)
{
}

base::Result<uint64_t> FencedTable::commit(const stores::Transaction& aTransaction)
{
  return mLease.fencedCommit(aTransaction);
}

base::Result<std::vector<stores::Row>> FencedTable::read(const std::vector<std::string>& aKeys)
{
  return mTable.read(aKeys);
}

base::Result<std::vector<stores::Row>> FencedTable::scan(std::string_view aPrefix,
                                                         std::string_view aAfter,
                                                         size_t aLimit)
{
  return mTable.scan(aPrefix, aAfter, aLimit);
}

/** State of one lease term. Each term starts with a new planner that has no state. */
struct PlannerLoop::LeaseTerm
{
  uint64_t fencing = 0;
  rollout::Planner planner;
  std::unique_ptr<routing::ClaimPruner> claims;
  base::TimePoint prunedAt{};
};

PlannerLoop::PlannerLoop(control::Fleet& aFleet,
                         stores::LeaseRunner& aLease,
                         control::ConfigStore& aStore,
                         stores::TableClient& aTable,
                         PlannerSettings aSettings)
  : mFleet(aFleet)
  , mLease(aLease)
  , mStore(aStore)
  , mTable(aTable)
  , mSettings(aSettings)
{
}

PlannerLoop::~PlannerLoop()
{
  stop();
}

void PlannerLoop::start()
{
  mThread = std::thread([this] { run(); });
}

void PlannerLoop::stop()
{
  {
    std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void PlannerLoop::wake()
{
  {
    std::lock_guard lock(mMutex);
    mWakeRequested = true;
  }
  mWake.notify_all();
}

void PlannerLoop::run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mWakeRequested = false;
    lock.unlock();
    planOnce();
    pruneClaims();
    lock.lock();
    mWake.wait_for(lock, mSettings.interval, [this] { return mWakeRequested || mStopping; });
  }
}

void PlannerLoop::planOnce()
{
  uint64_t fencing = mLease.fencing();
  auto snapshot = mFleet.config();
  if (fencing == 0 || snapshot->revision() == 0) {
    mLeaseTerm.reset();
    return;
  }
  if (!mLeaseTerm || mLeaseTerm->fencing != fencing) {
    mLeaseTerm = std::make_unique<LeaseTerm>();
    mLeaseTerm->fencing = fencing;
    mLeaseTerm->claims = std::make_unique<routing::ClaimPruner>(mTable, mSettings.claimAge);
    telemetry::logEvent(
      telemetry::Level::Info, "planner_started", { { "fencing", std::to_string(fencing) } });
  }
  auto changes =
    mLeaseTerm->planner.plan(*snapshot, *mFleet.nodes(), std::chrono::steady_clock::now(), fencing);
  if (changes.empty()) {
    return;
  }
  auto entry = mStore.commit(toDeclarations(changes), snapshot->revision());
  if (!entry) {
    // A conflict means that the plan was based on a stale revision. The next round plans on the
    // newer one.
    if (entry.error().kind != base::ErrorKind::Conflict) {
      telemetry::logEvent(
        telemetry::Level::Warn, "plan_not_written", { { "error", entry.error().describe() } });
    }
    return;
  }
  mFleet.offerRevision(*entry);
  telemetry::logEvent(
    telemetry::Level::Info, "plan_written", { { "revision", std::to_string(entry->revision) } });
}

void PlannerLoop::pruneClaims()
{
  auto now = std::chrono::steady_clock::now();
  if (!mLeaseTerm || now - mLeaseTerm->prunedAt < kPruneInterval) {
    return;
  }
  mLeaseTerm->prunedAt = now;
  // Errors need no retry here: after an error the next step reads the same page again.
  (void)mLeaseTerm->claims->step(now);
}

} // namespace boragepitch::tools
