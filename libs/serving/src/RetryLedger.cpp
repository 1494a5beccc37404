#include "serving/RetryLedger.h"

#include <algorithm>

namespace boragepitch::serving {

namespace {
/** Length of the slices that make up the sliding window. */
constexpr base::Milliseconds kSlice{ 500 };
/** Share of the budget that may be spent. The margin is needed because processes count a request
 * at another moment than the endpoints do, and because a new process takes its part of the slack
 * before the other processes know of it. */
constexpr double kSafety = 0.75;
} // namespace

RetryLedger::RetryLedger(RetryLimits aLimits)
  : mLimits(aLimits)
{
}

RetryLedger::Account& RetryLedger::account(std::string_view aService)
{
  auto found = mAccounts.find(aService);
  return found != mAccounts.end() ? found->second : mAccounts[std::string(aService)];
}

RetryLedger::Slice& RetryLedger::current(Account& aAccount, base::TimePoint aNow)
{
  while (!aAccount.slices.empty() &&
         aNow - aAccount.slices.front().since > mLimits.window + kSlice) {
    aAccount.requests -= aAccount.slices.front().requests;
    aAccount.repeats -= aAccount.slices.front().repeats;
    aAccount.slices.pop_front();
  }
  if (aAccount.slices.empty() || aNow - aAccount.slices.back().since >= kSlice) {
    aAccount.slices.push_back({ .since = aNow });
  }
  return aAccount.slices.back();
}

void RetryLedger::recordRequest(std::string_view aService, base::TimePoint aNow)
{
  Account& target = account(aService);
  ++current(target, aNow).requests;
  ++target.requests;
}

double RetryLedger::remaining(std::string_view aService, base::TimePoint aNow)
{
  Account& target = account(aService);
  current(target, aNow);
  double allowed = mLimits.ratio * target.requests + mLimits.slack / std::max(1, mSharers);
  return kSafety * allowed - target.repeats;
}

bool RetryLedger::tryRetry(std::string_view aService, base::TimePoint aNow)
{
  if (remaining(aService, aNow) < 1) {
    return false;
  }
  Account& target = account(aService);
  ++current(target, aNow).repeats;
  ++target.repeats;
  return true;
}

} // namespace boragepitch::serving
