#include "stores/CopyOrder.h"

#include <algorithm>
#include <tuple>

namespace boragepitch::stores {

namespace {
/** Processes that take copies from one other. More wait longer for its link; fewer make the tree
 * deeper, and each level waits for the whole copy. */
constexpr size_t kFanOut = 5;
/** Time for which a process that gave no copy is not asked, doubling up to the longest one. Asking
 * one that is still slow or gone delays a change; leaving out one that is well again costs a second
 * copy from the service. */
constexpr base::Milliseconds kFirstAvoidTime{ 30000 };
constexpr base::Milliseconds kMaxAvoidTime{ 240000 };

/** Whether a process passes copies on before another one does: those with more bandwidth first. */
bool comesBefore(const CopyHolder& aLeft, const CopyHolder& aRight)
{
  return std::tuple(-aLeft.bandwidth, aLeft.name) < std::tuple(-aRight.bandwidth, aRight.name);
}
} // namespace

CopyOrder::CopyOrder(CopyHolder aSelf)
  : mSelf(std::move(aSelf))
{
}

void CopyOrder::setHolders(std::vector<CopyHolder> aHolders)
{
  std::erase_if(aHolders,
                [this](const CopyHolder& aHolder) { return !comesBefore(aHolder, mSelf); });
  std::sort(aHolders.begin(), aHolders.end(), comesBefore);
  mBefore = std::move(aHolders);
  std::erase_if(mFailures, [this](const auto& aFailure) {
    return std::none_of(mBefore.begin(), mBefore.end(), [&](const CopyHolder& aHolder) {
      return aHolder.name == aFailure.first;
    });
  });
}

std::optional<CopyHolder> CopyOrder::source(base::TimePoint aNow) const
{
  std::vector<const CopyHolder*> usable;
  for (const CopyHolder& holder : mBefore) {
    auto failure = mFailures.find(holder.name);
    if (failure == mFailures.end() || failure->second.avoidUntil <= aNow) {
      usable.push_back(&holder);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return *usable[(usable.size() - 1) / kFanOut];
}

void CopyOrder::failed(const std::string& aName, base::TimePoint aNow)
{
  Failure& failure = mFailures[aName];
  failure.avoidTime = std::clamp<base::Duration>(
    2 * failure.avoidTime, base::Duration(kFirstAvoidTime), base::Duration(kMaxAvoidTime));
  failure.avoidUntil = aNow + failure.avoidTime;
}

void CopyOrder::succeeded(const std::string& aName)
{
  mFailures.erase(aName);
}

} // namespace boragepitch::stores
