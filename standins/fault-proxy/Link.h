#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

#include <json/value.h>

#include "base/Limits.h"
#include "base/Time.h"
#include "net/Address.h"

namespace boragepitch::standin {

enum class Direction : uint8_t
{
  ToTarget = 0,
  ToClient = 1,
};
constexpr size_t kDirections = 2;

/** One listen/target pair and its faults. Thread-safe. */
class Link
{
public:
  Link(net::Address aListen, net::Address aTarget);

  const net::Address& listen() const { return mListen; }
  const net::Address& target() const { return mTarget; }

  /**
   * Takes delayMs (each way, may have a fraction), rate (bytes a second each way, 0 for no limit),
   * cut (closes the open connections) and silence: "open" (the connections open now stay silent
   * for ever), "all" (every connection), "toTarget" or "toClient" (bytes in this direction). The
   * last three hold until another one of them or "none".
   */
  void apply(const Json::Value& aFault);

  base::Duration delay() const { return std::chrono::microseconds(mDelayUs); }
  /** Bytes of aWanted that may be sent now; sets aWait to the time until more may be sent when 0.
   */
  size_t takeRate(Direction aDirection, size_t aWanted, base::Duration& aWait);
  /** Count of cuts; a connection that was opened at a smaller value must close. */
  uint64_t cutEpoch() const { return mCutEpoch; }
  /** Count of "open" silences; a connection that was opened at a smaller value stays silent. */
  uint64_t silenceEpoch() const { return mSilenceEpoch; }
  bool silencesAll() const { return mSilenceAll; }
  bool silences(Direction aDirection) const { return mSilenced[size_t(aDirection)]; }

  void countConnection() { ++mConnections; }
  void countBytes(Direction aDirection, size_t aBytes) { mBytes[size_t(aDirection)] += aBytes; }
  Json::Value stats() const;

private:
  const net::Address mListen;
  const net::Address mTarget;
  std::atomic<int64_t> mDelayUs{ 0 };
  std::atomic<uint64_t> mCutEpoch{ 0 };
  std::atomic<uint64_t> mSilenceEpoch{ 0 };
  std::atomic<bool> mSilenceAll{ false };
  std::array<std::atomic<bool>, kDirections> mSilenced{};
  std::atomic<uint64_t> mConnections{ 0 };
  std::array<std::atomic<uint64_t>, kDirections> mBytes{};
  std::mutex mMutex;
  double mRate = 0;
  std::array<base::TokenBucket, kDirections> mBuckets;
};

} // namespace boragepitch::standin
