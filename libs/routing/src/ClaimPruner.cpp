#include <algorithm>

#include "routing/ClaimCore.h"
#include "routing/ClaimStore.h"

namespace boragepitch::routing {

namespace {

constexpr size_t kPage = 256;       ///< Maximum rows per scan.
constexpr size_t kMostDeletes = 64; ///< Maximum rows per transaction.

} // namespace

struct ClaimPruner::Impl
{
  Impl(stores::TableClient& aTable, base::Duration aAge, size_t aMaxTracked)
    : table(aTable)
    , core(aAge, aMaxTracked)
  {
  }

  stores::TableClient& table;
  PruneCore core;
  std::string after;
  uint64_t transactions = 0;
};

ClaimPruner::ClaimPruner(stores::TableClient& aTable, base::Duration aAge, size_t aMaxTracked)
  : mImpl(std::make_unique<Impl>(aTable, aAge, aMaxTracked))
{
}

ClaimPruner::~ClaimPruner() = default;

base::Result<size_t> ClaimPruner::step(base::TimePoint aNow)
{
  auto rows = mImpl->table.scan("claim/", mImpl->after, kPage);
  if (!rows) {
    return tl::make_unexpected(rows.error());
  }
  auto old = mImpl->core.observe(*rows, aNow);
  bool partial = old.size() > kMostDeletes;
  old.resize(std::min(old.size(), kMostDeletes));
  // When the page has more expired rows than fit into one transaction, the next step rereads it.
  if (!partial) {
    mImpl->after = rows->size() < kPage ? std::string() : rows->back().key;
  }
  if (old.empty()) {
    return 0;
  }
  stores::Transaction transaction;
  transaction.id = "prune-" + std::to_string(++mImpl->transactions);
  transaction.checks = old;
  for (const stores::Check& check : old) {
    transaction.deletes.push_back(check.key);
  }
  auto committed = mImpl->table.commit(transaction);
  if (!committed && committed.error().kind != base::ErrorKind::Conflict) {
    return tl::make_unexpected(committed.error());
  }
  // A conflict means that one of the rows changed; later scans restart the age of all of them.
  for (const stores::Check& check : old) {
    mImpl->core.forget(check.key);
  }
  return committed ? old.size() : 0;
}

} // namespace boragepitch::routing
