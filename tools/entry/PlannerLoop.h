#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include "control/ConfigStore.h"
#include "control/Fleet.h"
#include "stores/Lease.h"

namespace boragepitch::tools {

/** Table client that commits only while the lease is held: every transaction checks the lease row.
 * Reads are not checked. */
class FencedTable final : public stores::TableClient
{
public:
  /** Both references must outlive this object. */
  FencedTable(stores::LeaseRunner& aLease, stores::TableClient& aTable);

  base::Result<uint64_t> commit(const stores::Transaction& aTransaction) override;
  base::Result<std::vector<stores::Row>> read(const std::vector<std::string>& aKeys) override;
  base::Result<std::vector<stores::Row>> scan(std::string_view aPrefix,
                                              std::string_view aAfter,
                                              size_t aLimit) override;

private:
  stores::LeaseRunner& mLease;
  stores::TableClient& mTable;
};

struct PlannerSettings
{
  base::Milliseconds interval{ 200 };
  base::Milliseconds claimAge{ 86'400'000 }; ///< Claims older than this are removed.
};

/** Runs the rollout planner and removes old claims while this entry holds the planner lease. */
class PlannerLoop
{
public:
  /** aStore must commit through a FencedTable of aLease. All references must outlive the loop. */
  PlannerLoop(control::Fleet& aFleet,
              stores::LeaseRunner& aLease,
              control::ConfigStore& aStore,
              stores::TableClient& aTable,
              PlannerSettings aSettings);
  ~PlannerLoop();

  void start();
  void stop();
  /** Starts the next planning round at once. Thread-safe. */
  void wake();

private:
  void run();
  void planOnce();
  void pruneClaims();

  control::Fleet& mFleet;
  stores::LeaseRunner& mLease;
  control::ConfigStore& mStore;
  stores::TableClient& mTable;
  PlannerSettings mSettings;
  struct LeaseTerm;
  std::unique_ptr<LeaseTerm> mLeaseTerm;

  std::mutex mMutex;
  std::condition_variable mWake;
  bool mWakeRequested = false;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace boragepitch::tools
