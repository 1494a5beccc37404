#define BOOST_TEST_MODULE relay_early_answer
#include <boost/test/unit_test.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "EarlyFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

// Each case guards against a crash of the relay, and with it the loss of all requests it holds,
// when an exchange with an endpoint ends while the request's body is still being written (LOST).
BOOST_FIXTURE_TEST_CASE(wholeAnswerBeforeTheBodyIsWritten, EarlyFixture)
{
  EarlyEndpoint endpoint(answerWhole);
  BOOST_TEST(answerOf(endpoint, serving::CallKind::Idempotent).ends_with("\r\n\r\nearly"));
  BOOST_TEST(isAlive());
}

BOOST_FIXTURE_TEST_CASE(wholeStreamBeforeTheBodyIsWritten, EarlyFixture)
{
  EarlyEndpoint endpoint([](int aSocket, const std::string& aHead) {
    sendAll(aSocket, streamHead(idOf(aHead)) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n");
    return true;
  });
  BOOST_TEST(dataOf(answerOf(endpoint, serving::CallKind::Streaming)) == "t1 t2 ");
  BOOST_TEST(isAlive());
}

BOOST_FIXTURE_TEST_CASE(rejectionBeforeTheBodyIsWritten, EarlyFixture)
{
  EarlyEndpoint endpoint([](int aSocket, const std::string& aHead) {
    sendAll(aSocket,
            "HTTP/1.1 503 X\r\nId: " + idOf(aHead) + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    return true;
  });
  BOOST_TEST(answerOf(endpoint, serving::CallKind::Mutating).starts_with("HTTP/1.1 503"));
  BOOST_TEST(isAlive());
}

BOOST_FIXTURE_TEST_CASE(answerCutBeforeTheBodyIsWritten, EarlyFixture)
{
  EarlyEndpoint endpoint([](int aSocket, const std::string& aHead) {
    std::string text = answer(idOf(aHead), "early");
    sendAll(aSocket, text.substr(0, text.size() - 2));
    return false;
  });
  BOOST_TEST(answerOf(endpoint, serving::CallKind::Idempotent).starts_with("HTTP/1.1 502"));
  BOOST_TEST(isAlive());
}

BOOST_FIXTURE_TEST_CASE(connectionClosedBeforeTheBodyIsWritten, EarlyFixture)
{
  EarlyEndpoint endpoint([](int, const std::string&) { return false; });
  BOOST_TEST(answerOf(endpoint, serving::CallKind::Idempotent).starts_with("HTTP/1.1 502"));
  BOOST_TEST(isAlive());
}

BOOST_FIXTURE_TEST_CASE(otherBytesBeforeTheBodyIsWritten, EarlyFixture)
{
  EarlyEndpoint endpoint([](int aSocket, const std::string&) {
    sendAll(aSocket, "no answer\r\n\r\n");
    return true;
  });
  BOOST_TEST(answerOf(endpoint, serving::CallKind::Idempotent).starts_with("HTTP/1.1 502"));
  BOOST_TEST(isAlive());
}

BOOST_FIXTURE_TEST_CASE(noAnswerBeforeTheBodyIsWritten, EarlyFixture)
{
  EarlyEndpoint silent(drainSlowly);
  EarlyEndpoint other(answerWhole);
  int socket = begin(silent, serving::CallKind::Idempotent);
  list("other", other.address());
  BOOST_TEST(readMessage(socket).ends_with("\r\n\r\nearly"));
  ::close(socket);
  BOOST_TEST(isAlive());
}

BOOST_FIXTURE_TEST_CASE(deadlineBeforeTheBodyIsWritten, EarlyFixture)
{
  EarlyEndpoint endpoint(drainSlowly);
  int socket = begin(endpoint, serving::CallKind::Mutating, 600ms);
  BOOST_TEST(readMessage(socket).starts_with("HTTP/1.1 504"));
  ::close(socket);
  BOOST_TEST(isAlive());
}

BOOST_DATA_TEST_CASE_F(EarlyFixture,
                       callerLeavesBeforeTheBodyIsWritten,
                       boost::unit_test::data::make({ false, true }),
                       isAnswered)
{
  EarlyEndpoint endpoint(isAnswered ? answerWhole : drainSlowly);
  int socket = begin(endpoint, serving::CallKind::Idempotent);
  std::thread stalling([this] { stall(); });
  std::this_thread::sleep_for(50ms);
  ::close(socket);
  stalling.join();
  BOOST_TEST(isAlive());
}

namespace {

struct ShortStopFixture : EarlyFixture
{
  ShortStopFixture()
    : EarlyFixture(300ms)
  {
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(stopBeforeTheBodyIsWritten, ShortStopFixture)
{
  EarlyEndpoint endpoint(drainSlowly);
  int socket = begin(endpoint, serving::CallKind::Idempotent);
  relay->startLeaving(std::chrono::steady_clock::now());
  thread.join();
  relay.reset();
  // The caller gets an answer or the end of the connection.
  readMessage(socket);
  ::close(socket);
}
