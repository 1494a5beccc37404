#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <set>

#include "base/Rng.h"
#include "stores/Stores.h"

namespace boragepitch::test {

/** In-memory transactional table with fault injection. */
class FakeTable final : public stores::TableClient
{
public:
  std::atomic<bool> away{ false };
  std::atomic<int> loseAnswers{ 0 };      ///< Number of next commits applied with the answer lost.
  std::atomic<int> loseTransactions{ 0 }; ///< Number of next commits dropped before they apply.
  std::atomic<int> failReads{ 0 };        ///< Number of next reads that fail.
  std::atomic<int> transactions{ 0 };

  base::Result<uint64_t> commit(const stores::Transaction& aTransaction) override
  {
    using base::ErrorKind;
    if (away) {
      return base::fail(ErrorKind::Unavailable, "table", "outage", "retry later");
    }
    if (consumeFault(loseTransactions)) {
      return base::fail(ErrorKind::UnknownOutcome, "table", "answer lost", "read the row");
    }
    std::lock_guard lock(mMutex);
    ++transactions;
    for (const stores::Check& check : aTransaction.checks) {
      auto found = mRows.find(check.key);
      if ((found == mRows.end() ? 0 : found->second.version) != check.version) {
        return base::fail(ErrorKind::Conflict, check.key, "version differs", "read the row");
      }
    }
    ++mSequence;
    for (const stores::Put& put : aTransaction.puts) {
      mRows[put.key] = { put.key, put.value, mSequence };
      history[put.key].insert(put.value);
    }
    for (const std::string& key : aTransaction.deletes) {
      mRows.erase(key);
    }
    if (consumeFault(loseAnswers)) {
      return base::fail(ErrorKind::UnknownOutcome, "table", "answer lost", "read the row");
    }
    return mSequence;
  }

  base::Result<std::vector<stores::Row>> read(const std::vector<std::string>& aKeys) override
  {
    if (away || consumeFault(failReads)) {
      return base::fail(base::ErrorKind::Unavailable, "table", "outage", "retry later");
    }
    std::lock_guard lock(mMutex);
    std::vector<stores::Row> rows;
    for (const std::string& key : aKeys) {
      if (auto found = mRows.find(key); found != mRows.end()) {
        rows.push_back(found->second);
      }
    }
    return rows;
  }

  base::Result<std::vector<stores::Row>> scan(std::string_view aPrefix,
                                              std::string_view aAfter,
                                              size_t aLimit) override
  {
    std::lock_guard lock(mMutex);
    std::vector<stores::Row> rows;
    for (const auto& [key, row] : mRows) {
      if (key.starts_with(aPrefix) && key > aAfter && rows.size() < aLimit) {
        rows.push_back(row);
      }
    }
    return rows;
  }

  std::map<std::string, std::set<std::string>> history; ///< Every value ever written to each row.

private:
  static bool consumeFault(std::atomic<int>& aCount)
  {
    int left = aCount;
    while (left > 0 && !aCount.compare_exchange_weak(left, left - 1)) {
    }
    return left > 0;
  }

  std::mutex mMutex;
  std::map<std::string, stores::Row> mRows;
  uint64_t mSequence = 0;
};

} // namespace boragepitch::test
