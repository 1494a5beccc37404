#include "table/TableStore.h"

namespace boragepitch::standin {

CommitResult TableStore::commit(const Transaction& aTransaction)
{
  std::lock_guard lock(mMutex);
  CommitResult result;
  for (const auto& [key, version] : aTransaction.checks) {
    auto found = mRows.find(key);
    int64_t present = found == mRows.end() ? 0 : found->second.version;
    if (present != version) {
      result.conflicts.emplace_back(key, present);
    }
  }
  if (!result.conflicts.empty()) {
    return result;
  }
  result.committed = true;
  result.version = ++mSequence;
  for (const auto& [key, value] : aTransaction.puts) {
    mRows[key] = { key, value, mSequence };
  }
  for (const std::string& key : aTransaction.deletes) {
    mRows.erase(key);
  }
  return result;
}

ReadResult TableStore::read(const std::vector<std::string>& aKeys) const
{
  std::lock_guard lock(mMutex);
  ReadResult result{ .sequence = mSequence };
  for (const std::string& key : aKeys) {
    if (auto found = mRows.find(key); found != mRows.end()) {
      result.rows.push_back(found->second);
    }
  }
  return result;
}

ReadResult TableStore::scan(const std::string& aPrefix,
                            const std::string& aAfter,
                            size_t aLimit) const
{
  std::lock_guard lock(mMutex);
  ReadResult result{ .sequence = mSequence };
  auto next = aAfter < aPrefix ? mRows.lower_bound(aPrefix) : mRows.upper_bound(aAfter);
  for (; next != mRows.end() && result.rows.size() < aLimit; ++next) {
    if (!next->first.starts_with(aPrefix)) {
      break;
    }
    result.rows.push_back(next->second);
  }
  return result;
}

size_t TableStore::size() const
{
  std::lock_guard lock(mMutex);
  return mRows.size();
}

} // namespace boragepitch::standin
