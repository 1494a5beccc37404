#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/Time.h"

namespace boragepitch::serving {

/** A version of a model's weights and the time from which it is enforced. */
struct PendingVersion
{
  std::string model;
  uint64_t version = 0;
  base::TimePoint enforceFrom;
};

/**
 * Versions that wait for their enforcement. The local steady clock stands still while the machine
 * is suspended, so each answer of a service that names its own clock is compared with it. Not
 * thread-safe.
 */
class PendingVersions
{
public:
  /** @param aServiceTime clock of the service in the answer that arrived at aNow. */
  void add(PendingVersion aVersion, base::Milliseconds aServiceTime, base::TimePoint aNow);
  /** Moves enforcements to earlier times by as much as the service's clock has run ahead of the
   * local one since they were added, and returns those that moved. */
  std::vector<PendingVersion> observe(base::Milliseconds aServiceTime, base::TimePoint aNow);

private:
  struct Entry
  {
    PendingVersion version;
    base::Duration clockLead; ///< Service's clock less the local one.
  };
  std::vector<Entry> mEntries;
};

} // namespace boragepitch::serving
