#include "serving/RetryAdvice.h"

namespace boragepitch::serving {

namespace {
constexpr base::Milliseconds kFull{ 120 };
constexpr base::Milliseconds kFullSpread{ 120 };
constexpr base::Milliseconds kMissing{ 1000 };
} // namespace

base::Milliseconds retryAfterFull(base::Rng& aRng)
{
  return kFull + base::Milliseconds(base::uniformBelow<int64_t>(aRng, kFullSpread.count()));
}

base::Milliseconds retryAfterMissing()
{
  return kMissing;
}

} // namespace boragepitch::serving
