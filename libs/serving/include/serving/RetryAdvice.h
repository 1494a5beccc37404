#pragma once

#include "base/Rng.h"
#include "base/Time.h"

namespace boragepitch::serving {

/** When a caller that found all endpoints full is best back: a place frees every few milliseconds
 * over all of them, and its target must still be in reach. Spread, so that refused callers do not
 * return together. */
base::Milliseconds retryAfterFull(base::Rng& aRng);

/** ... and one that found nothing known or listed: changes take a second or more. */
base::Milliseconds retryAfterMissing();

} // namespace boragepitch::serving
