#include "stores/TableWatcher.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace boragepitch::stores {

namespace {
/** Maximum number of pages of one read; limits the read of a table that grows meanwhile. */
constexpr int kMaxPages = 1000;
/** Interval at which waitToCoalesce() checks wakeAt(). */
constexpr base::Milliseconds kWakeCheckInterval{ 100 };
/** Wait of the first call after a failed one: its answer shows that the service is back. */
constexpr base::Milliseconds kProbeWait{ 1 };
constexpr uint64_t kNoLimit = std::numeric_limits<uint64_t>::max();
/** Processes that are further behind get larger answers; one that gets a smaller one must know that
 * it has what they lack. */
constexpr uint64_t kLargeAnswerDivisor = 2;
} // namespace

TableWatcher::TableWatcher(MakeFeed aMakeFeed, TableListener& aListener, WatchOptions aOptions)
  : mMakeFeed(std::move(aMakeFeed))
  , mListener(aListener)
  , mOptions(std::move(aOptions))
  , mCoalesceTime(mOptions.coalesceTime)
  , mRng(mOptions.seed)
  , mBackoff(mOptions.backoffBase, mOptions.backoffCap)
{
}

TableWatcher::~TableWatcher()
{
  stop();
}

void TableWatcher::start()
{
  mThread = std::thread([this] { run(); });
}

void TableWatcher::refresh()
{
  {
    std::lock_guard lock(mMutex);
    mRefreshing = true;
    if (mFeed) {
      mFeed->cancel();
    }
  }
  mWake.notify_all();
}

void TableWatcher::stop()
{
  mStopping = true;
  if (mOptions.copies != nullptr) {
    mOptions.copies->cancel();
  }
  refresh();
  if (mThread.joinable()) {
    mThread.join();
  }
}

std::shared_ptr<RowFeed> TableWatcher::makeFeed()
{
  std::lock_guard lock(mMutex);
  mRefreshing = false;
  mFeed = mMakeFeed();
  if (mOptions.copies != nullptr) {
    mOptions.copies->setFeed(mFeed);
  }
  return mFeed;
}

void TableWatcher::run()
{
  auto feed = makeFeed();
  while (!mStopping) {
    auto startedAt = std::chrono::steady_clock::now();
    mListener.onCallStarted(startedAt);
    auto status = step(*feed);
    if (mStopping) {
      return;
    }
    report(status);
    if (status) {
      mBackoff.reset();
      continue;
    }
    if (isHistoryGone(status)) {
      mHasPosition = false;
      continue;
    }
    mListener.onCallFailed(startedAt);
    std::this_thread::sleep_for(mBackoff.next(mRng) + base::Duration(mOptions.backoffBase));
    feed = makeFeed();
  }
}

bool TableWatcher::isHistoryGone(const base::Status& aStatus) const
{
  // A read of the whole table needs no history.
  return !aStatus && aStatus.error().kind == base::ErrorKind::NotFound && mHasPosition;
}

void TableWatcher::report(const base::Status& aStatus)
{
  auto now = std::chrono::steady_clock::now();
  bool reachable = aStatus.has_value() || isHistoryGone(aStatus);
  if (reachable != mReachable || !mReported) {
    mReachable = reachable;
    mReported = true;
    mListener.onReachable(reachable, reachable ? "" : aStatus.error().describe(), now);
  }
}

void TableWatcher::reportCall(const RowFeed& aFeed,
                              const base::Result<RowPage>& aPage,
                              bool aIsSnapshot)
{
  TableCall call{ .isSnapshot = aIsSnapshot, .answer = aFeed.lastAnswer() };
  if (aPage) {
    call.rows = aPage->rows.size();
  } else {
    call.status = tl::make_unexpected(aPage.error());
  }
  mListener.onCallEnded(call, std::chrono::steady_clock::now());
}

TableWatcher::AnswerAge TableWatcher::observeEra(std::optional<uint64_t> aEra)
{
  if (!aEra || aEra == mEra) {
    return AnswerAge::Current;
  }
  if (mEra && *aEra < *mEra) {
    return AnswerAge::Former;
  }
  bool isFirst = !std::exchange(mEra, aEra);
  if (mOptions.onEra) {
    mOptions.onEra(*aEra);
  }
  if (isFirst) {
    return AnswerAge::Current;
  }
  // Positions are given out again, so nothing says what was written before this answer.
  mHasPosition = false;
  mPosition = 0;
  mWasRestored = true;
  return AnswerAge::Restored;
}

base::Status TableWatcher::step(RowFeed& aFeed)
{
  bool mayTakeCopy = mOptions.copies != nullptr && !mReadsService && mOptions.copies->hasSource();
  aFeed.limitAnswers(mayTakeCopy ? mOptions.maxAnswerBytes : kNoLimit);
  auto status = mHasPosition ? readChanges(aFeed) : readSnapshot(aFeed);
  if (mayTakeCopy && isTooLarge(status) && mHasPosition && !mIsTableLarge) {
    // An answer about changes holds every state of a row since the last call; the table may be
    // small.
    status = readSnapshot(aFeed);
  }
  if (mayTakeCopy && isTooLarge(status)) {
    takeCopy(aFeed.lastAnswer().announcedBytes.value_or(0));
    return {};
  }
  mReadsService = mReadsService && !status;
  return status;
}

bool TableWatcher::isTooLarge(const base::Status& aStatus)
{
  return !aStatus && aStatus.error().kind == base::ErrorKind::TooLarge;
}

bool TableWatcher::isLarge(uint64_t aBytes) const
{
  return aBytes > mOptions.maxAnswerBytes / kLargeAnswerDivisor;
}

void TableWatcher::takeCopy(uint64_t aAnnouncedBytes)
{
  auto copy =
    mOptions.copies->fetch({ .era = mEra, .after = mPosition, .announcedBytes = aAnnouncedBytes });
  if (!copy || observeEra(copy->era) == AnswerAge::Former) {
    mReadsService = true;
    return;
  }
  deliverSnapshot(*copy);
}

base::Status TableWatcher::readChanges(RowFeed& aFeed)
{
  auto wait = waitTime(std::chrono::steady_clock::now());
  auto page = aFeed.changes(mOptions.table, mPosition, wait);
  reportCall(aFeed, page, false);
  auto age = observeEra(aFeed.era());
  bool isAnswered = page || page.error().kind == base::ErrorKind::NotFound;
  if (age == AnswerAge::Restored && isAnswered) {
    return {}; // The whole table is read next; it includes the rows of this answer.
  }
  if (!page) {
    return tl::make_unexpected(page.error());
  }
  if (age == AnswerAge::Former) {
    return formerAnswer();
  }
  mPosition = std::max(mPosition, page->position);
  auto now = std::chrono::steady_clock::now();
  if (!mReachable) {
    report({});
  }
  mListener.onServiceTime(page->serviceTime);
  if (mOptions.copies != nullptr) {
    mOptions.copies->apply(*page, mEra, isLarge(aFeed.lastAnswer().bytes));
  }
  if (!page->rows.empty()) {
    mListener.onChanges(page->rows, now);
  }
  mListener.onCallSucceeded(now);
  if (page->rows.empty()) {
    mCoalesceTime = mOptions.coalesceTime;
  } else {
    waitToCoalesce(now);
    mCoalesceTime = std::max(mCoalesceTime, std::min(2 * mCoalesceTime, mOptions.maxCoalesceTime));
  }
  return {};
}

void TableWatcher::waitToCoalesce(base::TimePoint aNow)
{
  auto until = aNow + base::Duration(mCoalesceTime);
  std::unique_lock lock(mMutex);
  for (auto now = aNow; now < until && !mStopping && !mRefreshing;
       now = std::chrono::steady_clock::now()) {
    auto wakeAt = mListener.wakeAt();
    if (wakeAt && *wakeAt <= now) {
      return;
    }
    mWake.wait_for(lock, std::min<base::Duration>(kWakeCheckInterval, until - now));
  }
}

base::Milliseconds TableWatcher::waitTime(base::TimePoint aNow) const
{
  if (!mReachable) {
    return kProbeWait;
  }
  auto wakeAt = mListener.wakeAt();
  if (!wakeAt) {
    return mOptions.wait;
  }
  auto left = std::chrono::ceil<base::Milliseconds>(*wakeAt - aNow);
  return std::clamp(left, base::Milliseconds(1), mOptions.wait);
}

base::Status TableWatcher::formerAnswer() const
{
  return base::fail(base::ErrorKind::Unavailable,
                    mOptions.table,
                    "the answer is older than the service's restore",
                    "retry on a new connection");
}

base::Status TableWatcher::readSnapshot(RowFeed& aFeed)
{
  TableCopy copy;
  std::string after;
  uint64_t bytes = 0;
  for (int number = 0; number < kMaxPages; ++number) {
    auto page = aFeed.read(mOptions.table, after);
    reportCall(aFeed, page, true);
    auto age = observeEra(aFeed.era());
    if (!page) {
      return tl::make_unexpected(page.error());
    }
    if (age == AnswerAge::Former) {
      return formerAnswer();
    }
    if (age == AnswerAge::Restored && number > 0) {
      return {}; // The pages before it show a former state: all are read again.
    }
    // Later pages may hold newer rows; the changes after the first page's position include them
    // again.
    copy.position = number == 0 ? page->position : copy.position;
    copy.serviceTime = page->serviceTime;
    copy.rows.insert(copy.rows.end(), page->rows.begin(), page->rows.end());
    bytes += aFeed.lastAnswer().bytes;
    if (!page->hasMore || page->rows.empty()) {
      break;
    }
    after = page->rows.back().key;
  }
  copy.era = mEra;
  copy.largeChangeAt = isLarge(bytes) ? copy.position : 0;
  deliverSnapshot(copy);
  return {};
}

void TableWatcher::deliverSnapshot(const TableCopy& aCopy)
{
  mPosition = aCopy.position;
  mHasPosition = true;
  uint64_t bytes = 0;
  for (const RowChange& row : aCopy.rows) {
    bytes += row.value.size();
  }
  mIsTableLarge = bytes > mOptions.maxAnswerBytes;
  if (mOptions.copies != nullptr) {
    mOptions.copies->reset(aCopy);
  }
  report({});
  auto now = std::chrono::steady_clock::now();
  mListener.onServiceTime(aCopy.serviceTime);
  if (std::exchange(mWasRestored, false)) {
    mListener.onRestored(now);
  }
  mListener.onSnapshot(aCopy.rows, now);
  mListener.onCallSucceeded(now);
}

} // namespace boragepitch::stores
