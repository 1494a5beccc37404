#define BOOST_TEST_MODULE relay_late_request
#include <boost/test/unit_test.hpp>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** A relay that stops within a second. */
struct StopFixture : Fixture
{
  StopFixture()
    : Fixture(100, 1000ms)
  {
  }

  void stop(base::Duration aWait)
  {
    relay->startLeaving(std::chrono::steady_clock::now());
    std::this_thread::sleep_for(aWait);
  }

  /** Lists an endpoint whose answers take some time. */
  void listSlow(base::Milliseconds aWork)
  {
    endpoint = std::make_unique<FakeEndpoint>([aWork](const std::string& aRequest) {
      std::this_thread::sleep_for(aWork);
      return answer(idOf(aRequest), "body");
    });
    list("e", endpoint->address());
    while (!call(get("warm")).starts_with("HTTP/1.1 200")) {
      std::this_thread::sleep_for(5ms);
    }
    requestsBefore = endpoint->requests().size();
  }

  /** Lists an endpoint without a request to it. */
  void listUnmeasured(FakeEndpoint::Script aScript)
  {
    endpoint = std::make_unique<FakeEndpoint>(std::move(aScript));
    list("e", endpoint->address());
    std::this_thread::sleep_for(50ms);
  }

  /** The answer to a request that is read after the first ticks of the stop, while connections are
   * still accepted. */
  std::string callAfterTicksOfTheStop()
  {
    int socket = connectTo(callers);
    std::string text = get("late");
    sendAll(socket, text.substr(0, text.size() - 2));
    std::this_thread::sleep_for(30ms);
    stop(70ms);
    sendAll(socket, text.substr(text.size() - 2));
    std::string reply = readMessage(socket);
    ::close(socket);
    return reply;
  }

  size_t newRequests() { return endpoint->requests().size() - requestsBefore; }

  std::unique_ptr<FakeEndpoint> endpoint;
  size_t requestsBefore = 0;
};

} // namespace

// Guards against a request that arrives late in the grace, is sent on and cut without an answer
// (LOST).
BOOST_FIXTURE_TEST_CASE(aRequestReadTooLateIsRefused, StopFixture)
{
  declare(serving::CallKind::Mutating, 2, 2000ms);
  listSlow(600ms);
  int socket = connectTo(callers);
  std::string text = get("late");
  sendAll(socket, text.substr(0, text.size() - 2));
  std::this_thread::sleep_for(50ms);
  stop(850ms);
  sendAll(socket, text.substr(text.size() - 2));
  std::string reply = readMessage(socket);
  ::close(socket);
  BOOST_TEST(reply.starts_with("HTTP/1.1 503"));
  BOOST_TEST(reply.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(reply.find("Connection: close") != std::string::npos);
  BOOST_TEST(newRequests() == 0U);
}

// Guards against a request on a new connection during the stop that takes longer than what is left.
BOOST_FIXTURE_TEST_CASE(aLongRequestDuringTheStopIsRefused, StopFixture)
{
  declare(serving::CallKind::Idempotent, 2, 2000ms);
  listSlow(1500ms);
  stop(50ms);
  BOOST_TEST(call(get("late")).starts_with("HTTP/1.1 503"));
  BOOST_TEST(newRequests() == 0U);
}

// Guards against a request in flight that is cut without an answer at the end of the grace.
BOOST_FIXTURE_TEST_CASE(aRequestInFlightIsAnsweredBeforeTheEnd, StopFixture)
{
  declare(serving::CallKind::Mutating, 2, 3000ms);
  listSlow(1500ms);
  std::string reply;
  std::thread caller([&] { reply = call(get("early")); });
  std::this_thread::sleep_for(50ms);
  stop(0ms);
  caller.join();
  BOOST_TEST(reply.starts_with("HTTP/1.1 504"));
  BOOST_TEST(newRequests() == 1U);
}

// Guards against refusals of requests that can be answered before the end.
BOOST_FIXTURE_TEST_CASE(aShortRequestDuringTheStopIsServed, StopFixture)
{
  declare(serving::CallKind::Mutating, 2, 500ms);
  listSlow(20ms);
  stop(50ms);
  BOOST_TEST(call(get("late")).ends_with("body"));
}

// Guards against endpoints that break an answer off before the stop does, because they were told
// that the caller waits no longer (LOST).
BOOST_FIXTURE_TEST_CASE(endpointsAreToldTheTimeOfTheCaller, StopFixture)
{
  declare(serving::CallKind::Idempotent, 2, 3000ms);
  listSlow(20ms);
  stop(50ms);
  BOOST_TEST(call(get("late")).ends_with("body"));
  BOOST_REQUIRE(newRequests() == 1U);
  std::string request = endpoint->requests().back();
  size_t at = request.find("Time-Left: ");
  BOOST_REQUIRE(at != std::string::npos);
  BOOST_TEST(std::stoi(request.substr(at + 11)) > 2500);
}

// Guards against a stop that begins when a busy event loop learns of it, and ends after the process
// was killed, with requests in progress (LOST).
BOOST_FIXTURE_TEST_CASE(theStopCountsFromTheSignal, StopFixture)
{
  declare(serving::CallKind::Mutating, 2, 3000ms);
  listSlow(1500ms);
  std::string reply;
  std::thread caller([&] { reply = call(get("early")); });
  std::this_thread::sleep_for(50ms);
  auto start = std::chrono::steady_clock::now();
  relay->startLeaving(start - 700ms);
  caller.join();
  thread.join();
  BOOST_TEST(reply.starts_with("HTTP/1.1 504"));
  BOOST_TEST((std::chrono::steady_clock::now() - start < 700ms));
}

// Guards against a request in progress that passes for the measured duration of an answer: longer
// requests are admitted and cut at the end (LOST).
BOOST_FIXTURE_TEST_CASE(anUnfinishedRequestDoesNotMeasureADuration, StopFixture)
{
  declare(serving::CallKind::Idempotent, 2, 2000ms);
  listUnmeasured([](const std::string& aRequest) {
    std::this_thread::sleep_for(1500ms);
    return answer(idOf(aRequest), "body");
  });
  std::string reply;
  std::thread early([&] { reply = call(get("early")); });
  while (newRequests() == 0) {
    std::this_thread::sleep_for(5ms);
  }
  BOOST_TEST(callAfterTicksOfTheStop().starts_with("HTTP/1.1 503"));
  early.join();
  BOOST_TEST(newRequests() == 1U);
}

// Guards against an endpoint's quick error that passes for the measured duration of an answer.
BOOST_FIXTURE_TEST_CASE(anErrorDoesNotMeasureADuration, StopFixture)
{
  declare(serving::CallKind::Idempotent, 2, 2000ms);
  listUnmeasured([](const std::string& aRequest) {
    if (idOf(aRequest) == "early") {
      return answer("early", "", 404);
    }
    std::this_thread::sleep_for(1500ms);
    return answer(idOf(aRequest), "body");
  });
  BOOST_TEST(call(get("early")).starts_with("HTTP/1.1 404"));
  BOOST_TEST(callAfterTicksOfTheStop().starts_with("HTTP/1.1 503"));
  BOOST_TEST(newRequests() == 1U);
}

// Guards against an answer that has arrived while the event loop was stalled, and is given up
// before all of it is read because the deadline passed meanwhile.
BOOST_FIXTURE_TEST_CASE(anAnswerThatArrivedBeforeTheDeadlineIsDelivered, StopFixture)
{
  declare(serving::CallKind::Mutating, 2, 1000ms);
  const std::string body(200'000, 'b'); // Takes the relay several reads.
  listUnmeasured([&](const std::string& aRequest) {
    std::this_thread::sleep_for(idOf(aRequest) == "early" ? 600ms : 0ms);
    return answer(idOf(aRequest), body);
  });
  std::string reply;
  std::thread early([&] { reply = call(get("early")); });
  while (newRequests() == 0) {
    std::this_thread::sleep_for(5ms);
  }
  std::this_thread::sleep_for(300ms);
  call(get("stall", "Stall-Ms: 900\r\n"));
  early.join();
  BOOST_TEST(reply.starts_with("HTTP/1.1 200"));
  BOOST_TEST(reply.ends_with(body));
}
