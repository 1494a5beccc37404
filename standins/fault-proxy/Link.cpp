#include "fault-proxy/Link.h"

#include <algorithm>

#include "base/Json.h"

namespace boragepitch::standin {

namespace {

/** Burst size of the rate limit, bytes. */
constexpr double kBurstBytes = 16 << 10;
/** Bytes taken from the bucket at once, so that connections share the rate evenly. */
constexpr size_t kPieceBytes = 8 << 10;
/** Placeholder rate while there is no limit: a token bucket needs a positive rate. */
constexpr double kPlaceholderRate = 1;

base::TokenBucket unlimitedBucket()
{
  return { kPlaceholderRate, kBurstBytes, std::chrono::steady_clock::now() };
}

} // namespace

Link::Link(net::Address aListen, net::Address aTarget)
  : mListen(std::move(aListen))
  , mTarget(std::move(aTarget))
  , mBuckets{ unlimitedBucket(), unlimitedBucket() }
{
}

void Link::apply(const Json::Value& aFault)
{
  if (aFault.isMember("delayMs")) {
    mDelayUs = int64_t(aFault["delayMs"].asDouble() * 1000);
  }
  std::string silence = base::stringOr(aFault, "silence");
  if (silence == "open") {
    ++mSilenceEpoch;
  } else if (!silence.empty()) {
    mSilenceAll = silence == "all";
    mSilenced[size_t(Direction::ToTarget)] = silence == "toTarget";
    mSilenced[size_t(Direction::ToClient)] = silence == "toClient";
  }
  if (base::boolOr(aFault, "cut", false)) {
    ++mCutEpoch;
  }
  // Set last, so that no bytes pass when one fault sets a silence and raises the rate.
  if (aFault.isMember("rate")) {
    std::lock_guard lock(mMutex);
    mRate = aFault["rate"].asDouble();
    for (base::TokenBucket& bucket : mBuckets) {
      bucket.setRate(mRate > 0 ? mRate : kPlaceholderRate, std::chrono::steady_clock::now());
    }
  }
}

size_t Link::takeRate(Direction aDirection, size_t aWanted, base::Duration& aWait)
{
  std::lock_guard lock(mMutex);
  if (mRate <= 0) {
    return aWanted;
  }
  base::TokenBucket& bucket = mBuckets[size_t(aDirection)];
  size_t piece = std::min(aWanted, kPieceBytes);
  auto now = std::chrono::steady_clock::now();
  if (bucket.tryTake(double(piece), now)) {
    return piece;
  }
  aWait = bucket.timeUntilAvailable(now);
  return 0;
}

Json::Value Link::stats() const
{
  Json::Value body;
  body["listen"] = mListen.toString();
  body["target"] = mTarget.toString();
  body["connections"] = Json::UInt64(mConnections);
  body["bytesToTarget"] = Json::UInt64(mBytes[size_t(Direction::ToTarget)]);
  body["bytesToClient"] = Json::UInt64(mBytes[size_t(Direction::ToClient)]);
  return body;
}

} // namespace boragepitch::standin
