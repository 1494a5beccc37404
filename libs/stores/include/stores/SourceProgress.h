#pragma once

#include <cstdint>

#include "base/Time.h"

namespace boragepitch::stores {

/**
 * Judges by the bytes that another process has received whether it is about to have a copy. Not
 * thread-safe.
 */
class SourceProgress
{
public:
  /** @param aAnnouncedBytes size of the change that the process should receive; 0 if unknown. */
  SourceProgress(uint64_t aAnnouncedBytes, base::TimePoint aNow);

  /** Takes the count that the process reports; returns by how much it has grown. */
  uint64_t observe(uint64_t aReceived, base::TimePoint aNow);
  /** Whether the process receives too little. */
  bool hasStalled(base::TimePoint aNow) const;
  /** Whether the process receives again and again what it does not get whole. */
  bool isInVain() const;

private:
  const uint64_t mAnnouncedBytes;
  base::TimePoint mProgressAt;
  bool mHasReport = false;
  uint64_t mReceived = 0; ///< In the latest report.
  uint64_t mGained = 0;
  uint64_t mGainedAtProgress = 0;
};

} // namespace boragepitch::stores
