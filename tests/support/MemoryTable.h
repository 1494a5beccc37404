#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "stores/Stores.h"

namespace boragepitch::test {

/** In-memory transactional table with fault injection. Thread-safe. */
class MemoryTable final : public stores::TableClient
{
public:
  base::Result<uint64_t> commit(const stores::Transaction& aTransaction) override
  {
    std::lock_guard lock(mMutex);
    ++commits;
    if (down) {
      return unavailable();
    }
    if (dropRequests > 0) {
      --dropRequests;
      return unknownOutcome();
    }
    for (const stores::Check& check : aTransaction.checks) {
      auto row = mRows.find(check.key);
      if ((row == mRows.end() ? 0 : row->second.version) != check.version) {
        return base::fail(base::ErrorKind::Conflict, check.key, "changed", "read again");
      }
    }
    ++mSequence;
    for (const stores::Put& put : aTransaction.puts) {
      mRows[put.key] = { put.key, put.value, mSequence };
    }
    for (const std::string& key : aTransaction.deletes) {
      mRows.erase(key);
    }
    if (loseAnswers > 0) {
      --loseAnswers;
      down = down || downAfterLoss;
      return unknownOutcome();
    }
    return mSequence;
  }

  base::Result<std::vector<stores::Row>> read(const std::vector<std::string>& aKeys) override
  {
    std::lock_guard lock(mMutex);
    ++reads;
    if (down) {
      return unavailable();
    }
    std::vector<stores::Row> rows;
    for (const std::string& key : aKeys) {
      auto row = mRows.find(key);
      if (row != mRows.end()) {
        rows.push_back(row->second);
      }
    }
    return rows;
  }

  base::Result<std::vector<stores::Row>> scan(std::string_view aPrefix,
                                              std::string_view aAfter,
                                              size_t aLimit) override
  {
    std::lock_guard lock(mMutex);
    ++reads;
    if (down) {
      return unavailable();
    }
    std::vector<stores::Row> rows;
    std::string from = std::max(std::string(aPrefix), std::string(aAfter));
    for (auto row = mRows.lower_bound(from); row != mRows.end() && rows.size() < aLimit; ++row) {
      if (row->first.rfind(aPrefix, 0) != 0) {
        break;
      }
      if (row->first > aAfter) {
        rows.push_back(row->second);
      }
    }
    return rows;
  }

  void setDown(bool aDown)
  {
    std::lock_guard lock(mMutex);
    down = aDown;
  }

  int readCount() const
  {
    std::lock_guard lock(mMutex);
    return reads;
  }

  size_t rowCount(std::string_view aPrefix) { return scan(aPrefix, "", SIZE_MAX).value().size(); }

  // Not synchronized: set these before threads use the table, or call setDown() and readCount().
  bool down = false;
  int loseAnswers = 0;        ///< Number of next commits that apply but report an unknown outcome.
  bool downAfterLoss = false; ///< A lost answer also starts an outage.
  int dropRequests = 0;       ///< Number of next commits dropped before they apply.
  int commits = 0;
  int reads = 0;

private:
  static tl::unexpected<base::Error> unavailable()
  {
    return base::fail(base::ErrorKind::Unavailable, "table", "down", "try again later");
  }

  static tl::unexpected<base::Error> unknownOutcome()
  {
    return base::fail(base::ErrorKind::UnknownOutcome, "table", "answer lost", "read back");
  }

  mutable std::mutex mMutex;
  std::map<std::string, stores::Row> mRows;
  uint64_t mSequence = 0;
};

} // namespace boragepitch::test
