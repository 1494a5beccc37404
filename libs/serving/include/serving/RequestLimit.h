#pragma once

#include <cstddef>
#include <optional>

#include "base/Time.h"

namespace boragepitch::serving {

/** The entries that send to an endpoint, as far as the division of its limit depends on them. Each
 * number includes this entry. */
struct LimitSharers
{
  size_t regular = 1; ///< Entries that use the endpoint regularly; they precede the others.
  size_t all = 1;     ///< Entries that may send to the endpoint.
  size_t rank = 0;    ///< Number of entries that take precedence over this one at the endpoint.
};

/**
 * The limit on the requests that an endpoint takes from all entries together, as its answers name
 * it, and the part of this entry. Answers on different connections may overtake each other. Not
 * thread-safe.
 *
 * Entries that share the limit have equal rates; one that sent nothing for a while may catch up on
 * half a second. Each may send one request more than its rate allows in any span of time, so a low
 * limit is divided among few entries. The others send only rarely and in turn, to learn when it
 * ends.
 */
class RequestLimit
{
public:
  /** Records what an answer says about the limit.
   * @param aPerSecond requests a second; empty when the answer names no limit.
   * @param aSentAt when the request was sent that is answered. The endpoint has written the answer
   * since.
   * @return true when the limit starts, ends or changes by more than a tenth. */
  bool record(std::optional<double> aPerSecond, base::TimePoint aSentAt, base::TimePoint aNow);
  /** Requests a second; empty when there is no limit. */
  std::optional<double> perSecond() const { return mPerSecond; }

  /** Records that a request is sent to the endpoint, with or without a limit. */
  void recordSend(const LimitSharers& aSharers, base::TimePoint aNow);
  /** Time until this entry may send the next request; zero when it may send now. */
  base::Duration waitTime(const LimitSharers& aSharers, base::TimePoint aNow) const;
  /** Time after which a refused caller may find a place, at this entry or at another one. */
  base::Duration retryTime(const LimitSharers& aSharers, base::TimePoint aNow) const;

private:
  size_t sharersOf(const LimitSharers& aSharers) const;
  /** Time between two requests of an entry that shares the limit. */
  base::Duration intervalOf(size_t aSharers) const;
  base::TimePoint nextSend(const LimitSharers& aSharers) const;

  std::optional<double> mPerSecond;
  base::TimePoint mSince;   ///< Start of the limit, as far as this entry knows.
  base::TimePoint mSentAt;  ///< Send of the latest request whose answer named a limit.
  base::TimePoint mNamedAt; ///< Receipt of the last answer that named a limit.
  base::TimePoint mLastSend;
  base::TimePoint mUsedUntil; ///< The requests since mSince use the rate of this entry up to then.
};

} // namespace boragepitch::serving
