#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

#include "FleetCore.h"
#include "Schedule.h"
#include "WorkPool.h"
#include "base/Rng.h"
#include "control/Fleet.h"

namespace boragepitch::control {

/**
 * Threads and I/O around FleetCore. One thread runs the timers and the callbacks; thread pools send
 * messages and read the store. mMutex guards the core and is never held during I/O.
 */
class FleetImpl final : public Fleet
{
public:
  explicit FleetImpl(Builder aOptions);
  ~FleetImpl() override;

  std::shared_ptr<const resources::Snapshot> config() const override { return mConfig.load(); }
  std::shared_ptr<const NodeTable> nodes() const override { return mNodes.load(); }
  bool mayStartNewWork(base::TimePoint aNow) const override;
  void publish(NodeState aSelf) override;

  void start() override;
  void stop() override;
  void offerRevision(const LogEntry& aEntry) override;
  void onConfigChange(Callback aCallback) override;
  void onNodesChange(Callback aCallback) override;
  Json::Value dumpJson() const override;

private:
  using Lock = std::unique_lock<std::mutex>;

  struct Partner
  {
    std::string id; ///< Empty for a seed whose id is not known.
    net::Address address;
  };

  struct Counters
  {
    uint64_t exchanges = 0;
    uint64_t exchangesFailed = 0;
    uint64_t pushes = 0;
    uint64_t pulls = 0;
    uint64_t polls = 0;
    uint64_t pollsFailed = 0;
    uint64_t pauses = 0;
    uint64_t vmListReads = 0;
  };

  // Timers and callbacks (FleetImpl.cpp)
  void run();
  void tick(Lock& aLock);
  void startDueTasks(base::TimePoint aNow);
  void startExchange(std::optional<Partner> aPartner);
  std::optional<Partner> choosePartner(base::TimePoint aNow);
  std::optional<Partner> chooseSeed();
  void applyEffects(const Lock& aLock);
  void publishTable(const Lock& aLock);
  void runCallbacks(Lock& aLock);
  base::TimePoint now() const { return mClock.now(); }
  bool isStopped() const
  {
    Lock lock(mMutex);
    return mStopped;
  }

  // Communication with peers and the store (FleetTasks.cpp)
  void addMethods();
  void exchange(const Partner& aPartner);
  void reconcile(const net::Address& aPeer, const Json::Value& aRequest);
  void probeIndirectly(const Partner& aPartner);
  void push(uint64_t aAfter, const Effects& aEffects);
  void pull(const net::Address& aPeer, bool aWithNodes);
  void pollStore();
  bool refreshFromStore(uint64_t aRevision);
  void readVmList();

  const Builder mOptions;
  const FleetSettings mSettings;
  const base::Clock& mClock;
  rpc::RpcClient& mClient;

  mutable std::mutex mMutex; ///< Guards the members below, up to the atomics.
  std::condition_variable mWake;
  base::Rng mRng;
  FleetCore mCore;
  PauseDetector mPauseDetector;
  PollSchedule mPollSchedule;
  Counters mCounters;
  std::deque<std::pair<uint64_t, base::TimePoint>> mAdoptions; ///< Latest adopted revisions.
  std::vector<net::Address> mVmListAddresses; ///< Control addresses from the VM list.
  base::TimePoint mNextGossip{};
  base::TimePoint mNextEvidenceCheck{};
  base::TimePoint mNextDetectorTick{};
  base::TimePoint mNextVmListRead{};
  base::TimePoint mTablePublishedAt{};
  uint64_t mGossipRounds = 0;
  uint64_t mPushedRevision = 0; ///< Highest revision pushed to peers.
  size_t mExchangesInFlight = 0;
  bool mPolling = false;
  bool mPulling = false;
  bool mReadingVmList = false;
  bool mJoined = false; ///< All node records were fetched from a peer once.
  bool mTableChanged = false;
  bool mConfigCallbackDue = false;
  bool mNodesCallbackDue = false;
  bool mStopped = false;
  std::vector<Callback> mConfigCallbacks;
  std::vector<Callback> mNodesCallbacks;

  std::atomic<std::shared_ptr<const resources::Snapshot>> mConfig;
  std::atomic<std::shared_ptr<const NodeTable>> mNodes;
  std::atomic<base::TimePoint> mFreshUntil{ base::TimePoint::min() };
  std::atomic<base::TimePoint> mLastTick{ base::TimePoint::min() };

  std::unique_ptr<WorkPool> mPool;
  std::unique_ptr<WorkPool> mPushPool;
  std::thread mThread;
};

} // namespace boragepitch::control
