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

ClaimCore::ClaimCore(size_t aBatch, double aTransactionsPerSecond, base::Duration aRetryEvery)
  : mBatch(std::max<size_t>(1, aBatch))
  , mRetryEvery(aRetryEvery)
  , mRate(aTransactionsPerSecond, aTransactionsPerSecond / 4 + 1, base::TimePoint())
{
}

void ClaimCore::submit(RowWrite aWrite)
{
  mWaiting.push_back(std::move(aWrite));
}

size_t ClaimCore::pending() const
{
  return mWaiting.size() + mSent.size() + mUnclear.size();
}

std::vector<std::string> ClaimCore::keysToRead() const
{
  std::set<std::string> keys;
  for (const RowWrite& write : mUnclear) {
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
  if (aRow.version == aWrite.expected) {
    // Not written yet. Retrying is safe even if the first transaction is still in flight: the
    // version check lets only one of the two take effect.
    mWaiting.push_front(aWrite);
    return {};
  }
  return { { aWrite.id, WriteOutcome::Overtaken, aRow } };
}

std::vector<WriteResult> ClaimCore::rowsRead(const base::Result<std::vector<stores::Row>>& aRows,
                                             base::TimePoint aNow)
{
  if (!aRows) {
    mNotBefore = aNow + std::max<base::Duration>(mRetryEvery, aRows.error().retryAfter);
    return expire(aNow);
  }
  std::vector<WriteResult> results;
  std::vector<RowWrite> unclear = std::move(mUnclear);
  mUnclear.clear();
  for (const RowWrite& write : unclear) {
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
  if (!mSent.empty() || mWaiting.empty() || aNow < mNotBefore || !mRate.tryTake(1, aNow)) {
    return transaction;
  }
  transaction.id = "claims-" + std::to_string(++mTransactions);
  std::set<std::string> keys;
  for (auto it = mWaiting.begin(); it != mWaiting.end() && mSent.size() < mBatch;) {
    // A transaction must not hold two writes of one row; the second stays queued.
    if (!keys.insert(it->key).second) {
      ++it;
      continue;
    }
    transaction.checks.push_back({ it->key, it->expected });
    if (it->value.empty()) {
      transaction.deletes.push_back(it->key);
    } else {
      transaction.puts.push_back({ it->key, it->value });
    }
    mSent.push_back(std::move(*it));
    it = mWaiting.erase(it);
  }
  return transaction;
}

std::vector<WriteResult> ClaimCore::committed(const base::Result<uint64_t>& aResult,
                                              base::TimePoint aNow)
{
  std::vector<RowWrite> sent = std::move(mSent);
  mSent.clear();
  std::vector<WriteResult> results;
  if (aResult) {
    for (const RowWrite& write : sent) {
      uint64_t version = write.value.empty() ? 0 : *aResult;
      results.push_back({ write.id, WriteOutcome::Written, { write.key, write.value, version } });
    }
    return results;
  }
  if (aResult.error().kind == base::ErrorKind::Unavailable) {
    mNotBefore = aNow + std::max<base::Duration>(mRetryEvery, aResult.error().retryAfter);
    mWaiting.insert(mWaiting.begin(), sent.begin(), sent.end());
    return expire(aNow);
  }
  mUnclear.insert(mUnclear.end(), sent.begin(), sent.end());
  return results;
}

std::vector<WriteResult> ClaimCore::expire(base::TimePoint aNow)
{
  std::vector<WriteResult> results;
  auto isLate = [&](const RowWrite& aWrite) {
    if (aWrite.deadline > aNow) {
      return false;
    }
    results.push_back({ aWrite.id, WriteOutcome::GivenUp, { aWrite.key, {}, 0 } });
    return true;
  };
  std::erase_if(mWaiting, isLate);
  std::erase_if(mUnclear, isLate);
  return results;
}

base::TimePoint ClaimCore::nextWake(base::TimePoint aNow) const
{
  if (mWaiting.empty() && mUnclear.empty()) {
    return base::TimePoint::max();
  }
  base::TimePoint wake = std::max(aNow + mRate.timeUntilAvailable(aNow), mNotBefore);
  for (const RowWrite& write : mWaiting) {
    wake = std::min(wake, std::max(write.deadline, aNow));
  }
  for (const RowWrite& write : mUnclear) {
    wake = std::min(wake, std::max(write.deadline, aNow));
  }
  return wake;
}

PruneCore::PruneCore(base::Duration aAge, size_t aMaxTracked)
  : mAge(aAge)
  , mMaxTracked(aMaxTracked)
{
}

std::vector<stores::Check> PruneCore::observe(const std::vector<stores::Row>& aRows,
                                              base::TimePoint aNow)
{
  std::vector<stores::Check> old;
  for (const stores::Row& row : aRows) {
    auto found = mSeen.find(row.key);
    if (found == mSeen.end()) {
      // At the bound, further rows are tracked only after others have been pruned.
      if (mSeen.size() < mMaxTracked) {
        mSeen[row.key] = { row.version, aNow };
      }
    } else if (found->second.version != row.version) {
      found->second = { row.version, aNow };
    } else if (aNow - found->second.since >= mAge) {
      old.push_back({ row.key, row.version });
    }
  }
  return old;
}

} // namespace boragepitch::routing
