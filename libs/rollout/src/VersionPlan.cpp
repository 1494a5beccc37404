#include "rollout/VersionPlan.h"

#include <algorithm>

#include "rollout/SwitchCore.h"

namespace boragepitch::rollout {

namespace {

/** The last VM holds a copy after this many times the time that its link needs for it. */
constexpr double kSpreadFactor = 1.5;
/** A newer version replaces an older one only when so much of it has arrived: before that nothing
 * shows that it does arrive. The origin may be away. */
constexpr double kMinArrivedShare = 0.9;
/** From this missing share on a version counts as one of which nothing has arrived. */
constexpr double kNothingArrivedShare = 0.95;
/** An engine may stay outdated for this long if it thereby skips an intermediate version: two
 * switches would take it out of service for about as long. */
constexpr base::Milliseconds kSkippedVersionGrace{ 2000 };
/** Time for which a switch takes an engine out of service: drain and load. */
constexpr base::Milliseconds kSwitchTime{ 1000 };

base::TimePoint completeAt(const PendingVersion& aVersion,
                           base::Duration aCopyTime,
                           base::TimePoint aNow)
{
  auto rest = std::chrono::duration<double>(aCopyTime) * (kSpreadFactor * aVersion.missingShare);
  return aNow + std::chrono::duration_cast<base::Duration>(rest);
}

base::Duration timeBetween(base::TimePoint aFrom, base::TimePoint aTo)
{
  return std::max(base::Duration(0), aTo - aFrom);
}

/** Whether the engine is without valid weights for longer if the older version is completed first:
 * that delays the newer one by as much. */
bool delaysService(const PendingVersion& aOlder,
                   const PendingVersion& aNewer,
                   base::Duration aCopyTime,
                   base::TimePoint aNow)
{
  auto validUntil = std::max(aOlder.requiredAt, aNow);
  auto olderAt = completeAt(aOlder, aCopyTime, aNow);
  auto newerAlone = timeBetween(validUntil, completeAt(aNewer, aCopyTime, aNow));
  auto both =
    timeBetween(validUntil, olderAt) +
    timeBetween(std::max(aNewer.requiredAt, olderAt), completeAt(aNewer, aCopyTime, olderAt)) +
    base::Duration(kSwitchTime);
  return both >= newerAlone;
}

/** Whether the older of two versions need not be completed. */
bool isReplaced(const PendingVersion& aOlder,
                const PendingVersion& aNewer,
                base::Duration aCopyTime,
                base::TimePoint aNow)
{
  if (!canStillServe(aNewer.requiredAt, completeAt(aOlder, aCopyTime, aNow))) {
    return true;
  }
  // Before that the engine serves what it has, and the newer version may fail to come.
  bool isLate = completeAt(aOlder, aCopyTime, aNow) > aOlder.requiredAt;
  if (isLate && delaysService(aOlder, aNewer, aCopyTime, aNow)) {
    return true;
  }
  // Without a chunk of the older one either, both depend on the origin alike.
  bool isArriving =
    1 - aNewer.missingShare >= kMinArrivedShare || aOlder.missingShare >= kNothingArrivedShare;
  return isArriving && aNewer.missingShare <= aOlder.missingShare &&
         completeAt(aNewer, aCopyTime, aNow) <=
           aOlder.requiredAt + base::Duration(kSkippedVersionGrace);
}

} // namespace

std::vector<uint64_t> fetchOrder(std::span<const PendingVersion> aPending,
                                 base::Duration aCopyTime,
                                 base::TimePoint aNow)
{
  std::vector<uint64_t> order;
  for (size_t i = 0; i < aPending.size(); ++i) {
    auto newer = aPending.subspan(i + 1);
    bool isNeeded = std::none_of(newer.begin(), newer.end(), [&](const PendingVersion& aNewer) {
      return isReplaced(aPending[i], aNewer, aCopyTime, aNow);
    });
    if (isNeeded) {
      order.push_back(aPending[i].version);
    }
  }
  return order;
}

} // namespace boragepitch::rollout
