#define BOOST_TEST_MODULE relay_endpoint_pause
#include <boost/test/unit_test.hpp>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

std::string rejection(const std::string& aRetryAfter)
{
  return "HTTP/1.1 503 X\r\nNot-Run: 1\r\nPause: " + aRetryAfter + "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against requests to an endpoint during the pause that it asked for.
BOOST_FIXTURE_TEST_CASE(sendsNothingDuringARequestedPause, Fixture)
{
  std::atomic<bool> recovered{ false };
  FakeEndpoint endpoint([&](const std::string& aRequest) {
    return recovered ? answer(idOf(aRequest), "body") : rejection("900");
  });
  declare(serving::CallKind::Idempotent);
  list("e", endpoint.address());
  BOOST_TEST(call(get("1")).starts_with("HTTP/1.1 503"));
  recovered = true;
  auto start = std::chrono::steady_clock::now();
  size_t early = endpoint.requests().size();
  while (std::chrono::steady_clock::now() - start < 800ms) {
    BOOST_TEST(call(get("2")).starts_with("HTTP/1.1 503"));
    std::this_thread::sleep_for(50ms);
  }
  BOOST_TEST(endpoint.requests().size() == early);
  std::this_thread::sleep_until(start + 950ms);
  BOOST_TEST(call(get("3")).ends_with("body"));
}

// Guards against a pause that is lost when the endpoint's row lapses and is written again.
BOOST_FIXTURE_TEST_CASE(keepsThePauseWhileTheListChanges, Fixture)
{
  FakeEndpoint endpoint([](const std::string&) { return rejection("5000"); });
  declare(serving::CallKind::Idempotent);
  list("e", endpoint.address());
  BOOST_TEST(call(get("1")).starts_with("HTTP/1.1 503"));
  unlist("e");
  list("e", endpoint.address());
  BOOST_TEST(call(get("2")).starts_with("HTTP/1.1 503"));
  BOOST_TEST(endpoint.requests().size() == 1U);
}

// Guards against a Retry-After that ends before any endpoint takes requests again.
BOOST_FIXTURE_TEST_CASE(retryAfterCoversTheFirstPause, Fixture)
{
  FakeEndpoint endpoint([](const std::string&) { return rejection("1500"); });
  declare(serving::CallKind::Idempotent);
  list("e", endpoint.address());
  static_cast<void>(call(get("1")));
  std::string text = call(get("2"));
  size_t at = text.find("Retry-After: ");
  BOOST_REQUIRE(at != std::string::npos);
  double seconds = std::stod(text.substr(at + 13));
  BOOST_TEST(seconds > 1.0);
  BOOST_TEST(seconds < 2.0);
}
