#pragma once

#include <optional>

#include "base/Time.h"

namespace boragepitch::serving {

/**
 * The limit on the requests that an endpoint takes from all entries together, as its answers name
 * it. Answers on different connections may overtake each other. Not thread-safe.
 */
class RequestLimit
{
public:
  /** Records what an answer says about the limit.
   * @param aPerSecond requests a second; empty when the answer names no limit.
   * @param aSentAt when the request was sent that is answered. The endpoint has written the answer
   * since.
   * @return true when this changes the limit. */
  bool record(std::optional<double> aPerSecond, base::TimePoint aSentAt, base::TimePoint aNow);
  /** Requests a second; empty when there is no limit. */
  std::optional<double> perSecond() const { return mPerSecond; }

private:
  std::optional<double> mPerSecond;
  base::TimePoint mSentAt;  ///< Send of the latest request whose answer named a limit.
  base::TimePoint mNamedAt; ///< Receipt of the last answer that named a limit.
};

} // namespace boragepitch::serving
