#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include "control/ConfigStore.h"
#include "control/Fleet.h"
#include "platform/Lease.h"

namespace boragepitch::tools {

/** Commits through the lease: every transaction checks the lease row, reads pass through. */
class FencedTable final : public platform::TableClient
{
public:
  /** Both outlive this object. */
  FencedTable(platform::LeaseRunner& aLease, platform::TableClient& aTable);

  base::Result<uint64_t> commit(const platform::Transaction& aTransaction) override;
  base::Result<std::vector<platform::Row>> read(const std::vector<std::string>& aKeys) override;
  base::Result<std::vector<platform::Row>> scan(std::string_view aPrefix,
                                                std::string_view aAfter,
                                                size_t aLimit) override;

private:
  platform::LeaseRunner& mLease;
  platform::TableClient& mTable;
};

/** Runs the rollout planner while this entry holds the planner lease. */
class PlannerLoop
{
public:
  /** aStore commits through a FencedTable of aLease. All outlive the loop. */
  PlannerLoop(control::Fleet& aFleet,
              platform::LeaseRunner& aLease,
              control::ConfigStore& aStore,
              base::Milliseconds aInterval);
  ~PlannerLoop();

  void start();
  void stop();
  void wake();

private:
  void run();
  void planOnce();

  control::Fleet& mFleet;
  platform::LeaseRunner& mLease;
  control::ConfigStore& mStore;
  base::Milliseconds mInterval;
  struct Round;
  std::unique_ptr<Round> mRound;

  std::mutex mMutex;
  std::condition_variable mWake;
  bool mWoken = false;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace boragepitch::tools
