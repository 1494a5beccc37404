#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/Time.h"

namespace boragepitch::serving {

struct RetryLimits
{
  double ratio = 0.2; ///< Repeats allowed for each request.
  double slack = 0;   ///< Repeats allowed beyond that in one window, over all processes.
  base::Milliseconds window{ 10000 }; ///< Any span of this length counts.
};

/**
 * A budget for repeated sends that several processes share without messages: each spends its own
 * requests' ratio and an even part of the slack. Answers retry storms, in which repeats multiply
 * the load that made the first sends fail. Not thread-safe.
 */
class RetryLedger
{
public:
  explicit RetryLedger(RetryLimits aLimits);

  void setLimits(RetryLimits aLimits) { mLimits = aLimits; }
  /** Number of processes that share the slack. */
  void setSharers(int aCount) { mSharers = aCount; }
  void recordRequest(std::string_view aService, base::TimePoint aNow);
  /** True and spends one repeat when the budget of the service allows it. */
  bool tryRetry(std::string_view aService, base::TimePoint aNow);
  /** Repeats that are left for the service now. */
  double remaining(std::string_view aService, base::TimePoint aNow);

private:
  struct Slice
  {
    base::TimePoint since;
    int requests = 0;
    int repeats = 0;
  };
  struct Account
  {
    std::deque<Slice> slices;
    int requests = 0;
    int repeats = 0;
  };

  Slice& current(Account& aAccount, base::TimePoint aNow);
  Account& account(std::string_view aService);

  RetryLimits mLimits;
  int mSharers = 1;
  std::map<std::string, Account, std::less<>> mAccounts;
};

} // namespace boragepitch::serving
