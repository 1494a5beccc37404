#include "routing/ClaimCore.h"

#include <algorithm>
#include <set>

namespace boragepitch::routing {

namespace {

void append(std::vector<WriteResult>& aTarget, std::vector<WriteResult> aSource)
{
  std::move(aSource.begin(), aSource.end(), std::back_inserter(aTarget));
}

} // namespace

ClaimCore::ClaimCore(size_t aMaxBatch, double aTransactionsPerSecond, base::Duration aRetryDelay)
  : mMaxBatch(std::max<size_t>(1, aMaxBatch))
  , mRetryDelay(aRetryDelay)
  , mRate(aTransactionsPerSecond, aTransactionsPerSecond / 4 + 1, base::TimePoint())
{
}

void ClaimCore::submit(RowWrite aWrite)
{
  mQueued.push_back(std::move(aWrite));
}

size_t ClaimCore::pending() const
{
  return mQueued.size() + mInFlight.size() + mUnresolved.size();
}

std::vector<std::string> ClaimCore::keysToRead() const
{
  std::set<std::string> keys;
  for (const RowWrite& write : mUnresolved) {
    keys.insert(write.key);
  }
  return { keys.begin(), keys.end() };
}

std::vector<WriteResult> ClaimCore::resolve(const RowWrite& aWrite, const stores::Row& aRow)
{
  bool removes = aWrite.value.empty();
  bool isWritten = removes ? aRow.version == 0 : aRow.version != 0 && aRow.value == aWrite.value;
  if (isWritten) {
    return { { aWrite.id, WriteOutcome::Written, aRow } };
  }
  if (aRow.version == aWrite.expectedVersion) {
    // Not written yet. Retrying is safe even if the first transaction is still in flight: the
    // version check lets only one of the two take effect.
    mQueued.push_front(aWrite);
    return {};
  }
  return { { aWrite.id, WriteOutcome::Conflict, aRow } };
}

std::vector<WriteResult> ClaimCore::onRowsRead(const base::Result<std::vector<stores::Row>>& aRows,
                                               base::TimePoint aNow)
{
  if (!aRows) {
    mNextAttemptAt = aNow + std::max<base::Duration>(mRetryDelay, aRows.error().retryAfter);
    return expire(aNow);
  }
  std::vector<WriteResult> results;
  std::vector<RowWrite> unresolved = std::move(mUnresolved);
  mUnresolved.clear();
  for (const RowWrite& write : unresolved) {
    auto found = std::find_if(
      aRows->begin(), aRows->end(), [&](const stores::Row& aRow) { return aRow.key == write.key; });
    stores::Row row = found == aRows->end() ? stores::Row{ write.key, {}, 0 } : *found;
    append(results, resolve(write, row));
  }
  return results;
}

stores::Transaction ClaimCore::takeTransaction(base::TimePoint aNow)
{
  stores::Transaction transaction;
  if (!mInFlight.empty() || mQueued.empty() || aNow < mNextAttemptAt || !mRate.tryTake(1, aNow)) {
    return transaction;
  }
  transaction.id = "claims-" + std::to_string(++mLastTransaction);
  std::set<std::string> keys;
  for (auto it = mQueued.begin(); it != mQueued.end() && mInFlight.size() < mMaxBatch;) {
    // A transaction must not hold two writes of one row; the second stays queued.
    if (!keys.insert(it->key).second) {
      ++it;
      continue;
    }
    transaction.checks.push_back({ it->key, it->expectedVersion });
    if (it->value.empty()) {
      transaction.deletes.push_back(it->key);
    } else {
      transaction.puts.push_back({ it->key, it->value });
    }
    mInFlight.push_back(std::move(*it));
    it = mQueued.erase(it);
  }
  return transaction;
}

std::vector<WriteResult> ClaimCore::onCommitted(const base::Result<uint64_t>& aResult,
                                                base::TimePoint aNow)
{
  std::vector<RowWrite> sent = std::move(mInFlight);
  mInFlight.clear();
  std::vector<WriteResult> results;
  if (aResult) {
    for (const RowWrite& write : sent) {
      uint64_t version = write.value.empty() ? 0 : *aResult;
      results.push_back({ write.id, WriteOutcome::Written, { write.key, write.value, version } });
    }
    return results;
  }
  if (aResult.error().kind == base::ErrorKind::Unavailable) {
    mNextAttemptAt = aNow + std::max<base::Duration>(mRetryDelay, aResult.error().retryAfter);
    mQueued.insert(mQueued.begin(), sent.begin(), sent.end());
    return expire(aNow);
  }
  mUnresolved.insert(mUnresolved.end(), sent.begin(), sent.end());
  return results;
}

std::vector<WriteResult> ClaimCore::expire(base::TimePoint aNow)
{
  std::vector<WriteResult> results;
  auto isExpired = [&](const RowWrite& aWrite) {
    if (aWrite.deadline > aNow) {
      return false;
    }
    results.push_back({ aWrite.id, WriteOutcome::Expired, { aWrite.key, {}, 0 } });
    return true;
  };
  std::erase_if(mQueued, isExpired);
  std::erase_if(mUnresolved, isExpired);
  return results;
}

base::TimePoint ClaimCore::nextActionTime(base::TimePoint aNow) const
{
  if (mQueued.empty() && mUnresolved.empty()) {
    return base::TimePoint::max();
  }
  base::TimePoint nextAction = std::max(aNow + mRate.timeUntilAvailable(aNow), mNextAttemptAt);
  for (const RowWrite& write : mQueued) {
    nextAction = std::min(nextAction, std::max(write.deadline, aNow));
  }
  for (const RowWrite& write : mUnresolved) {
    nextAction = std::min(nextAction, std::max(write.deadline, aNow));
  }
  return nextAction;
}

PruneCore::PruneCore(base::Duration aMaxAge, size_t aMaxTracked)
  : mMaxAge(aMaxAge)
  , mMaxTracked(aMaxTracked)
{
}

std::vector<stores::Check> PruneCore::observe(const std::vector<stores::Row>& aRows,
                                              base::TimePoint aNow)
{
  std::vector<stores::Check> expired;
  for (const stores::Row& row : aRows) {
    auto found = mTracked.find(row.key);
    if (found == mTracked.end()) {
      // At the bound, further rows are tracked only after others have been pruned.
      if (mTracked.size() < mMaxTracked) {
        mTracked[row.key] = { row.version, aNow };
      }
    } else if (found->second.version != row.version) {
      found->second = { row.version, aNow };
    } else if (aNow - found->second.unchangedSince >= mMaxAge) {
      expired.push_back({ row.key, row.version });
    }
  }
  return expired;
}

} // namespace boragepitch::routing
