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

/** Conditional write of one row. */
struct RowWrite
{
  uint64_t id = 0; ///< Unique within one ClaimCore.
  std::string key;
  std::string value;            ///< Empty: remove the row.
  uint64_t expectedVersion = 0; ///< Version that the row must have; 0: the row must be absent.
  base::TimePoint deadline;     ///< The write is given up after this time.
};

enum class WriteOutcome
{
  Written,  ///< The row holds the value, or is removed.
  Conflict, ///< Another writer changed the row; see WriteResult::row.
  Expired,  ///< The deadline passed without confirmation; the row may have been written.
};

struct WriteResult
{
  uint64_t id = 0;
  WriteOutcome outcome = WriteOutcome::Expired;
  stores::Row row; ///< The row as last known; version 0 when it is absent.
};

/**
 * Group commit of conditional row writes: batches them into transactions of bounded size and rate,
 * with one transaction in flight. When a transaction conflicts or its outcome is unknown, reads the
 * rows to learn which writes took effect; each writer must therefore write unique values. Not
 * thread-safe. The caller does the I/O: takeTransaction() then onCommitted(), or keysToRead()
 * then onRowsRead().
 */
class ClaimCore
{
public:
  ClaimCore(size_t aMaxBatch, double aTransactionsPerSecond, base::Duration aRetryDelay);

  void submit(RowWrite aWrite);
  size_t pending() const;

  /** Keys of the rows that must be read to resolve writes of unknown outcome. */
  std::vector<std::string> keysToRead() const;
  /** Takes the rows read for keysToRead(). */
  std::vector<WriteResult> onRowsRead(const base::Result<std::vector<stores::Row>>& aRows,
                                      base::TimePoint aNow);

  /** The next transaction; empty when none may be sent now. */
  stores::Transaction takeTransaction(base::TimePoint aNow);
  /** Takes the result of the transaction from takeTransaction(). */
  std::vector<WriteResult> onCommitted(const base::Result<uint64_t>& aResult, base::TimePoint aNow);
  /** Gives up writes whose deadline has passed. */
  std::vector<WriteResult> expire(base::TimePoint aNow);
  /** Time by which the caller must act again. */
  base::TimePoint nextActionTime(base::TimePoint aNow) const;

private:
  std::vector<WriteResult> resolve(const RowWrite& aWrite, const stores::Row& aRow);

  const size_t mMaxBatch;
  const base::Duration mRetryDelay;
  base::TokenBucket mRate;
  base::TimePoint mNextAttemptAt;
  uint64_t mLastTransaction = 0;
  std::deque<RowWrite> mQueued;
  std::vector<RowWrite> mInFlight;   ///< Writes of the transaction in flight.
  std::vector<RowWrite> mUnresolved; ///< Writes of unknown outcome; their rows must be read.
};

/** Finds rows that have not changed for a given time, by the observer's monotonic clock. */
class PruneCore
{
public:
  PruneCore(base::Duration aMaxAge, size_t aMaxTracked);

  /** Records the rows of a scan; returns those to delete, unchanged for aMaxAge or longer. */
  std::vector<stores::Check> observe(const std::vector<stores::Row>& aRows, base::TimePoint aNow);
  void forget(const std::string& aKey) { mTracked.erase(aKey); }
  size_t tracked() const { return mTracked.size(); }

private:
  struct TrackedRow
  {
    uint64_t version = 0;
    base::TimePoint unchangedSince;
  };

  const base::Duration mMaxAge;
  const size_t mMaxTracked;
  std::map<std::string, TrackedRow> mTracked;
};

} // namespace boragepitch::routing
