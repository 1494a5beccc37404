#include "stores/RowKeeper.h"

#include <algorithm>

namespace boragepitch::stores {

namespace {
/** All processes of a fleet learn of a restore at about the same time; the service refuses calls
 * beyond its rate. */
constexpr base::Milliseconds kRewriteSpread{ 1000 };
/** Delay before a failed write is repeated, and its random part. */
constexpr base::Milliseconds kRetryDelay{ 300 };
constexpr base::Milliseconds kRetrySpread{ 400 };

base::Duration randomPart(base::Milliseconds aSpread, base::Rng& aRng)
{
  return base::Milliseconds(base::uniformBelow(aRng, static_cast<uint64_t>(aSpread.count())));
}
} // namespace

void KeptRows::keep(KeptRow aRow, base::TimePoint aNow)
{
  State& state = mRows[{ std::move(aRow.table), std::move(aRow.key) }];
  state.value = std::move(aRow.value);
  state.dueAt = aNow;
}

void KeptRows::forget(const std::string& aTable, const std::string& aKey)
{
  mRows.erase({ aTable, aKey });
}

void KeptRows::observeEra(std::optional<uint64_t> aEra, base::TimePoint aNow)
{
  if (!aEra || (mEra && *aEra <= *mEra)) {
    return;
  }
  mEra = aEra;
  for (auto& [key, state] : mRows) {
    if (!state.dueAt && state.writtenEra != aEra) {
      state.dueAt = aNow + randomPart(kRewriteSpread, mRng);
    }
  }
}

std::optional<KeptRow> KeptRows::due(base::TimePoint aNow) const
{
  for (const auto& [key, state] : mRows) {
    if (state.dueAt && *state.dueAt <= aNow) {
      return KeptRow{ key.first, key.second, state.value };
    }
  }
  return std::nullopt;
}

std::optional<base::TimePoint> KeptRows::nextDueTime() const
{
  std::optional<base::TimePoint> next;
  for (const auto& [key, state] : mRows) {
    if (state.dueAt && (!next || *state.dueAt < *next)) {
      next = state.dueAt;
    }
  }
  return next;
}

void KeptRows::written(const KeptRow& aRow, std::optional<uint64_t> aEra, base::TimePoint aNow)
{
  observeEra(aEra, aNow);
  auto found = mRows.find({ aRow.table, aRow.key });
  if (found == mRows.end() || found->second.value != aRow.value) {
    return; // The row was forgotten, or has a newer value to be written.
  }
  found->second.writtenEra = aEra;
  found->second.dueAt.reset();
  if (aEra && aEra != mEra) {
    failed(aRow, aNow); // The row was written before the restore.
  }
}

void KeptRows::failed(const KeptRow& aRow, base::TimePoint aNow)
{
  auto found = mRows.find({ aRow.table, aRow.key });
  if (found != mRows.end()) {
    found->second.dueAt = aNow + base::Duration(kRetryDelay) + randomPart(kRetrySpread, mRng);
  }
}

RowKeeper::RowKeeper(MakeFeed aMakeFeed, OnFailure aOnFailure, uint64_t aSeed)
  : mMakeFeed(std::move(aMakeFeed))
  , mOnFailure(std::move(aOnFailure))
  , mRows(aSeed)
  , mThread([this] { run(); })
{
}

RowKeeper::~RowKeeper()
{
  stop();
}

void RowKeeper::keep(KeptRow aRow)
{
  {
    std::lock_guard lock(mMutex);
    mRows.keep(std::move(aRow), std::chrono::steady_clock::now());
  }
  mWake.notify_all();
}

void RowKeeper::forget(const std::string& aTable, const std::string& aKey)
{
  std::lock_guard lock(mMutex);
  mRows.forget(aTable, aKey);
}

void RowKeeper::observeEra(uint64_t aEra)
{
  {
    std::lock_guard lock(mMutex);
    mRows.observeEra(aEra, std::chrono::steady_clock::now());
  }
  mWake.notify_all();
}

void RowKeeper::stop()
{
  {
    std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void RowKeeper::run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    if (auto row = mRows.due(std::chrono::steady_clock::now())) {
      lock.unlock();
      // A connection is needed rarely, and an old one may be dead.
      auto feed = mMakeFeed();
      write(*feed, *row);
      lock.lock();
    } else if (auto next = mRows.nextDueTime()) {
      mWake.wait_until(lock, *next);
    } else {
      mWake.wait(lock);
    }
  }
}

void RowKeeper::write(RowFeed& aFeed, const KeptRow& aRow)
{
  auto written = aFeed.put(aRow.table, aRow.key, aRow.value);
  if (!written) {
    mOnFailure(aRow, written.error());
  }
  std::lock_guard lock(mMutex);
  auto now = std::chrono::steady_clock::now();
  if (written) {
    mRows.written(aRow, aFeed.era(), now);
  } else {
    mRows.observeEra(aFeed.era(), now);
    mRows.failed(aRow, now);
  }
}

} // namespace boragepitch::stores
