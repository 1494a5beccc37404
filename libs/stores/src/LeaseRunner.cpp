#include "stores/Lease.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace boragepitch::stores {

namespace {

using base::ErrorKind;

// A fenced commit is retried when a renewal changed the version of the lease row meanwhile.
// Renewals are a third of the duration apart, so a second conflict is already unlikely.
constexpr int kMaxFencedAttempts = 4;

class LeaseRunnerImpl final : public LeaseRunner
{
public:
  LeaseRunnerImpl(TableClient& aTable,
                  const base::Clock& aClock,
                  LeaseSettings aSettings,
                  uint64_t aSeed)
    : mTable(aTable)
    , mClock(aClock)
    , mDuration(aSettings.duration)
    , mKeeper(std::move(aSettings))
    , mRng(aSeed)
  {
  }

  ~LeaseRunnerImpl() override { stop(); }

  void start() override
  {
    if (!mThread.joinable()) {
      mThread = std::thread([this] { run(); });
    }
  }

  void stop() override
  {
    {
      std::lock_guard lock(mMutex);
      mStopped = true;
    }
    mWake.notify_all();
    if (mThread.joinable()) {
      mThread.join();
      releaseLease();
    }
  }

  bool holds() const override
  {
    std::lock_guard lock(mMutex);
    return mKeeper.holds(mClock.now());
  }

  uint64_t fencing() const override
  {
    std::lock_guard lock(mMutex);
    return mKeeper.fencing(mClock.now());
  }

  base::Result<uint64_t> fencedCommit(Transaction aTransaction) override
  {
    for (int tries = 1;; ++tries) {
      std::optional<Check> check = currentCheck();
      if (!check) {
        return base::fail(ErrorKind::Unavailable,
                          mKeeper.rowKey(),
                          "this process does not hold the lease",
                          "leave the write to the lease holder");
      }
      Transaction fenced = aTransaction;
      fenced.checks.push_back(*check);
      auto answer = mTable.commit(fenced);
      // A conflict wrote nothing, so the transaction can be sent again with the new version of the
      // row.
      bool renewed = !answer && answer.error().kind == ErrorKind::Conflict &&
                     answer.error().field == check->key && renewedSince(*check);
      if (!renewed || tries == kMaxFencedAttempts) {
        return answer;
      }
    }
  }

private:
  std::optional<Check> currentCheck() const
  {
    std::lock_guard lock(mMutex);
    return mKeeper.check(mClock.now());
  }

  bool renewedSince(const Check& aCheck) const
  {
    std::optional<Check> now = currentCheck();
    return now && now->version != aCheck.version;
  }

  void run()
  {
    std::unique_lock lock(mMutex);
    while (!mStopped) {
      step(lock);
      mWake.wait_for(lock, pause(), [this] { return mStopped; });
    }
  }

  /** Reads the row when needed and sends the planned transaction; the lock is released during I/O.
   */
  void step(std::unique_lock<std::mutex>& aLock)
  {
    if (mKeeper.needsRead()) {
      aLock.unlock();
      auto rows = mTable.read({ mKeeper.rowKey() });
      aLock.lock();
      if (!rows) {
        return;
      }
      mKeeper.observe(rows->empty() ? std::nullopt : std::optional(rows->front()), mClock.now());
    }
    std::optional<Transaction> transaction = mKeeper.plan(mClock.now());
    if (transaction && !mStopped) {
      aLock.unlock();
      auto answer = mTable.commit(*transaction);
      aLock.lock();
      mKeeper.handleAnswer(*transaction, answer, mClock.now());
    }
  }

  /** Random pause until the next step. A holder checks often, because a renewal is due after a
   * third of the duration; challengers are many and check less often. */
  base::Duration pause()
  {
    base::Duration longest = mKeeper.holds(mClock.now()) ? mDuration / 12 : mDuration / 2;
    base::Duration half = longest / 2;
    return half + base::Duration(base::uniformBelow<int64_t>(mRng, half.count() + 1));
  }

  void releaseLease()
  {
    std::optional<Transaction> transaction;
    {
      std::lock_guard lock(mMutex);
      transaction = mKeeper.release(mClock.now());
    }
    if (transaction) {
      // Best effort: when this fails, the next holder waits for the whole duration.
      (void)mTable.commit(*transaction);
    }
  }

  TableClient& mTable;
  const base::Clock& mClock;
  const base::Duration mDuration;
  mutable std::mutex mMutex; ///< Guards the members below.
  std::condition_variable mWake;
  LeaseKeeper mKeeper;
  base::Rng mRng;
  bool mStopped = false;
  std::thread mThread;
};

} // namespace

LeaseRunner::Builder& LeaseRunner::Builder::table(TableClient& aTable)
{
  mTable = &aTable;
  return *this;
}

LeaseRunner::Builder& LeaseRunner::Builder::clock(const base::Clock& aClock)
{
  mClock = &aClock;
  return *this;
}

LeaseRunner::Builder& LeaseRunner::Builder::lease(LeaseSettings aSettings)
{
  mSettings = std::move(aSettings);
  return *this;
}

LeaseRunner::Builder& LeaseRunner::Builder::seed(uint64_t aSeed)
{
  mSeed = aSeed;
  return *this;
}

std::unique_ptr<LeaseRunner> LeaseRunner::Builder::build()
{
  static const base::SteadyClock kSteadyClock;
  const base::Clock& clock = mClock != nullptr ? *mClock : kSteadyClock;
  return std::make_unique<LeaseRunnerImpl>(*mTable, clock, mSettings, mSeed);
}

} // namespace boragepitch::stores
