#include "serving/LapseGuard.h"

#include <algorithm>

namespace boragepitch::serving {

LapseGuard::LapseGuard(base::Milliseconds aGrace)
  : mGrace(aGrace)
{
}

bool LapseGuard::gone(const std::string& aId, base::TimePoint aNow)
{
  if (!mRegainedAt || aNow - *mRegainedAt >= mGrace) {
    mHeld.erase(aId);
    return true;
  }
  mHeld.try_emplace(aId, *mRegainedAt + mGrace);
  return false;
}

std::optional<base::TimePoint> LapseGuard::nextDue() const
{
  std::optional<base::TimePoint> next;
  for (const auto& [id, at] : mHeld) {
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

std::vector<std::string> LapseGuard::due(base::TimePoint aNow)
{
  std::vector<std::string> ids;
  for (auto entry = mHeld.begin(); entry != mHeld.end();) {
    if (aNow < entry->second) {
      ++entry;
      continue;
    }
    ids.push_back(entry->first);
    entry = mHeld.erase(entry);
  }
  return ids;
}

} // namespace boragepitch::serving
