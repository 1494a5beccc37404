#include "routing/FairShare.h"

#include <algorithm>

namespace boragepitch::routing {

FairShare::FairShare(base::Duration aIdleTimeout)
  : mIdleTimeout(aIdleTimeout)
{
}

void FairShare::evictIdle(base::TimePoint aNow)
{
  for (auto it = mUsage.begin(); it != mUsage.end();) {
    if (it->second.inFlight == 0 && aNow - it->second.lastSeen > mIdleTimeout) {
      mTotalWeight -= it->second.weight;
      it = mUsage.erase(it);
    } else {
      ++it;
    }
  }
  // Reset when empty, so that rounding errors do not accumulate.
  mTotalWeight = mUsage.empty() ? 0 : mTotalWeight;
}

bool FairShare::tryStart(std::string_view aWorkspace,
                         WorkspaceWeight aWeight,
                         int aLimit,
                         base::TimePoint aNow)
{
  evictIdle(aNow);
  double weight = static_cast<double>(std::max(1, aWeight.share)) * std::max(1, aWeight.worth);
  auto [found, inserted] = mUsage.try_emplace(std::string(aWorkspace));
  Usage& usage = found->second;
  mTotalWeight += inserted ? weight : weight - usage.weight;
  usage.weight = weight;
  usage.lastSeen = aNow;
  if (mInFlight >= aLimit && usage.inFlight >= guaranteedRequests(aWorkspace, aLimit)) {
    return false;
  }
  ++usage.inFlight;
  ++mInFlight;
  return true;
}

void FairShare::finish(std::string_view aWorkspace, base::TimePoint aNow)
{
  auto found = mUsage.find(aWorkspace);
  if (found == mUsage.end() || found->second.inFlight == 0) {
    return;
  }
  --found->second.inFlight;
  found->second.lastSeen = aNow;
  --mInFlight;
}

int FairShare::inFlight(std::string_view aWorkspace) const
{
  auto found = mUsage.find(aWorkspace);
  return found == mUsage.end() ? 0 : found->second.inFlight;
}

int FairShare::guaranteedRequests(std::string_view aWorkspace, int aLimit) const
{
  auto found = mUsage.find(aWorkspace);
  if (found == mUsage.end() || mTotalWeight <= 0) {
    return 1;
  }
  return std::max(1, static_cast<int>(aLimit * found->second.weight / mTotalWeight));
}

} // namespace boragepitch::routing
