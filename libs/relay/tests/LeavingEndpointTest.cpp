#define BOOST_TEST_MODULE relay_leaving_endpoint
#include <boost/test/unit_test.hpp>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

std::string leavingAnswer(const std::string& aRequest)
{
  std::string text = answer(idOf(aRequest), "body");
  return text.insert(text.find("Signed"), "Leaving: 1\r\n");
}

std::string leavingRejection(const std::string&)
{
  return "HTTP/1.1 503 X\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against requests to an endpoint whose answers announced its leave, while the list of
// endpoints is stale or unavailable.
BOOST_FIXTURE_TEST_CASE(sendsNothingAfterAnAnnouncedLeave, Fixture)
{
  FakeEndpoint leaving(leavingAnswer);
  declare(serving::CallKind::Idempotent);
  list("leaving", leaving.address());
  BOOST_TEST(call(get("1")).ends_with("body"));
  for (const std::string& text : callTimes(5)) {
    BOOST_TEST(text.starts_with("HTTP/1.1 503"));
  }
  BOOST_TEST(leaving.requests().size() == 1U);

  FakeEndpoint staying(
    [](const std::string& aRequest) { return answer(idOf(aRequest), "staying"); });
  list("staying", staying.address());
  for (const std::string& text : callTimes(5)) {
    BOOST_TEST(text.ends_with("staying"));
  }
}

// Guards against an announced leave that is noticed only in successful answers.
BOOST_FIXTURE_TEST_CASE(noticesAnAnnouncedLeaveInARejection, Fixture)
{
  FakeEndpoint leaving(leavingRejection);
  declare(serving::CallKind::Mutating);
  list("leaving", leaving.address());
  for (const std::string& text : callTimes(3)) {
    BOOST_TEST(text.starts_with("HTTP/1.1 503"));
  }
  BOOST_TEST(leaving.requests().size() == 1U);
}

// Guards against an announced leave that is missed in a late answer to another request.
BOOST_FIXTURE_TEST_CASE(noticesAnAnnouncedLeaveInALateAnswer, Fixture)
{
  FakeEndpoint leaving([](const std::string& aRequest) {
    std::string late = answer("other", "late");
    return late.insert(late.find("Signed"), "Leaving: 1\r\n") + answer(idOf(aRequest), "body");
  });
  declare(serving::CallKind::Idempotent, 1);
  list("leaving", leaving.address());
  BOOST_TEST(call(get("1")).ends_with("body"));
  BOOST_TEST(call(get("2")).starts_with("HTTP/1.1 503"));
}

// Guards against a stale row that revokes an announced leave; only a restart may do so.
BOOST_FIXTURE_TEST_CASE(announcedLeaveHoldsUntilTheEndpointRestarts, Fixture)
{
  std::atomic<bool> restarted{ false };
  FakeEndpoint endpoint([&](const std::string& aRequest) {
    return restarted ? answer(idOf(aRequest), "again") : leavingAnswer(aRequest);
  });
  declare(serving::CallKind::Idempotent);
  list("e", endpoint.address());
  BOOST_TEST(call(get("1")).ends_with("body"));
  list("e", endpoint.address());
  BOOST_TEST(call(get("2")).starts_with("HTTP/1.1 503"));
  unlist("e");
  list("e", endpoint.address());
  BOOST_TEST(call(get("3")).starts_with("HTTP/1.1 503"));
  restarted = true;
  list("e", endpoint.address(), 2);
  BOOST_TEST(call(get("4")).ends_with("again"));
}
