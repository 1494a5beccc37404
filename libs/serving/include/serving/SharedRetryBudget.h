#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/Time.h"

namespace boragepitch::serving {

struct RetryLimits
{
  double ratio = 0.2; ///< Retries allowed per request.
  double slack = 0;   ///< Further retries allowed per window, shared by all processes.
  base::Milliseconds window{ 10000 }; ///< Length of the sliding window.
};

/**
 * Retry budget per service that several processes share without messages: each process spends the
 * ratio of its own requests and an equal part of the slack. Prevents retry storms, in which retries
 * multiply the load that made the first sends fail. Not thread-safe.
 */
class SharedRetryBudget
{
public:
  /** Share of the budget that may be spent. The margin is needed because processes count a request
   * at another moment than the endpoints do, and because a new process takes its part of the slack
   * before the other processes know of it. */
  static constexpr double kSafetyFactor = 0.75;

  explicit SharedRetryBudget(RetryLimits aLimits);

  void setLimits(RetryLimits aLimits) { mLimits = aLimits; }
  /** Sets the number of processes that share the slack, this one included. Until then as many are
   * assumed as kAssumedProcesses says. */
  void setProcessCount(int aCount) { mProcessCount = aCount; }
  void recordRequest(std::string_view aService, base::TimePoint aNow);
  /** Spends one retry of the service's budget; false when the budget is exhausted. */
  bool tryRetry(std::string_view aService, base::TimePoint aNow);
  /** Retries left in the service's budget. */
  double remaining(std::string_view aService, base::TimePoint aNow);
  /** Retries that the service's budget allows in the present window, spent ones included. */
  double allowance(std::string_view aService, base::TimePoint aNow);

private:
  /** Processes that start together do not know each other for a moment. */
  static constexpr int kAssumedProcesses = 4;

  struct Slice
  {
    base::TimePoint since;
    int requests = 0;
    int retries = 0;
  };
  struct Window
  {
    std::deque<Slice> slices;
    int requests = 0;
    int retries = 0;
  };

  Slice& current(Window& aWindow, base::TimePoint aNow);
  Window& windowOf(std::string_view aService);

  RetryLimits mLimits;
  int mProcessCount = kAssumedProcesses;
  std::map<std::string, Window, std::less<>> mWindows;
};

} // namespace boragepitch::serving
