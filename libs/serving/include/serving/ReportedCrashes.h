#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "base/Time.h"
#include "serving/CrashSuspects.h"

namespace boragepitch::serving {

/**
 * Recent crash reports that may still turn out to be wrong. A crash is concluded from the end of
 * one connection, but a connection may also be reset alone. An endpoint that crashes ends all its
 * connections: if it answers on one that was open before, it did not crash. Records are bounded by
 * count and age. Not thread-safe.
 */
class ReportedCrashes
{
public:
  explicit ReportedCrashes(size_t aMaxReports = 256)
    : mMaxReports(aMaxReports)
  {
  }

  void add(const CrashEvidence& aEvidence, base::TimePoint aNow);
  /**
   * Removes and returns the reports that an answer of the endpoint refutes.
   * @param aEndpoint id and start time, as in CrashEvidence.
   * @param aOpenedAt when the connection of the answer was opened.
   * @param aNow when bytes of the answer arrived.
   */
  std::vector<CrashEvidence> refute(std::string_view aEndpoint,
                                    base::TimePoint aOpenedAt,
                                    base::TimePoint aNow);
  /** Removes the report that another process has refuted. */
  void remove(const CrashEvidence& aEvidence);
  bool isEmpty() const { return mReports.empty(); }
  size_t size() const { return mReports.size(); }

private:
  struct Report
  {
    CrashEvidence evidence;
    base::TimePoint at;
  };

  const size_t mMaxReports;
  std::vector<Report> mReports; ///< Oldest first.
};

} // namespace boragepitch::serving
