#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "base/Digest.h"
#include "base/Json.h"
#include "base/Limits.h"

using namespace boragepitch::base;
using namespace std::chrono_literals;

// Guards against a wrong digest, checked against the published test vector for "abc".
BOOST_AUTO_TEST_CASE(sha256MatchesTheStandardVector)
{
  const std::string expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  BOOST_TEST(toHex(sha256(asBytes("abc"))) == expected);
  Sha256 incremental;
  incremental.update(asBytes("a"));
  incremental.update(asBytes("bc"));
  BOOST_TEST(toHex(incremental.finish()) == expected);
}

// Guards against a hexadecimal digest that does not parse back to the same value.
RC_BOOST_PROP(hexDigestsRoundTrip, (const std::string& aText))
{
  Digest digest = sha256(asBytes(aText));
  RC_ASSERT(digestFromHex(toHex(digest)) == digest);
  RC_ASSERT(!digestFromHex(toHex(digest) + "0"));
}

// Guards against a bucket that lets more than rate * time + burst + one request through.
RC_BOOST_PROP(bucketNeverExceedsItsRate, (const std::vector<uint16_t>& aStepsMs))
{
  TimePoint start{ 1h };
  TimePoint now = start;
  TokenBucket bucket(1000, 100, now);
  double taken = 0;
  for (uint16_t step : aStepsMs) {
    now += std::chrono::milliseconds(step % 200);
    if (bucket.tryTake(50, now)) {
      taken += 50;
    }
  }
  double elapsed = std::chrono::duration<double>(now - start).count();
  RC_ASSERT(taken <= 1000 * elapsed + 100 + 50 + 1e-6);
}

// Guards against a wait that is too short, which would make the caller spin.
BOOST_AUTO_TEST_CASE(bucketWaitTimeIsLongEnough)
{
  TimePoint now{ 1h };
  TokenBucket bucket(1000, 10, now);
  bucket.takeAlways(510, now);
  BOOST_TEST(!bucket.tryTake(1, now));
  BOOST_TEST(bucket.tryTake(1, now + bucket.timeUntilAvailable(now)));
}

// Guards against backoff beyond its cap, and against overflow after many failures.
RC_BOOST_PROP(backoffStaysWithinItsCap, (uint32_t aSeed))
{
  Rng rng(aSeed);
  Backoff backoff(10ms, 5s);
  for (int i = 0; i < 100; ++i) {
    Duration delay = backoff.next(rng);
    RC_ASSERT(delay >= 0ms && delay <= 5s);
  }
}

// Guards against retries growing faster than first tries.
BOOST_AUTO_TEST_CASE(retryBudgetBoundsRetries)
{
  RetryBudget budget(0.1, 3);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.recordFirstTry();
    retries += budget.tryRetry() ? 1 : 0;
  }
  BOOST_TEST(retries <= 103);
  BOOST_TEST(retries >= 100);
}

// Guards against accepting duplicate keys, trailing text, deep nesting or oversized input.
BOOST_AUTO_TEST_CASE(jsonIsStrict)
{
  BOOST_TEST(parseJson(R"({"a":[1,"x"]})").has_value());
  BOOST_TEST(!parseJson(R"({"a":1,"a":2})"));
  BOOST_TEST(!parseJson("{} x"));
  BOOST_TEST(!parseJson(std::string(100, '[')));
  BOOST_TEST(!parseJson(std::string(1000, ' ') + "1", { .bytes = 100 }));
  BOOST_TEST(
    (parseJson(std::string(1000, ' '), { .bytes = 100 }).error().kind == ErrorKind::TooLarge));
}

// Guards against crashes on arbitrary input.
RC_BOOST_PROP(anyTextParsesOrFails, (const std::string& aText))
{
  auto value = parseJson(aText);
  RC_ASSERT(value.has_value() || !value.error().message.empty());
}
