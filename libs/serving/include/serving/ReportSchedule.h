#pragma once

#include <optional>
#include <string>

#include "base/Time.h"
#include "serving/EndpointSet.h"

namespace boragepitch::serving {

struct ReportIntervals
{
  /** Between two reports of an engine at which requests wait: entries refuse by them. */
  base::Milliseconds busy{ 150 };
  /** Between two reports of an engine without a queue, which takes the next requests at once. */
  base::Milliseconds quiet{ 300 };
  /** During a switch of weights, so that entries soon learn that the engine is ready again. */
  base::Milliseconds switching{ 40 };
  /** An unchanged report is sent again after this time: datagrams may be lost and reports expire.
   */
  base::Milliseconds resend{ 600 };
  /** To entries that do not use the engine: they only look for spare slots, and ignore reports
   * older than twice this time. */
  base::Milliseconds sparse{ 750 };
};

enum class ReportAudience
{
  Nobody,
  Users, ///< The entries that use the engine.
  Everyone,
};

/**
 * Decides how often an engine's load is read and who is told, so that the reports of a fleet grow
 * with its engines and not with engines times entries. Not thread-safe.
 */
class ReportSchedule
{
public:
  explicit ReportSchedule(ReportIntervals aIntervals);

  /** Time until the next read of the load, after a read with this result; empty when it failed. */
  base::Milliseconds nextRead(const std::optional<LoadReport>& aReport) const;
  /** Decides who receives the encoded report now, and records that they did. */
  ReportAudience audience(const LoadReport& aReport,
                          const std::string& aEncoded,
                          base::TimePoint aNow);

private:
  const ReportIntervals mIntervals;
  std::string mSent;            ///< The latest report sent to anyone, encoded.
  base::TimePoint mSentAt;      ///< When it was sent.
  base::TimePoint mSentToAllAt; ///< When everyone last received a report.
  bool mWasSwitching = false;   ///< In the latest report sent.
};

} // namespace boragepitch::serving
