#define BOOST_TEST_MODULE relay_silent_source
#include <boost/test/unit_test.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "ResumeFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** Longer than the timeout for the next event (1000 ms) and for the first one (1200 ms). */
constexpr base::Milliseconds kSilence = 1500ms;
constexpr base::Milliseconds kLongSilence = 2800ms;
constexpr base::Milliseconds kTimeout = 5000ms;

std::string silence(base::Milliseconds aTime)
{
  std::string pauses;
  for (base::Milliseconds waited{ 0 }; waited < aTime; waited += 30ms) {
    pauses += kPause;
  }
  return pauses;
}

/** A stream of three events whose endpoint is silent after the first one. */
std::string silentStream(const std::string& aId, base::Milliseconds aSilence = kSilence)
{
  return streamHead(aId) + chunk(event(1)) + silence(aSilence) + chunk(event(2)) + chunk(event(3)) +
         std::string(kLastChunk);
}

/** Ways in which a continuation does not deliver. */
const std::vector<std::pair<std::string, ResumeFixture::Step>> kFailures = {
  { "500", [](const std::string& aId) { return answer(aId, "no such thing", 500); } },
  { "503", [](const std::string& aId) { return answer(aId, "no such thing", 503); } },
  { "504", [](const std::string& aId) { return answer(aId, "no such thing", 504); } },
  { "404", [](const std::string& aId) { return answer(aId, "no such thing", 404); } },
  { "rejected", [](const std::string& aId) { return rejection(aId, 503); } },
  { "closed", [](const std::string&) { return std::string("CLOSE"); } },
  { "broken off", [](const std::string& aId) { return streamHead(aId) + "<pause>CLOSE"; } },
  { "not a stream", [](const std::string& aId) { return answer(aId, "no such thing"); } },
  { "other status line",
    [](const std::string& aId) {
      return "HTTP/1.1 000 X\r\nId: " + aId + "\r\nContent-Length: 0\r\n\r\n";
    } },
  { "no events", [](const std::string& aId) { return streamHead(aId) + "0\r\n\r\n"; } },
  { "old events",
    [](const std::string& aId) { return streamHead(aId) + chunk(event(1)) + "0\r\n\r\n"; } },
  { "event without id",
    [](const std::string& aId) {
      return streamHead(aId) + chunk("data: no such thing\n\n") + "0\r\n\r\n";
    } },
  { "event missing",
    [](const std::string& aId) { return streamHead(aId) + chunk(event(3)) + "0\r\n\r\n"; } },
  { "silent", [](const std::string& aId) { return streamHead(aId) + silence(kLongSilence); } },
  { "silent without a head", [](const std::string&) { return silence(kLongSilence); } },
};

void checkIsWhole(const std::string& aText)
{
  BOOST_TEST(dataOf(aText) == "t1 t2 t3 ");
  BOOST_TEST(headCount(aText) == 1U);
  BOOST_TEST(aText.ends_with(kLastChunk));
}

struct SilentFixture : ResumeFixture
{
  int inFlight() { return static_cast<int>(metrics.gauge("bp_relay_in_flight", "").value()); }
};

} // namespace

// Guards against a stream that is cut because the endpoint that was to continue it fails, although
// its first endpoint goes on (LOST).
BOOST_DATA_TEST_CASE_F(SilentFixture,
                       streamGoesOnAfterAFailedContinuation,
                       boost::unit_test::data::xrange(kFailures.size()),
                       index)
{
  BOOST_TEST_CONTEXT("continuation: " << kFailures[index].first)
  {
    play({ [](const std::string& aId) { return silentStream(aId); }, kFailures[index].second },
         kTimeout);
    checkIsWhole(stream());
    BOOST_TEST(sends == 2U);
  }
}

// Guards against an answer that is lost because the second copy fails, although the first one is
// answered late.
BOOST_FIXTURE_TEST_CASE(answerOfTheFirstCopyIsTakenAfterAFailedRetry, SilentFixture)
{
  play({ [](const std::string& aId) {
          std::this_thread::sleep_for(kSilence);
          return answer(aId, "late");
        },
         [](const std::string& aId) { return answer(aId, "no such thing", 500); } },
       kTimeout,
       serving::CallKind::Idempotent);
  std::string text = call(get("1"));
  BOOST_TEST(text.starts_with("HTTP/1.1 200"));
  BOOST_TEST(text.ends_with("late"));
  BOOST_TEST(sends == 2U);
}

// Guards against a stream that is lost before its first event because the second copy fails.
BOOST_FIXTURE_TEST_CASE(streamBeginsLateAfterAFailedRetry, SilentFixture)
{
  play({ [](const std::string& aId) {
          return silence(kSilence) + streamHead(aId) + chunk(event(1)) + chunk(event(2)) +
                 chunk(event(3)) + std::string(kLastChunk);
        },
         [](const std::string&) { return std::string("CLOSE"); } },
       kTimeout);
  checkIsWhole(stream());
  BOOST_TEST(sends == 2U);
}

// Guards against a refusal that did not run the request and still uses an attempt.
BOOST_FIXTURE_TEST_CASE(rejectionUsesNoAttempt, SilentFixture)
{
  play({ [](const std::string& aId) { return silentStream(aId, kLongSilence); },
         [](const std::string& aId) { return rejection(aId, 503); },
         [](const std::string& aId) {
           return streamHead(aId) + chunk(event(2)) + chunk(event(3)) + std::string(kLastChunk);
         } },
       kTimeout,
       serving::CallKind::Streaming,
       2);
  checkIsWhole(stream());
  BOOST_TEST(sends == 3U);
}

// Guards against more runs than the route allows while the first endpoint is kept.
BOOST_FIXTURE_TEST_CASE(keptSourcesCountAsAttempts, SilentFixture)
{
  play({ [](const std::string& aId) { return silentStream(aId, kLongSilence); },
         [](const std::string& aId) { return answer(aId, "no such thing", 500); },
         [](const std::string& aId) { return answer(aId, "no such thing", 500); } },
       kTimeout,
       serving::CallKind::Streaming,
       2);
  checkIsWhole(stream());
  BOOST_TEST(sends == 2U);
}

// Guards against a stream that waits for the first endpoint although the second one delivers, and
// against events of the first one behind those of the second (ORDER).
BOOST_FIXTURE_TEST_CASE(continuationThatDeliversTakesTheStream, SilentFixture)
{
  play({ [](const std::string& aId) { return silentStream(aId); },
         [](const std::string& aId) {
           return streamHead(aId) + chunk(event(2)) + silence(800ms) + chunk(event(3)) +
                  std::string(kLastChunk);
         } },
       kTimeout);
  checkIsWhole(stream());
  BOOST_TEST(sends == 2U);
}

// Guards against events that are passed on twice because a late continuation is not dropped when
// the first endpoint goes on (ORDER).
BOOST_FIXTURE_TEST_CASE(lateContinuationIsDropped, SilentFixture)
{
  play({ [](const std::string& aId) {
          return streamHead(aId) + chunk(event(1)) + silence(1300ms) + chunk(event(2)) +
                 silence(600ms) + chunk(event(3)) + std::string(kLastChunk);
        },
         [](const std::string& aId) {
           return streamHead(aId) + silence(500ms) + chunk(event(2)) + chunk(event(3)) +
                  std::string(kLastChunk);
         } },
       kTimeout);
  checkIsWhole(stream());
}

// Guards against a stream that ends with its first endpoint although the continuation, which was
// asked for before, delivers.
BOOST_FIXTURE_TEST_CASE(continuationOutlivesTheFirstEndpoint, SilentFixture)
{
  play({ [](const std::string& aId) {
          return streamHead(aId) + chunk(event(1)) + silence(1200ms) + "CLOSE";
        },
         [](const std::string& aId) {
           return streamHead(aId) + silence(600ms) + chunk(event(2)) + chunk(event(3)) +
                  std::string(kLastChunk);
         } },
       kTimeout);
  checkIsWhole(stream());
  BOOST_TEST(sends == 2U);
}

// Guards against a third endpoint that is not asked while two are silent.
BOOST_FIXTURE_TEST_CASE(thirdEndpointContinuesWhileTwoAreSilent, SilentFixture)
{
  play({ [](const std::string& aId) { return silentStream(aId, 4000ms); },
         [](const std::string& aId) { return streamHead(aId) + silence(4000ms); },
         [](const std::string& aId) {
           return streamHead(aId) + chunk(event(2)) + chunk(event(3)) + std::string(kLastChunk);
         } },
       kTimeout);
  checkIsWhole(stream());
  BOOST_TEST(sends == 3U);
}

// Guards against a second run of a request that may run only once (TWICE).
BOOST_FIXTURE_TEST_CASE(silentRequestThatMayRunOnceIsNotSentAgain, SilentFixture)
{
  auto late = [](const std::string& aId) {
    std::this_thread::sleep_for(kSilence);
    return answer(aId, "late");
  };
  play({ late, late }, kTimeout, serving::CallKind::Mutating);
  BOOST_TEST(call(get("1")).ends_with("late"));
  BOOST_TEST(sends == 1U);
}

// Guards against sources that are kept, or crash the relay, after their caller has left (GONE).
BOOST_FIXTURE_TEST_CASE(callerLeavesWhileTwoSourcesAreSilent, SilentFixture)
{
  play({ [](const std::string& aId) { return silentStream(aId, kLongSilence); },
         [](const std::string& aId) { return streamHead(aId) + silence(kLongSilence); } },
       kTimeout);
  int socket = connectTo(callers);
  sendAll(socket, get("1"));
  std::this_thread::sleep_for(kSilence);
  BOOST_TEST(sends == 2U);
  ::close(socket);
  std::this_thread::sleep_for(200ms);
  BOOST_TEST(inFlight() == 0);
  std::this_thread::sleep_for(kSilence);
}

// Guards against sources that outlive the caller's time.
BOOST_FIXTURE_TEST_CASE(deadlineEndsAllSources, SilentFixture)
{
  play({ [](const std::string& aId) { return silentStream(aId, kLongSilence); },
         [](const std::string& aId) { return streamHead(aId) + silence(kLongSilence); } },
       2000ms);
  std::string text = stream();
  BOOST_TEST(dataOf(text) == "t1 ");
  BOOST_TEST(!text.ends_with(kLastChunk));
  std::this_thread::sleep_for(200ms);
  BOOST_TEST(inFlight() == 0);
}
