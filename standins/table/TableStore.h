#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace boragepitch::standin {

struct Row
{
  std::string key;
  std::string value;
  int64_t version = 0; ///< Sequence number of the last commit of the row; 0 means absent.
};

struct Transaction
{
  std::vector<std::pair<std::string, int64_t>> checks;
  std::vector<std::pair<std::string, std::string>> puts;
  std::vector<std::string> deletes;
};

struct CommitResult
{
  bool committed = false;
  int64_t version = 0;
  std::vector<std::pair<std::string, int64_t>> conflicts; ///< Key and its current version.
};

struct ReadResult
{
  std::vector<Row> rows;
  int64_t sequence = 0;
};

/** Rows in memory with optimistic transactions. Thread-safe. */
class TableStore
{
public:
  CommitResult commit(const Transaction& aTransaction);
  /** Absent keys are left out. */
  ReadResult read(const std::vector<std::string>& aKeys) const;
  /** At most aLimit rows whose keys start with aPrefix and are greater than aAfter, in order. */
  ReadResult scan(const std::string& aPrefix, const std::string& aAfter, size_t aLimit) const;
  size_t size() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, Row> mRows;
  int64_t mSequence = 0;
};

} // namespace boragepitch::standin
