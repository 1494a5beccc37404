#define BOOST_TEST_MODULE relay_caller_leaves
#include <boost/test/unit_test.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** More than the socket buffers of a connection hold. */
constexpr size_t kLongBytes = 3 << 20;

enum class Leaving
{
  Close, ///< Orderly; bytes that were not read make it a reset.
  Reset,
  HalfClose, ///< Ends its sending side only, and leaves later.
};

std::ostream& operator<<(std::ostream& aStream, Leaving aLeaving)
{
  return aStream << static_cast<int>(aLeaving);
}

struct LeaveFixture : Fixture
{
  LeaveFixture()
    : Fixture(100, 400ms)
  {
    maxBodyBytes = kLongBytes;
    declare(serving::CallKind::Idempotent);
    list("e", endpoint.address());
    while (!call(get("warm")).starts_with("HTTP/1.1 200")) {
      std::this_thread::sleep_for(5ms);
    }
  }

  ~LeaveFixture()
  {
    for (int socket : sockets) {
      ::close(socket);
    }
  }

  void leave(int aSocket, Leaving aHow)
  {
    if (aHow == Leaving::HalfClose) {
      ::shutdown(aSocket, SHUT_WR);
      sockets.push_back(aSocket);
      return;
    }
    if (aHow == Leaving::Reset) {
      linger drop{ .l_onoff = 1, .l_linger = 0 };
      setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &drop, sizeof(drop));
    }
    ::close(aSocket);
  }

  /** Callers that leave at each stage of a request, in the given way. */
  void leaveAtEachStage(Leaving aHow)
  {
    std::string head = "POST /x/a HTTP/1.1\r\nHost: a.example\r\nId: 1\r\n";
    std::string length = "Content-Length: " + std::to_string(kLongBytes) + "\r\n\r\n";
    std::string withLength = head + length;
    std::string withHalfBody = withLength;
    withHalfBody.append(kLongBytes / 2, 'b');
    const std::vector<std::string> stages{ "",
                                           head,
                                           withLength,
                                           withHalfBody,
                                           head + "Expect: 100-continue\r\n" + length,
                                           head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
                                           get("slow"),
                                           get("long"),
                                           get("long") + get("long"),
                                           get("long") + head };
    for (const std::string& sent : stages) {
      int socket = connectTo(callers);
      sendAll(socket, sent);
      std::this_thread::sleep_for(20ms);
      leave(socket, aHow);
    }
  }

  /** Clients of the readiness port that leave at each stage. */
  void leaveReadiness(Leaving aHow)
  {
    for (const char* sent : { "", "GET /ready HTTP/1.1\r\n", "GET /ready HTTP/1.1\r\n\r\n" }) {
      int socket = connectTo(readiness);
      sendAll(socket, sent);
      leave(socket, aHow);
    }
  }

  std::vector<int> sockets;
  FakeEndpoint endpoint{ [](const std::string& aRequest) {
    std::string id = idOf(aRequest);
    if (id == "slow") {
      std::this_thread::sleep_for(150ms);
    }
    return answer(id, std::string(id == "long" ? kLongBytes : 4, 'a'));
  } };
};

} // namespace

// Each case guards against a crash of the relay, and with it the loss of all requests it holds,
// when callers leave while operations on their connections are in progress (LOST).
BOOST_DATA_TEST_CASE_F(
  LeaveFixture,
  atEachStageOfARequest,
  boost::unit_test::data::make({ Leaving::Close, Leaving::Reset, Leaving::HalfClose }),
  how)
{
  leaveAtEachStage(how);
  leaveReadiness(how);
  BOOST_TEST(call(get("next")).starts_with("HTTP/1.1 200"));
}

BOOST_DATA_TEST_CASE_F(
  LeaveFixture,
  whileTheRelayStops,
  boost::unit_test::data::make({ Leaving::Close, Leaving::Reset, Leaving::HalfClose }),
  how)
{
  std::thread leaving([&] {
    try {
      leaveAtEachStage(how);
    } catch (const std::system_error&) {
      // The relay has stopped and refuses connections.
    }
  });
  std::this_thread::sleep_for(60ms);
  relay->startLeaving(std::chrono::steady_clock::now());
  thread.join();
  relay.reset();
  leaving.join();
}
