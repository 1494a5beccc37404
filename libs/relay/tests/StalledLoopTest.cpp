#define BOOST_TEST_MODULE relay_stalled_loop
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <span>
#include <vector>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** More connections than Asio looks at in one turn of the event loop. */
constexpr size_t kManyConnections = 200;
constexpr base::Milliseconds kIdleTimeout = 300ms;

std::string pauses(int aCount)
{
  std::string text;
  for (int i = 0; i < aCount; ++i) {
    text += kPause;
  }
  return text;
}

/** A relay whose event loop gets no processor time for a while. A stop takes a second, in the first
 * tenth of which connections are accepted. */
struct StalledFixture : Fixture
{
  StalledFixture()
    : Fixture(100, 1000ms)
  {
    declare(serving::CallKind::Streaming);
    list("e", endpoint.address());
    while (!call(get("warm")).starts_with("HTTP/1.1 200")) {
      std::this_thread::sleep_for(5ms);
    }
  }

  ~StalledFixture()
  {
    for (int socket : sockets) {
      ::close(socket);
    }
  }

  int connect()
  {
    sockets.push_back(connectTo(callers));
    return sockets.back();
  }

  /** Returns when the loop is stalled and its timer is due. */
  void stall(base::Milliseconds aTime)
  {
    sendAll(connect(), unroutable("Stall-Ms: " + std::to_string(aTime.count()) + "\r\n"));
    std::this_thread::sleep_for(100ms);
  }

  /** A request that the relay answers with 404 itself. */
  static std::string unroutable(const std::string& aMore = "")
  {
    return "GET /y/ HTTP/1.1\r\nHost: a.example\r\n" + aMore + "\r\n";
  }

  /** Number of the connections on which an answer arrives. */
  static size_t countAnswered(std::span<const int> aSockets)
  {
    return static_cast<size_t>(std::ranges::count_if(aSockets, [](int aSocket) {
      std::string text = readMessage(aSocket);
      return text.starts_with("HTTP/1.1 200") || text.starts_with("HTTP/1.1 503");
    }));
  }

  static std::string stream(const std::string& aRequest)
  {
    std::string text = streamHead(idOf(aRequest)) + chunk(event(1));
    if (idOf(aRequest) == "long") {
      text += pauses(20);
    }
    for (int number = 2; number <= kEvents; ++number) {
      text += chunk(event(number));
    }
    return text + "0\r\n\r\n";
  }

  /** Takes the relay several reads and writes. */
  static constexpr int kEvents = 2000;
  FakeEndpoint endpoint{ stream };
  std::vector<int> sockets;
};

} // namespace

// Guards against a stream that is cut at the end of a stop although the rest of it has arrived
// (LOST).
BOOST_FIXTURE_TEST_CASE(aStreamThatArrivedBeforeTheEndOfAStopIsDeliveredWhole, StalledFixture)
{
  int socket = connect();
  sendAll(socket, get("long"));
  std::this_thread::sleep_for(200ms);
  relay->startLeaving(std::chrono::steady_clock::now());
  stall(1300ms);
  std::string text = readMessage(socket);
  BOOST_TEST(text.ends_with(chunk(event(kEvents)) + "0\r\n\r\n"));
}

// Guards against a request on a kept connection that is dropped because the end of the stop passed
// before the process read it (LOST).
BOOST_FIXTURE_TEST_CASE(aRequestThatWaitsAtTheEndOfAStopIsAnswered, StalledFixture)
{
  std::array<int, 5> kept{};
  std::ranges::generate(kept, [this] { return connect(); });
  std::this_thread::sleep_for(30ms);
  relay->startLeaving(std::chrono::steady_clock::now());
  stall(1300ms);
  for (int socket : kept) {
    sendAll(socket, get("late"));
  }
  BOOST_TEST(countAnswered(kept) == kept.size());
}

// Guards against connections whose requests are dropped with the queue of the listening socket, as
// the process closes it (LOST).
BOOST_FIXTURE_TEST_CASE(connectionsThatWaitToBeAcceptedAreAnswered, StalledFixture)
{
  relay->startLeaving(std::chrono::steady_clock::now());
  stall(400ms);
  std::array<int, 20> waiting{};
  for (int& socket : waiting) {
    socket = connect();
    sendAll(socket, get("late"));
  }
  BOOST_TEST(countAnswered(waiting) == waiting.size());
}

// Guards against an idle connection that is closed with a caller's next request in it.
BOOST_FIXTURE_TEST_CASE(aRequestThatArrivedBeforeTheIdleLimitIsAnswered, StalledFixture)
{
  serving::Deployment::Builder builder;
  builder.version(2).limits({ .idleTimeout = kIdleTimeout });
  relay->setDeployment(builder.build());
  std::vector<int> idle(kManyConnections);
  std::ranges::generate(idle, [this] { return connect(); });
  std::this_thread::sleep_for(kIdleTimeout / 2);
  stall(3 * kIdleTimeout);
  for (int socket : idle) {
    sendAll(socket, unroutable());
  }
  auto answered = std::ranges::count_if(
    idle, [](int aSocket) { return readMessage(aSocket).starts_with("HTTP/1.1 404"); });
  BOOST_TEST(answered == kManyConnections);
}

// Guards against a stream that is taken from its endpoint, as if that were silent, while its events
// wait to be read.
BOOST_FIXTURE_TEST_CASE(aStreamWhoseEventsWaitIsNotTakenForSilent, StalledFixture)
{
  FakeEndpoint other(stream);
  list("f", other.address());
  int socket = connect();
  sendAll(socket, get("long"));
  std::this_thread::sleep_for(200ms);
  std::vector<int> busy(kManyConnections);
  std::ranges::generate(busy, [this] { return connect(); });
  std::this_thread::sleep_for(50ms);
  stall(1300ms);
  for (int each : busy) {
    sendAll(each, unroutable());
  }
  BOOST_TEST(readMessage(socket).ends_with(chunk(event(kEvents)) + "0\r\n\r\n"));
  auto isLong = [](const std::string& aRequest) { return idOf(aRequest) == "long"; };
  auto sends = std::ranges::count_if(endpoint.requests(), isLong) +
               std::ranges::count_if(other.requests(), isLong);
  BOOST_TEST(sends == 1);
}
