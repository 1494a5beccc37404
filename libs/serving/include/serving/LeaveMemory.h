#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/Time.h"
#include "serving/EndpointSet.h"

namespace boragepitch::serving {

/**
 * Remembers which endpoints have left, for lists that come back from an older copy and list them as
 * ready again. Leaves are kept for some minutes, longer than a copy is old. Not thread-safe.
 */
class LeaveMemory
{
public:
  /** What a row says about an endpoint whose leave may be younger than the row. */
  enum class Verdict
  {
    Valid,
    Draining,    ///< The endpoint announced its leave; the row does not know it.
    Unconfirmed, ///< The endpoint has been removed; only its own writing shows that it lives.
  };

  /** The endpoint's row says that it drains, or was removed.
   * @param aStartTimeMs as EndpointRecord::startTimeMs. */
  void recordDraining(const std::string& aId, uint64_t aStartTimeMs, base::TimePoint aNow);
  void recordRemoval(const std::string& aId, uint64_t aStartTimeMs, base::TimePoint aNow);
  /** The endpoint's row was written, as far as known by the endpoint itself. */
  void forget(const std::string& aId) { mLeaves.erase(aId); }
  /** Whether a leave of the endpoint is remembered. */
  bool remembers(const std::string& aId) const { return mLeaves.contains(aId); }
  /** The list came back from an older copy. */
  void listRestored(base::TimePoint aNow) { mRestoredAt = aNow; }
  /** Judges a row that was read with the whole list. */
  Verdict judge(const EndpointRecord& aRecord, base::TimePoint aNow) const;
  /** Time from which unconfirmed rows count: those of endpoints that are gone have lapsed by then.
   */
  base::TimePoint confirmedBy() const;

private:
  struct Leave
  {
    uint64_t startTimeMs = 0;
    bool isRemoved = false;
    base::TimePoint at;
  };
  void record(const std::string& aId, Leave aLeave);

  std::map<std::string, Leave> mLeaves; ///< By id of the endpoint.
  std::optional<base::TimePoint> mRestoredAt;
};

} // namespace boragepitch::serving
