#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/Error.h"
#include "base/Limits.h"
#include "base/Time.h"
#include "stores/Stores.h"

namespace boragepitch::routing {

/** A conditional write of one row. */
struct RowWrite
{
  uint64_t id = 0; ///< Unique among the writes of one ClaimCore.
  std::string key;
  std::string value;        ///< Empty removes the row.
  uint64_t expected = 0;    ///< Version the row must have; 0 means absent.
  base::TimePoint deadline; ///< Given up after this time.
};

enum class WriteOutcome
{
  Written,   ///< The row holds the value (or is removed).
  Overtaken, ///< Another writer's row is there; see row.
  GivenUp,   ///< The deadline passed without confirmation; it may have been written.
};

struct WriteResult
{
  uint64_t id = 0;
  WriteOutcome outcome = WriteOutcome::GivenUp;
  stores::Row row; ///< The row now; its version is 0 when it is absent.
};

/**
 * Group commit of conditional row writes: collects them into transactions of bounded size and rate,
 * one at a time, and finds out by reading what became of a write whose answer was lost or whose
 * transaction conflicted. Values must be unique to their writer. Not thread-safe; the caller does
 * the I/O: takeTransaction() then committed(), or keysToRead() then rowsRead().
 */
class ClaimCore
{
public:
  ClaimCore(size_t aBatch, double aTransactionsPerSecond, base::Duration aRetryEvery);

  void submit(RowWrite aWrite);
  size_t pending() const;

  /** Rows that must be read before their writes can go on; empty when there are none. */
  std::vector<std::string> keysToRead() const;
  /** @param aRows what was read of keysToRead(). */
  std::vector<WriteResult> rowsRead(const base::Result<std::vector<stores::Row>>& aRows,
                                    base::TimePoint aNow);

  /** The next transaction; without puts and deletes when nothing may be sent now. */
  stores::Transaction takeTransaction(base::TimePoint aNow);
  /** The result of the transaction taken last. */
  std::vector<WriteResult> committed(const base::Result<uint64_t>& aResult, base::TimePoint aNow);
  /** Gives up writes whose deadline has passed. */
  std::vector<WriteResult> expire(base::TimePoint aNow);
  /** When to call again at the latest. */
  base::TimePoint nextWake(base::TimePoint aNow) const;

private:
  std::vector<WriteResult> resolve(const RowWrite& aWrite, const stores::Row& aRow);

  const size_t mBatch;
  const base::Duration mRetryEvery;
  base::TokenBucket mRate;
  base::TimePoint mNotBefore;
  uint64_t mTransactions = 0;
  std::deque<RowWrite> mWaiting;
  std::vector<RowWrite> mSent;    ///< In the transaction under way.
  std::vector<RowWrite> mUnclear; ///< Must be read to learn what became of them.
};

/** Tells which rows have not changed for a time, on the observer's own monotonic clock. */
class PruneCore
{
public:
  PruneCore(base::Duration aAge, size_t aMaxTracked);

  /** Notes rows seen by a scan; returns deletions for those unchanged for the whole age. */
  std::vector<stores::Check> observe(const std::vector<stores::Row>& aRows, base::TimePoint aNow);
  void forget(const std::string& aKey) { mSeen.erase(aKey); }
  size_t tracked() const { return mSeen.size(); }

private:
  struct Seen
  {
    uint64_t version = 0;
    base::TimePoint since;
  };

  const base::Duration mAge;
  const size_t mMaxTracked;
  std::map<std::string, Seen> mSeen;
};

} // namespace boragepitch::routing
