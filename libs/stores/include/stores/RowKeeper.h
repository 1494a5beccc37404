#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "base/Error.h"
#include "base/Rng.h"
#include "stores/RowFeed.h"

namespace boragepitch::stores {

struct KeptRow
{
  std::string table;
  std::string key;
  std::string value;
};

/**
 * Rows of this process that a service shall hold, and when to write each: at once, again after a
 * failure, and again after the service came back from an older copy, which may lack them. Not
 * thread-safe.
 */
class KeptRows
{
public:
  explicit KeptRows(uint64_t aSeed)
    : mRng(aSeed)
  {
  }

  /** Adds a row or replaces its value. */
  void keep(KeptRow aRow, base::TimePoint aNow);
  void forget(const std::string& aTable, const std::string& aKey);
  /** The service named its era, see RowFeed::era(). */
  void observeEra(std::optional<uint64_t> aEra, base::TimePoint aNow);
  /** A row whose time has come; empty if there is none. */
  std::optional<KeptRow> due(base::TimePoint aNow) const;
  /** Time at which a row is due next; empty if all are written. */
  std::optional<base::TimePoint> nextDueTime() const;
  /** The service acknowledged the row.
   * @param aEra era that the acknowledgement named. */
  void written(const KeptRow& aRow, std::optional<uint64_t> aEra, base::TimePoint aNow);
  void failed(const KeptRow& aRow, base::TimePoint aNow);

private:
  struct State
  {
    std::string value;
    std::optional<uint64_t> writtenEra;
    std::optional<base::TimePoint> dueAt;
  };
  using Key = std::pair<std::string, std::string>;

  base::Rng mRng;
  std::map<Key, State> mRows;   ///< By table and key.
  std::optional<uint64_t> mEra; ///< Greatest era that was named.
};

/** Keeps rows in a service on a thread of its own. Thread-safe. */
class RowKeeper
{
public:
  using MakeFeed = std::function<std::unique_ptr<RowFeed>()>;
  /** Called on the keeper's thread after each failed write. */
  using OnFailure = std::function<void(const KeptRow&, const base::Error&)>;

  RowKeeper(MakeFeed aMakeFeed, OnFailure aOnFailure, uint64_t aSeed);
  ~RowKeeper();
  RowKeeper(const RowKeeper&) = delete;
  RowKeeper& operator=(const RowKeeper&) = delete;

  void keep(KeptRow aRow);
  void forget(const std::string& aTable, const std::string& aKey);
  void observeEra(uint64_t aEra);
  void stop();

private:
  void run();
  void write(RowFeed& aFeed, const KeptRow& aRow);

  const MakeFeed mMakeFeed;
  const OnFailure mOnFailure;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  KeptRows mRows; ///< Guarded by mMutex.
  std::thread mThread;
};

} // namespace boragepitch::stores
