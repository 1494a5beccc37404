#pragma once

#include "base/Time.h"
#include "settings/Settings.h"

namespace boragepitch::tools {

/** What the INI file of bp-router may contain. */
settings::Schema routerSchema();

/** Longest wait for a change in the store, so that a silent connection is replaced within the time
 * for which endpoints serve after they announced their leave. */
base::Milliseconds storeWait(base::Milliseconds aDrainTime);

/** Bytes that connections of callers and answers may hold at once in a process with this memory.
 * @param aSystemMemory memory of the machine in bytes, which bounds the setting; 0 if unknown. */
size_t heldBytes(double aMemoryMb, size_t aSystemMemory);

/** Connections of callers for which the descriptors suffice: each may need one to an endpoint. */
size_t callerConnections(int64_t aConnections, int64_t aDescriptors);

/** Converts a setting in seconds, which the platform may give with a fraction. */
base::Milliseconds milliseconds(double aSeconds);

/** Maximum duration of a graceful stop, which ends before the platform kills the process. */
base::Milliseconds leaveLimit(base::Milliseconds aGracePeriod);

/** How long a graceful stop goes on after its limit for the last answers. The rest of the grace
 * period is for the end of the process. */
base::Milliseconds leaveEndTime(base::Milliseconds aGracePeriod);

} // namespace boragepitch::tools
