#include <algorithm>

#include "routing/ClaimCore.h"
#include "routing/ClaimStore.h"

namespace boragepitch::routing {

namespace {

constexpr size_t kPageRows = 256;  ///< Maximum rows per scan.
constexpr size_t kMaxDeletes = 64; ///< Maximum rows per transaction.

} // namespace

struct ClaimPruner::Impl
{
  Impl(stores::TableClient& aTable, base::Duration aMaxAge, size_t aMaxTracked)
    : table(aTable)
    , core(aMaxAge, aMaxTracked)
  {
  }

  stores::TableClient& table;
  PruneCore core;
  std::string lastKey;
  uint64_t transactions = 0;
};

ClaimPruner::ClaimPruner(stores::TableClient& aTable, base::Duration aMaxAge, size_t aMaxTracked)
  : mImpl(std::make_unique<Impl>(aTable, aMaxAge, aMaxTracked))
{
}

ClaimPruner::~ClaimPruner() = default;

base::Result<size_t> ClaimPruner::step(base::TimePoint aNow)
{
  auto rows = mImpl->table.scan("claim/", mImpl->lastKey, kPageRows);
  if (!rows) {
    return tl::make_unexpected(rows.error());
  }
  auto expired = mImpl->core.observe(*rows, aNow);
  bool partial = expired.size() > kMaxDeletes;
  expired.resize(std::min(expired.size(), kMaxDeletes));
  // When the page has more expired rows than fit into one transaction, the next step rereads it.
  if (!partial) {
    mImpl->lastKey = rows->size() < kPageRows ? std::string() : rows->back().key;
  }
  if (expired.empty()) {
    return 0;
  }
  stores::Transaction transaction;
  transaction.id = "prune-" + std::to_string(++mImpl->transactions);
  transaction.checks = expired;
  for (const stores::Check& check : expired) {
    transaction.deletes.push_back(check.key);
  }
  auto committed = mImpl->table.commit(transaction);
  if (!committed && committed.error().kind != base::ErrorKind::Conflict) {
    return tl::make_unexpected(committed.error());
  }
  // A conflict means that one of the rows changed; later scans restart the age of all of them.
  for (const stores::Check& check : expired) {
    mImpl->core.forget(check.key);
  }
  return committed ? expired.size() : 0;
}

} // namespace boragepitch::routing
