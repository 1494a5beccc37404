#include "serving/RetryAdvice.h"

namespace boragepitch::serving {

namespace {
constexpr base::Milliseconds kMinDelayWhenFull{ 120 };
constexpr base::Milliseconds kFullJitter{ 120 };
constexpr base::Milliseconds kStopJitter{ 50 };
constexpr base::Milliseconds kDelayWhenMissing{ 1000 };
} // namespace

base::Milliseconds retryAfterFull(base::Rng& aRng)
{
  return kMinDelayWhenFull +
         base::Milliseconds(base::uniformBelow<int64_t>(aRng, kFullJitter.count()));
}

base::Milliseconds retryAfterStop(base::Rng& aRng)
{
  return base::Milliseconds(base::uniformBelow<int64_t>(aRng, kStopJitter.count()));
}

base::Milliseconds retryAfterMissing()
{
  return kDelayWhenMissing;
}

} // namespace boragepitch::serving
