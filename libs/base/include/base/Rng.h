#pragma once

#include <random>

namespace boragepitch::base {

/** Random number generator, passed to every function that needs one; seeded once per process or
 * test. */
using Rng = std::mt19937_64;

/** Uniform integer in [0, aBound); aBound must be positive. */
template<typename Int>
Int uniformBelow(Rng& aRng, Int aBound)
{
  return std::uniform_int_distribution<Int>(0, aBound - 1)(aRng);
}

} // namespace boragepitch::base
