#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/Time.h"

namespace boragepitch::serving {

/** A declared version of weights that will be enforced. */
struct DueVersion
{
  uint64_t version = 0;
  base::TimePoint at; ///< No request may begin on an older version later than that.
};

/**
 * The declared versions of one model's weights, and the time from which each is enforced. A newer
 * version does not delay the enforcement of an older one. Not thread-safe.
 */
class VersionSchedule
{
public:
  /** Adds a version, or moves its enforcement to an earlier time. Returns false when nothing
   * changed. */
  bool declare(uint64_t aVersion, base::TimePoint aEnforceFrom);
  /** The oldest version that a request may start on now; 0 for any. */
  uint64_t required(base::TimePoint aNow) const;
  /** The version that will be enforced next; empty when none will. */
  std::optional<DueVersion> next(base::TimePoint aNow) const;
  /** The newest declared version; 0 when there is none. */
  uint64_t newest() const;
  size_t size() const { return mEnforceFrom.size(); }

private:
  std::map<uint64_t, base::TimePoint> mEnforceFrom; ///< By version.
};

} // namespace boragepitch::serving
