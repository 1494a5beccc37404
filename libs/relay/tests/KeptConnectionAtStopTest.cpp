#define BOOST_TEST_MODULE relay_kept_connection_at_stop
#include <boost/test/unit_test.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

struct StopFixture : Fixture
{
  StopFixture()
    : Fixture(100, 2000ms)
  {
    declare(serving::CallKind::Streaming);
    list("e", endpoint.address());
    while (!call(get("warm")).starts_with("HTTP/1.1 200")) {
      std::this_thread::sleep_for(5ms);
    }
  }

  static std::string stream(const std::string& aRequest)
  {
    std::string text = streamHead(idOf(aRequest)) + chunk(event(1));
    int pauses = idOf(aRequest) == "long" ? 10 : 0;
    for (int i = 0; i < pauses; ++i) {
      text += kPause;
    }
    return text + chunk(event(2)) + "0\r\n\r\n";
  }

  FakeEndpoint endpoint{ stream };
};

} // namespace

// Guards against a caller's next request that is read and dropped during a stop, after an answer
// that did not tell the caller to close the connection.
BOOST_DATA_TEST_CASE_F(StopFixture,
                       theNextRequestAfterAStreamIsAnswered,
                       boost::unit_test::data::make({ 0, 20, 100 }),
                       delayMs)
{
  int socket = connectTo(callers);
  sendAll(socket, get("long"));
  std::this_thread::sleep_for(100ms);
  relay->startLeaving(std::chrono::steady_clock::now());
  std::string first = readMessage(socket);
  BOOST_TEST(dataOf(first) == "t1 t2 ");
  BOOST_TEST(first.find("Connection: close") == std::string::npos);
  std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
  sendAll(socket, get("next"));
  std::string next = readMessage(socket);
  ::close(socket);
  BOOST_TEST((next.starts_with("HTTP/1.1 200") || next.starts_with("HTTP/1.1 503")));
  BOOST_TEST(next.find("Connection: close") != std::string::npos);
}

// Guards against a stop that waits to its limit for callers that do not close their connections.
BOOST_FIXTURE_TEST_CASE(idleConnectionsDoNotDelayTheEnd, StopFixture)
{
  int socket = connectTo(callers);
  sendAll(socket, get("1"));
  BOOST_TEST(dataOf(readMessage(socket)) == "t1 t2 ");
  auto start = std::chrono::steady_clock::now();
  relay->startLeaving(start);
  thread.join();
  BOOST_TEST((std::chrono::steady_clock::now() - start < 1500ms));
  ::close(socket);
}
