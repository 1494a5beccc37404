#include "serving/PendingVersions.h"

namespace boragepitch::serving {

namespace {

/** Differences up to this come from the varying time that answers are in transit. */
constexpr base::Milliseconds kTransitJitter{ 20 };

base::Duration clockLeadOf(base::Milliseconds aServiceTime, base::TimePoint aNow)
{
  return base::Duration(aServiceTime) - aNow.time_since_epoch();
}

} // namespace

void PendingVersions::add(PendingVersion aVersion,
                          base::Milliseconds aServiceTime,
                          base::TimePoint aNow)
{
  mEntries.push_back({ std::move(aVersion), clockLeadOf(aServiceTime, aNow) });
}

std::vector<PendingVersion> PendingVersions::observe(base::Milliseconds aServiceTime,
                                                     base::TimePoint aNow)
{
  auto lead = clockLeadOf(aServiceTime, aNow);
  std::vector<PendingVersion> moved;
  for (Entry& entry : mEntries) {
    auto ahead = lead - entry.clockLead;
    if (ahead > kTransitJitter) {
      entry.version.enforceFrom -= ahead;
      entry.clockLead = lead;
      moved.push_back(entry.version);
    }
  }
  std::erase_if(mEntries, [&](const Entry& aEntry) { return aNow >= aEntry.version.enforceFrom; });
  return moved;
}

} // namespace boragepitch::serving
