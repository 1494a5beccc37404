#include "serving/SharedRetryBudget.h"

#include <algorithm>

namespace boragepitch::serving {

namespace {
/** Length of the slices that make up the sliding window. */
constexpr base::Milliseconds kSliceLength{ 500 };
} // namespace

SharedRetryBudget::SharedRetryBudget(RetryLimits aLimits)
  : mLimits(aLimits)
{
}

SharedRetryBudget::Window& SharedRetryBudget::windowOf(std::string_view aService)
{
  auto found = mWindows.find(aService);
  return found != mWindows.end() ? found->second : mWindows[std::string(aService)];
}

SharedRetryBudget::Slice& SharedRetryBudget::current(Window& aWindow, base::TimePoint aNow)
{
  while (!aWindow.slices.empty() &&
         aNow - aWindow.slices.front().since > mLimits.window + kSliceLength) {
    aWindow.requests -= aWindow.slices.front().requests;
    aWindow.retries -= aWindow.slices.front().retries;
    aWindow.slices.pop_front();
  }
  if (aWindow.slices.empty() || aNow - aWindow.slices.back().since >= kSliceLength) {
    aWindow.slices.push_back({ .since = aNow });
  }
  return aWindow.slices.back();
}

void SharedRetryBudget::recordRequest(std::string_view aService, base::TimePoint aNow)
{
  Window& counted = windowOf(aService);
  ++current(counted, aNow).requests;
  ++counted.requests;
}

double SharedRetryBudget::allowance(std::string_view aService, base::TimePoint aNow)
{
  Window& counted = windowOf(aService);
  current(counted, aNow);
  return kSafetyFactor *
         (mLimits.ratio * counted.requests + mLimits.slack / std::max(1, mProcessCount));
}

double SharedRetryBudget::remaining(std::string_view aService, base::TimePoint aNow)
{
  return allowance(aService, aNow) - windowOf(aService).retries;
}

bool SharedRetryBudget::tryRetry(std::string_view aService, base::TimePoint aNow)
{
  if (remaining(aService, aNow) < 1) {
    return false;
  }
  Window& counted = windowOf(aService);
  ++current(counted, aNow).retries;
  ++counted.retries;
  return true;
}

} // namespace boragepitch::serving
