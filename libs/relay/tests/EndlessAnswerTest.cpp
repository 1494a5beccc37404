#define BOOST_TEST_MODULE relay_endless_answer
#include <boost/test/unit_test.hpp>

#include <fstream>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** Limit on memory growth; far below what an endless answer sends within the test. */
constexpr long kMaxGrowthMiB = 64;
/** Limit on the time to the answer. Far below the route's timeout, because an invalid answer must
 * be abandoned as soon as it is detected. */
constexpr base::Milliseconds kMaxAnswerTime = 1500ms;
constexpr base::Milliseconds kRouteTimeout = 4000ms;

long residentMiB()
{
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stol(line.substr(6)) / 1024;
    }
  }
  return 0;
}

/** Sends a head and then the same bytes repeatedly until the other side closes. Replaces "ID" in
 * the head by the request's id. */
struct EndlessEndpoint
{
  EndlessEndpoint(const std::string& aHead, const std::string& aRepeated)
    : endpoint([=](const std::string& aRequest) {
      std::string text = aHead;
      size_t at = text.find("ID");
      if (at != std::string::npos) {
        text.replace(at, 2, idOf(aRequest));
      }
      std::string block;
      while (block.size() < (1U << 16)) {
        block += aRepeated;
      }
      return text + std::string(kEndless) + block;
    })
  {
  }
  FakeEndpoint endpoint;
};

const std::string kSigned = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\n";

} // namespace

struct EndlessFixture : Fixture
{
  /** Checks a request to an endpoint that never stops sending. */
  void check(serving::CallKind aKind, const std::string& aHead, const std::string& aRepeated)
  {
    EndlessEndpoint endless(aHead, aRepeated);
    declare(aKind, 1, kRouteTimeout);
    list("e", endless.endpoint.address());
    long before = residentMiB();
    auto start = std::chrono::steady_clock::now();
    std::string text = call(get("1"));
    auto elapsed = std::chrono::steady_clock::now() - start;
    BOOST_TEST(!text.ends_with("\r\n0\r\n\r\n"));
    BOOST_TEST(!text.starts_with("HTTP/1.1 503"));
    BOOST_TEST((elapsed < kMaxAnswerTime), "took " << base::toMilliseconds(elapsed) << " ms");
    BOOST_TEST(residentMiB() - before < kMaxGrowthMiB);
  }
};

// Each case guards against an endless answer that uses up memory or holds a request until its
// timeout.
BOOST_FIXTURE_TEST_CASE(headWithoutEnd, EndlessFixture)
{
  check(serving::CallKind::Idempotent, "HTTP/1.1 200 OK\r\n", "A: b\r\n");
}

BOOST_FIXTURE_TEST_CASE(headerLineWithoutEnd, EndlessFixture)
{
  check(serving::CallKind::Idempotent, "HTTP/1.1 200 OK\r\nA: ", "a");
}

BOOST_FIXTURE_TEST_CASE(statusLineWithoutEnd, EndlessFixture)
{
  check(serving::CallKind::Idempotent, "HTTP/1.1 200 ", "a");
}

BOOST_FIXTURE_TEST_CASE(interimAnswersWithoutEnd, EndlessFixture)
{
  check(serving::CallKind::Idempotent, "", "HTTP/1.1 102 X\r\n\r\n");
}

BOOST_FIXTURE_TEST_CASE(answersToOtherRequestsWithoutEnd, EndlessFixture)
{
  check(serving::CallKind::Idempotent, "", answer("other", "late"));
}

BOOST_FIXTURE_TEST_CASE(answerToAnotherRequestWithoutEnd, EndlessFixture)
{
  check(serving::CallKind::Idempotent,
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999999\r\n\r\n",
        "a");
}

BOOST_FIXTURE_TEST_CASE(bodyWithoutEnd, EndlessFixture)
{
  check(serving::CallKind::Idempotent, kSigned + "\r\n", "a");
}

BOOST_FIXTURE_TEST_CASE(failureWithoutEnd, EndlessFixture)
{
  check(serving::CallKind::Idempotent,
        "HTTP/1.1 500 X\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n",
        chunk("aaaaaaaaaaaaaaaa"));
}

BOOST_FIXTURE_TEST_CASE(chunkHeaderWithoutEnd, EndlessFixture)
{
  check(serving::CallKind::Idempotent, kSigned + "Transfer-Encoding: chunked\r\n\r\n1;x=", "a");
}

BOOST_FIXTURE_TEST_CASE(trailerWithoutEnd, EndlessFixture)
{
  check(
    serving::CallKind::Idempotent, kSigned + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n");
}

BOOST_FIXTURE_TEST_CASE(eventWithoutEnd, EndlessFixture)
{
  check(serving::CallKind::Streaming,
        streamHead("ID") + chunk(event(1)),
        chunk("data: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n"));
}

BOOST_FIXTURE_TEST_CASE(repeatedEventsWithoutEnd, EndlessFixture)
{
  check(serving::CallKind::Streaming, streamHead("ID") + chunk(event(1)), chunk(event(1)));
}
