#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "base/Limits.h"
#include "base/Rng.h"
#include "stores/RowFeed.h"

namespace boragepitch::stores {

/** Receives the state of one table. Called on the watcher's thread. */
class TableListener
{
public:
  virtual ~TableListener() = default;
  /** All rows of the table; replaces what was known. */
  virtual void onSnapshot(const std::vector<RowChange>& aRows, base::TimePoint aNow) = 0;
  virtual void onChanges(const std::vector<RowChange>& aRows, base::TimePoint aNow) = 0;
  /** The service answers again after a call failed, or fails after a call succeeded. */
  virtual void onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow) = 0;
  /** Clock of the service, before the news that came with it. */
  virtual void onServiceTime(base::Milliseconds /*aServiceTime*/) {}
  /** After each call that succeeded, at least once per wait time. */
  virtual void onAlive(base::TimePoint /*aNow*/) {}
  /** When onAlive() is wanted at the latest; empty for the watcher's own wait. */
  virtual std::optional<base::TimePoint> wakeAt() const { return std::nullopt; }
};

struct WatchOptions
{
  std::string table;
  /** Longest wait for a change. A connection that went silent is noticed after this time and the
   * call's own time limit. */
  base::Milliseconds wait{ 2500 };
  /** After changes arrived, time in which further ones gather; a call for each of a series of
   * changes would multiply the calls of all processes. */
  base::Milliseconds pause{ 0 };
  base::Milliseconds backoffBase{ 50 };
  base::Milliseconds backoffCap{ 500 };
  uint64_t seed = 1;
};

/**
 * Follows one table on a thread of its own: reads it whole, then its changes; reads it whole again
 * when the service has discarded the history.
 */
class TableWatcher
{
public:
  using MakeFeed = std::function<std::unique_ptr<RowFeed>()>;

  /** @param aMakeFeed makes a feed with a new connection; used after each failed call, since an old
   * connection may stay silent for good. */
  TableWatcher(MakeFeed aMakeFeed, TableListener& aListener, WatchOptions aOptions);
  ~TableWatcher();

  void start();
  void stop();

private:
  void run();
  base::Status step(RowFeed& aFeed);
  base::Status readWhole(RowFeed& aFeed);
  base::Milliseconds waitTime(base::TimePoint aNow) const;
  void gather();
  std::shared_ptr<RowFeed> makeFeed();
  void report(const base::Status& aStatus);

  const MakeFeed mMakeFeed;
  TableListener& mListener;
  const WatchOptions mOptions;
  base::Rng mRng;
  base::Backoff mBackoff;
  std::atomic<bool> mStopping{ false };
  std::mutex mMutex;
  std::shared_ptr<RowFeed> mFeed; ///< Guarded by mMutex for cancel().
  std::thread mThread;
  bool mHasPosition = false;
  uint64_t mPosition = 0;
  bool mReachable = false;
  bool mReported = false;
};

} // namespace boragepitch::stores
