#include "stores/Lease.h"

#include <algorithm>

#include "base/Json.h"

namespace boragepitch::stores {

namespace {

// Maximum number of attempts without an answer. The oldest is dropped; a lease that it acquired is
// lost.
constexpr size_t kMaxUnansweredAttempts = 16;

} // namespace

std::string encodeLeaseRow(const LeaseRow& aRow)
{
  Json::Value value;
  value["owner"] = aRow.owner;
  value["fencing"] = Json::UInt64(aRow.fencing);
  value["durationMs"] = Json::Int64(aRow.duration.count());
  value["token"] = aRow.transactionId;
  return base::writeJson(value);
}

base::Result<LeaseRow> decodeLeaseRow(std::string_view aText)
{
  auto value = base::parseJson(aText);
  if (!value) {
    return tl::make_unexpected(value.error());
  }
  auto fencing = base::requireInt(*value, "fencing", 0, INT64_MAX, "lease");
  if (!fencing) {
    return tl::make_unexpected(fencing.error());
  }
  constexpr int64_t kMaxDurationMs = 24LL * 3600 * 1000;
  auto duration = base::requireInt(*value, "durationMs", 0, kMaxDurationMs, "lease");
  if (!duration) {
    return tl::make_unexpected(duration.error());
  }
  return LeaseRow{ base::stringOr(*value, "owner"),
                   static_cast<uint64_t>(*fencing),
                   base::Milliseconds(*duration),
                   base::stringOr(*value, "token") };
}

LeaseKeeper::LeaseKeeper(LeaseSettings aSettings)
  : mSettings(std::move(aSettings))
  , mKey("lease/" + mSettings.name)
{
}

void LeaseKeeper::observe(const std::optional<Row>& aRow, base::TimePoint aNow)
{
  uint64_t version = aRow ? aRow->version : 0;
  if (mObservedVersion == version) {
    return;
  }
  if (mObservedVersion && version < *mObservedVersion && version != 0) {
    return; // A newer answer was processed before this one.
  }
  mObservedVersion = version;
  mObservedSince = aNow;
  auto decoded = aRow ? decodeLeaseRow(aRow->value) : base::Result<LeaseRow>(LeaseRow{});
  // The fencing number of an unreadable row is not known, so such a row is never replaced.
  mUnreadable = !decoded;
  uint64_t highest = std::max(mObservedRow.fencing, decoded ? decoded->fencing : 0);
  mObservedRow = decoded.value_or(LeaseRow{});
  mObservedRow.fencing = highest;
  auto attempt = mAttempts.find(mObservedRow.transactionId);
  if (attempt != mAttempts.end()) {
    apply(attempt->second, version);
  } else if (mHeld && version != mVersion) {
    clearHeld();
  }
}

void LeaseKeeper::apply(const Attempt& aAttempt, uint64_t aVersion)
{
  Attempt attempt = aAttempt;
  // Any other attempt checks an older version of the row, so it can no longer take effect.
  mAttempts.clear();
  mVersion = aVersion;
  mHeld = !attempt.releases;
  mFencing = attempt.fencing;
  mRenewed = attempt.started;
  mDeadline = mHeld ? attempt.started + mSettings.duration * 2 / 3 : base::TimePoint{};
}

void LeaseKeeper::clearHeld()
{
  mAttempts.clear();
  mHeld = false;
  mFencing = 0;
  mDeadline = base::TimePoint{};
}

std::optional<Transaction> LeaseKeeper::plan(base::TimePoint aNow)
{
  if (!mObservedVersion || mUnreadable || mReleased) {
    return std::nullopt;
  }
  // A holder past its deadline has stopped acting, but may renew while the row is unchanged.
  if (mHeld && mVersion == *mObservedVersion) {
    bool due = aNow >= mRenewed + mSettings.duration / 3;
    return due ? std::optional(write(mSettings.owner, mFencing, aNow)) : std::nullopt;
  }
  bool isFree = *mObservedVersion == 0 || mObservedRow.owner.empty();
  base::Duration wait = std::max(mObservedRow.duration, mSettings.duration);
  if (!isFree && aNow < mObservedSince + wait) {
    return std::nullopt;
  }
  return write(mSettings.owner, mObservedRow.fencing + 1, aNow);
}

std::optional<Transaction> LeaseKeeper::release(base::TimePoint aNow)
{
  bool held = mHeld && mObservedVersion == mVersion;
  mDeadline = base::TimePoint{};
  mReleased = true;
  if (!held) {
    return std::nullopt;
  }
  Transaction transaction = write("", mFencing, aNow);
  mAttempts[transaction.id].releases = true;
  return transaction;
}

Transaction LeaseKeeper::write(const std::string& aOwner, uint64_t aFencing, base::TimePoint aNow)
{
  Transaction transaction;
  transaction.id = mSettings.owner + "/" + mSettings.name + "/" + std::to_string(++mCounter);
  transaction.checks.push_back({ mKey, *mObservedVersion });
  transaction.puts.push_back(
    { mKey, encodeLeaseRow({ aOwner, aFencing, mSettings.duration, transaction.id }) });
  if (mAttempts.size() >= kMaxUnansweredAttempts) {
    mAttempts.erase(std::min_element(
      mAttempts.begin(), mAttempts.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.started < aRight.second.started;
      }));
  }
  mAttempts[transaction.id] = { aNow, aFencing, false };
  return transaction;
}

void LeaseKeeper::handleAnswer(const Transaction& aSent,
                               const base::Result<uint64_t>& aAnswer,
                               base::TimePoint aNow)
{
  auto attempt = mAttempts.find(aSent.id);
  if (attempt == mAttempts.end()) {
    return;
  }
  if (!aAnswer) {
    bool nothingWritten = aAnswer.error().kind == base::ErrorKind::Conflict ||
                          aAnswer.error().kind == base::ErrorKind::Unavailable;
    if (nothingWritten) {
      mAttempts.erase(attempt);
    }
    return;
  }
  if (mObservedVersion && *aAnswer < *mObservedVersion) {
    return;
  }
  auto row = decodeLeaseRow(aSent.puts.front().value);
  mObservedVersion = *aAnswer;
  mObservedSince = aNow;
  mObservedRow = row.value_or(LeaseRow{});
  apply(attempt->second, *aAnswer);
}

bool LeaseKeeper::needsRead() const
{
  return !mObservedVersion || !mHeld || !mAttempts.empty();
}

bool LeaseKeeper::holds(base::TimePoint aNow) const
{
  return mHeld && aNow < mDeadline;
}

uint64_t LeaseKeeper::fencing(base::TimePoint aNow) const
{
  return holds(aNow) ? mFencing : 0;
}

std::optional<Check> LeaseKeeper::check(base::TimePoint aNow) const
{
  return holds(aNow) ? std::optional(Check{ mKey, mVersion }) : std::nullopt;
}

} // namespace boragepitch::stores
