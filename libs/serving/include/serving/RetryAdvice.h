#pragma once

#include "base/Rng.h"
#include "base/Time.h"

namespace boragepitch::serving {

/** Retry delay for a caller that was refused because all endpoints are full. It is short, since
 * some endpoint frees a slot every few milliseconds and the caller's latency target must stay in
 * reach. It has jitter, so that refused callers do not retry at the same moment. */
base::Milliseconds retryAfterFull(base::Rng& aRng);

/** Retry delay for a caller that was refused because this process stops: others may take the
 * request at once. It has jitter, since many callers are refused at the same moment. */
base::Milliseconds retryAfterStop(base::Rng& aRng);

/** Retry delay for a caller that was refused because no configuration or no endpoint is known;
 * changes of either take a second or more. */
base::Milliseconds retryAfterMissing();

} // namespace boragepitch::serving
