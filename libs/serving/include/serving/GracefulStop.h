#pragma once

#include <optional>

#include "base/Time.h"

namespace boragepitch::serving {

/**
 * The course of a graceful stop: until when connections and requests are accepted, and when the
 * last answer must be on its way. A request is accepted only if it can be answered before the stop
 * ends. Not thread-safe.
 */
class GracefulStop
{
public:
  /** @param aAcceptTime how long connections are accepted after the stop began: callers hear of it
   * late.
   * @param aLimit maximum duration of the stop. */
  GracefulStop(base::Duration aAcceptTime, base::Duration aLimit);

  /** Returns false when the stop has begun before. */
  bool start(base::TimePoint aSignalledAt);
  bool hasStarted() const { return mStartedAt.has_value(); }
  /** Time since the stop began; empty before. */
  std::optional<base::Duration> elapsed(base::TimePoint aNow) const;
  bool acceptsConnections(base::TimePoint aNow) const;
  /** Whether the limit is reached. */
  bool isOver(base::TimePoint aNow) const;
  /** Time at which requests in flight are given up, so that their callers still get an answer; the
   * maximum unless a stop has begun. */
  base::TimePoint answerBy() const;
  /** Whether a request that has been read may be sent to an endpoint.
   * @param aDeadline time until which its caller waits for the answer.
   * @param aMayRepeat another process may run it again if it is not answered.
   * @param aExpected time in which nearly every request like it is answered; empty if unknown, and
   * then its whole time must fit. */
  bool admits(base::TimePoint aDeadline,
              bool aMayRepeat,
              std::optional<base::Duration> aExpected,
              base::TimePoint aNow) const;

private:
  const base::Duration mAcceptTime;
  const base::Duration mLimit;
  std::optional<base::TimePoint> mStartedAt;
};

} // namespace boragepitch::serving
