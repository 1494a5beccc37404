#define BOOST_TEST_MODULE relay
#include <boost/test/unit_test.hpp>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

// Guards against changes to the path, query or body of a forwarded request.
BOOST_FIXTURE_TEST_CASE(passesRequestAndAnswerUnchanged, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) { return answer(idOf(aRequest), "body"); });
  declare(serving::CallKind::Idempotent);
  list("e", endpoint.address());
  std::string text = call(get("1"));
  BOOST_TEST(text.starts_with("HTTP/1.1 200"));
  BOOST_TEST(text.ends_with("\r\n\r\nbody"));
  BOOST_TEST(text.find("Signed: s") != std::string::npos);
  BOOST_TEST(endpoint.requests()[0].starts_with("GET /x/a%2Fb?q=1 HTTP/1.1\r\n"));
  BOOST_TEST(endpoint.requests()[0].find("Expect-Endpoint: e") != std::string::npos);
  std::string chunked = call("POST /x/p HTTP/1.1\r\nHost: a.example\r\nId: 2\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n");
  BOOST_TEST(chunked.starts_with("HTTP/1.1 200"));
  BOOST_TEST(endpoint.requests()[1].ends_with("Content-Length: 5\r\n\r\nabcde"));
}

// Guards against request smuggling, and against requests over the limits that reach an endpoint.
BOOST_FIXTURE_TEST_CASE(rejectsMalformedRequests, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) { return answer(idOf(aRequest), ""); });
  declare(serving::CallKind::Idempotent);
  list("e", endpoint.address());
  BOOST_TEST(call("POST /x/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
               .starts_with("HTTP/1.1 400"));
  BOOST_TEST(call("GET /x/ HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n")
               .starts_with("HTTP/1.1 400"));
  BOOST_TEST(
    call(get("1", "Long: " + std::string(4000, 'x') + "\r\n")).starts_with("HTTP/1.1 431"));
  BOOST_TEST(call("POST /x/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5000\r\n\r\n")
               .starts_with("HTTP/1.1 413"));
  BOOST_TEST(
    call("GET /y/ HTTP/1.1\r\nHost: a.example\r\nId: 1\r\n\r\n").starts_with("HTTP/1.1 404"));
  BOOST_TEST(endpoint.requests().empty());
}

// Without a configuration the routes and keys are unknown, so requests are refused with 503 instead
// of rejected with 404 or 401.
BOOST_FIXTURE_TEST_CASE(refusesUntilTheConfigurationIsKnown, Fixture)
{
  std::string text = call(get("1"));
  BOOST_TEST(text.starts_with("HTTP/1.1 503"));
  BOOST_TEST(text.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(call("GET /ready HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\n").starts_with("HTTP/1.1 503"));
}

// Guards against a key that is forwarded to an endpoint, and against a request with an unknown key
// that runs.
BOOST_FIXTURE_TEST_CASE(checksKeysAndDoesNotForwardThem, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) { return answer(idOf(aRequest), "ok"); });
  keys = true;
  declare(serving::CallKind::Idempotent);
  list("e", endpoint.address());
  BOOST_TEST(call(get("1", "Key: bad\r\n")).starts_with("HTTP/1.1 401"));
  BOOST_TEST(endpoint.requests().empty());
  BOOST_TEST(call(get("2", "Key: good\r\n")).starts_with("HTTP/1.1 200"));
  BOOST_TEST(endpoint.requests()[0].find("good") == std::string::npos);
}

// Guards against a mutating request that is sent again after its answer was lost, or that is
// answered with a status which promises that it did not run.
BOOST_FIXTURE_TEST_CASE(mutatingRequestIsSentOnce, Fixture)
{
  FakeEndpoint first([](const std::string&) { return "CLOSE"; });
  FakeEndpoint second([](const std::string&) { return "CLOSE"; });
  declare(serving::CallKind::Mutating, 3);
  list("a", first.address());
  list("b", second.address());
  std::string text = call("POST /x/p HTTP/1.1\r\nHost: a.example\r\nId: 1\r\n"
                          "Content-Length: 2\r\n\r\nab");
  BOOST_TEST(text.starts_with("HTTP/1.1 502"));
  BOOST_TEST(first.requests().size() + second.requests().size() == 1U);
}

// A mutating request may be sent again after an endpoint stated that it did not run it.
BOOST_FIXTURE_TEST_CASE(retriesAMutatingRequestThatDidNotRun, Fixture)
{
  std::atomic<int> runs{ 0 };
  auto script = [&](const std::string& aRequest) {
    return runs++ == 0 ? std::string("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
                       : answer(idOf(aRequest), "booked");
  };
  FakeEndpoint first(script);
  FakeEndpoint second(script);
  declare(serving::CallKind::Mutating, 2);
  list("a", first.address());
  list("b", second.address());
  BOOST_TEST(call("POST /x/p HTTP/1.1\r\nHost: a.example\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
               .ends_with("booked"));
}

// Guards against passing on a late answer to an earlier request on the same connection.
BOOST_FIXTURE_TEST_CASE(skipsAnswersToOtherRequests, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) {
    return answer("other", "wrong") + answer(idOf(aRequest), "right");
  });
  declare(serving::CallKind::Idempotent, 1);
  list("e", endpoint.address());
  BOOST_TEST(call(get("1")).ends_with("right"));
}

// Guards against failing an answer that arrives in several reads.
BOOST_FIXTURE_TEST_CASE(acceptsAnswersInSeveralReads, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) {
    return "HTTP/1.1 200 OK\r\nId: " + idOf(aRequest) + "<pause>\r\nSigned: s\r\nContent-Le" +
           "<pause>ngth: 4\r\n\r\n<pause>bo<pause>dy";
  });
  declare(serving::CallKind::Idempotent, 1);
  list("e", endpoint.address());
  BOOST_TEST(call(get("1")).ends_with("\r\n\r\nbody"));
}

// Guards against passing on answers that are unsigned, cut short or not HTTP.
BOOST_FIXTURE_TEST_CASE(doesNotPassOnInvalidAnswers, Fixture)
{
  std::atomic<int> count{ 0 };
  FakeEndpoint endpoint([&](const std::string& aRequest) -> std::string {
    switch (count++) {
      case 0:
        return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
      case 1:
        return "HTTP/1.1 200 OK\r\nSigned: s\r\nId: " + idOf(aRequest) +
               "\r\nContent-Length: 50\r\n\r\nshortCLOSE";
      default:
        return "no http at all\r\n\r\nCLOSE";
    }
  });
  declare(serving::CallKind::Idempotent, 1);
  list("e", endpoint.address());
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(call(get(std::to_string(i))).starts_with("HTTP/1.1 502"));
  }
}

// Guards against missing or duplicate events when a stream breaks within an event and resumes on
// another endpoint.
BOOST_FIXTURE_TEST_CASE(resumesABrokenStream, Fixture)
{
  std::atomic<int> sends{ 0 };
  auto script = [&](const std::string& aRequest) {
    std::string head = streamHead(idOf(aRequest));
    if (sends++ == 0) {
      return head + chunk(event(1)) + chunk(event(2) + "id: 3\nda") + "CLOSE";
    }
    BOOST_TEST(aRequest.find("Last: 2") != std::string::npos);
    // A resumed stream precedes requests without an event, because its caller is reading it.
    BOOST_TEST(aRequest.find("Priority: 0") != std::string::npos);
    return head + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n";
  };
  FakeEndpoint first(script);
  FakeEndpoint second(script);
  declare(serving::CallKind::Streaming);
  list("a", first.address());
  list("b", second.address());
  std::string text = call(get("1"));
  BOOST_TEST(dataOf(text) == "t1 t2 t3 t4 ");
  BOOST_TEST(text.ends_with("0\r\n\r\n"));
}

// Guards against a broken stream that looks complete to the caller.
BOOST_FIXTURE_TEST_CASE(brokenStreamDoesNotLookComplete, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) {
    return streamHead(idOf(aRequest)) + chunk(event(1)) + "CLOSE";
  });
  declare(serving::CallKind::Streaming, 1);
  list("e", endpoint.address());
  std::string text = call(get("1"));
  BOOST_TEST(dataOf(text) == "t1 ");
  BOOST_TEST(!text.ends_with("0\r\n\r\n"));
}

// Guards against a caller that is kept waiting beyond the route's timeout.
BOOST_FIXTURE_TEST_CASE(givesUpAtTheRoutesTimeout, Fixture)
{
  FakeEndpoint endpoint([](const std::string&) {
    std::this_thread::sleep_for(1s);
    return "CLOSE";
  });
  declare(serving::CallKind::Mutating, 1, 300ms);
  list("e", endpoint.address());
  auto start = std::chrono::steady_clock::now();
  BOOST_TEST(call(get("1")).starts_with("HTTP/1.1 504"));
  BOOST_TEST((std::chrono::steady_clock::now() - start < 800ms));
}

// Guards against work that continues after its caller has left.
BOOST_FIXTURE_TEST_CASE(cancelsWhenTheCallerLeaves, Fixture)
{
  FakeEndpoint endpoint(
    [](const std::string& aRequest) { return streamHead(idOf(aRequest)) + chunk(event(1)); });
  declare(serving::CallKind::Streaming);
  list("e", endpoint.address());
  int socket = connectTo(callers);
  sendAll(socket, get("1"));
  char buffer[4096];
  BOOST_REQUIRE(::recv(socket, buffer, sizeof(buffer), 0) > 0);
  ::close(socket);
  for (int i = 0; i < 100 && metrics.exposition().find("bp_relay_in_flight 0") == std::string::npos;
       ++i) {
    std::this_thread::sleep_for(20ms);
  }
  BOOST_TEST(metrics.exposition().find("bp_relay_in_flight 0") != std::string::npos);
  BOOST_TEST(metrics.exposition().find("bp_relay_abandoned_total 1") != std::string::npos);
}

// Guards against a stop that aborts requests in flight or keeps callers' connections open.
BOOST_FIXTURE_TEST_CASE(stopCompletesRequestsInFlight, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) {
    std::this_thread::sleep_for(500ms);
    return answer(idOf(aRequest), "late");
  });
  declare(serving::CallKind::Mutating, 1);
  list("e", endpoint.address());
  int socket = connectTo(callers);
  sendAll(socket, get("1"));
  std::this_thread::sleep_for(100ms);
  relay->startLeaving(std::chrono::steady_clock::now());
  std::string text = readMessage(socket);
  BOOST_TEST(text.ends_with("late"));
  BOOST_TEST(text.find("Connection: close") != std::string::npos);
  ::close(socket);
}
