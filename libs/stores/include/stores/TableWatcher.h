#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "base/Limits.h"
#include "base/Rng.h"
#include "stores/RowFeed.h"
#include "stores/TableCopy.h"

namespace boragepitch::stores {

/** A call for a table's rows. */
struct TableCall
{
  bool isSnapshot = false; ///< For the rows themselves, not for their changes.
  size_t rows = 0;         ///< In the answer.
  base::Status status;
  AnswerStats answer;
};

/** Receives the state of one table. Called on the watcher's thread. */
class TableListener
{
public:
  virtual ~TableListener() = default;
  /** All rows of the table; they replace the rows known before. */
  virtual void onSnapshot(const std::vector<RowChange>& aRows, base::TimePoint aNow) = 0;
  virtual void onChanges(const std::vector<RowChange>& aRows, base::TimePoint aNow) = 0;
  /** Called after the first call and whenever the service becomes reachable or unreachable. */
  virtual void onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow) = 0;
  /** The service came back from an older copy: its rows may be older than those delivered before,
   * and rows that it had acknowledged may be gone. Called before the snapshot of its new state. */
  virtual void onRestored(base::TimePoint /*aNow*/) {}
  /** Called before each call. */
  virtual void onCallStarted(base::TimePoint /*aNow*/) {}
  /** Clock of the service; called before the rows of the same answer are delivered. */
  virtual void onServiceTime(base::Milliseconds /*aServiceTime*/) {}
  /** Called after each successful call, at least once per WatchOptions::wait. */
  virtual void onCallSucceeded(base::TimePoint /*aNow*/) {}
  /** Called after each call, before the rows of its answer are delivered. */
  virtual void onCallEnded(const TableCall& /*aCall*/, base::TimePoint /*aNow*/) {}
  /** Called after each call that the service did not answer or refused. */
  virtual void onCallFailed(base::TimePoint /*aStartedAt*/) {}
  /** Latest time of the next onCallSucceeded() call; empty for the default of WatchOptions::wait.
   */
  virtual std::optional<base::TimePoint> wakeAt() const { return std::nullopt; }
};

struct WatchOptions
{
  std::string table;
  /** Longest wait for a change. A dead connection is noticed after this time plus the timeout of
   * the call. */
  base::Milliseconds wait{ 2500 };
  /** Delay after received changes, so that one call reads further ones; a call for each change of a
   * series would multiply the calls of all processes. */
  base::Milliseconds coalesceTime{ 0 };
  /** The delay doubles up to this time with each call that returns changes, and starts anew after a
   * call without any. Zero keeps it constant. */
  base::Milliseconds maxCoalesceTime{ 0 };
  base::Milliseconds backoffBase{ 50 };
  base::Milliseconds backoffCap{ 500 };
  uint64_t seed = 1;
  /** Other processes that may hand out the table; null for none. Must outlive the watcher. */
  TableCopies* copies = nullptr;
  /** Largest answer that is read from the service although another process may hand out the table.
   * About as much is on its way already when its head is read. */
  uint64_t maxAnswerBytes = 256 << 10;
  /** Called on the watcher's thread with each new era of the service, see RowFeed::era(). */
  std::function<void(uint64_t)> onEra;
};

/**
 * Follows one table on its own thread: reads the whole table, then its changes; reads the whole
 * table again when the service has discarded the history or came back from an older copy.
 */
class TableWatcher
{
public:
  using MakeFeed = std::function<std::unique_ptr<RowFeed>()>;

  /** @param aMakeFeed makes a feed with a new connection; used after each failed call, because the
   * old connection may never answer again. */
  TableWatcher(MakeFeed aMakeFeed, TableListener& aListener, WatchOptions aOptions);
  ~TableWatcher();

  void start();
  void stop();
  /** Any thread: gives up the call in progress and reads the changes on a new connection. For news
   * of a change that should have arrived: the present connection may be dead. */
  void refresh();

private:
  void run();
  base::Status step(RowFeed& aFeed);
  base::Status readChanges(RowFeed& aFeed);
  base::Status readSnapshot(RowFeed& aFeed);
  /** Takes the table from another process instead of an answer of this size. If none gives it, the
   * next call reads the service. */
  void takeCopy(uint64_t aAnnouncedBytes);
  void deliverSnapshot(const TableCopy& aCopy);
  static bool isTooLarge(const base::Status& aStatus);
  /** Whether others that read the same rows may have left an answer of this size unread. */
  bool isLarge(uint64_t aBytes) const;
  /** What the era of an answer says about its rows. */
  enum class AnswerAge
  {
    Current,
    Restored, ///< The first answer after the service came back from a copy.
    Former,   ///< Given before the service came back.
  };
  AnswerAge observeEra(std::optional<uint64_t> aEra);
  base::Status formerAnswer() const;
  base::Milliseconds waitTime(base::TimePoint aNow) const;
  void waitToCoalesce(base::TimePoint aNow);
  std::shared_ptr<RowFeed> makeFeed();
  bool isHistoryGone(const base::Status& aStatus) const;
  void report(const base::Status& aStatus);
  void reportCall(const RowFeed& aFeed, const base::Result<RowPage>& aPage, bool aIsSnapshot);

  const MakeFeed mMakeFeed;
  TableListener& mListener;
  const WatchOptions mOptions;
  base::Milliseconds mCoalesceTime; ///< Delay after the next changes.
  base::Rng mRng;
  base::Backoff mBackoff;
  std::atomic<bool> mStopping{ false };
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mRefreshing = false;       ///< Ends waitToCoalesce(); guarded by mMutex.
  std::shared_ptr<RowFeed> mFeed; ///< Guarded by mMutex for cancel().
  std::thread mThread;
  bool mHasPosition = false;
  uint64_t mPosition = 0;
  std::optional<uint64_t> mEra; ///< Greatest era that was named.
  bool mWasRestored = false;    ///< The listener has not been told of the latest era yet.
  bool mReadsService = false;   ///< The next answer is read whatever its size.
  bool mIsTableLarge = false;   ///< When it was last read whole.
  bool mReachable = false;
  bool mReported = false;
};

} // namespace boragepitch::stores
