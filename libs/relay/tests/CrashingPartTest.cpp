#define BOOST_TEST_MODULE relay_crashing_part
#include <boost/test/unit_test.hpp>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** Requests with a part that crashes endpoints that may reach endpoints after the fifth crash. */
constexpr int kAllowedAfterFiveCrashes = 3;
constexpr int kEndpoints = 12;

enum class CrashPoint
{
  BeforeHead,
  AfterHead,
  WithinFirstEvent,
};

struct CrashFixture : Fixture
{
  CrashFixture()
  {
    declare(serving::CallKind::Streaming);
    for (int i = 0; i < kEndpoints; ++i) {
      endpoints.push_back(std::make_unique<FakeEndpoint>(
        [this](const std::string& aRequest) { return answerOrCrash(aRequest); }));
      list("e" + std::to_string(i), endpoints.back()->address());
    }
  }

  /** Crashes if the prompt contains the part 'd': the connection ends. */
  std::string answerOrCrash(const std::string& aRequest)
  {
    std::string head = streamHead(idOf(aRequest));
    if (partsOf(aRequest).find('d') == std::string::npos) {
      return head + chunk(event(1)) + chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n";
    }
    ++crashes;
    switch (crashPoint) {
      case CrashPoint::BeforeHead:
        return "CLOSE";
      case CrashPoint::AfterHead:
        return head + "CLOSE";
      case CrashPoint::WithinFirstEvent:
        return head + chunk(event(1).substr(0, 7)) + "CLOSE";
    }
    return "CLOSE";
  }

  static std::string partsOf(const std::string& aRequest)
  {
    size_t at = aRequest.find("Parts: ");
    return aRequest.substr(at, aRequest.find("\r\n", at) - at);
  }

  /** Sends a request like no other, except for the parts of its prompt. */
  std::string send(const std::string& aParts)
  {
    std::string number = std::to_string(++sent);
    return call("GET /x/" + number + " HTTP/1.1\r\nHost: a.example\r\nId: n" + number +
                "\r\nParts: " + aParts + "\r\n\r\n");
  }

  /** Sends sound requests and requests with the crashing part in turn. */
  void sendBoth()
  {
    for (int i = 0; i < 12; ++i) {
      BOOST_TEST(dataOf(send("s" + std::to_string(i % 3))) == "t1 t2 t3 ");
      BOOST_TEST(!send("sd").starts_with("HTTP/1.1 200"));
    }
  }

  std::atomic<int> crashes{ 0 };
  CrashPoint crashPoint = CrashPoint::BeforeHead;
  int sent = 0;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
};

} // namespace

// Guards against requests that crash one endpoint after the other because they share one part of
// their prompt (BUDGET on hoopline).
BOOST_FIXTURE_TEST_CASE(requestsWithAPartThatCrashesEndpointsAreStopped, CrashFixture)
{
  sendBoth();
  BOOST_TEST(crashes <= 5 + kAllowedAfterFiveCrashes);
  BOOST_TEST(send("sd").starts_with("HTTP/1.1 500"));
}

// A crash after the head of the answer counts too.
BOOST_FIXTURE_TEST_CASE(crashesAfterTheHeadCount, CrashFixture)
{
  crashPoint = CrashPoint::AfterHead;
  sendBoth();
  BOOST_TEST(crashes <= 5 + kAllowedAfterFiveCrashes);
}

// So does one within the first event.
BOOST_FIXTURE_TEST_CASE(crashesWithinTheFirstEventCount, CrashFixture)
{
  crashPoint = CrashPoint::WithinFirstEvent;
  sendBoth();
  BOOST_TEST(crashes <= 5 + kAllowedAfterFiveCrashes);
}

// Guards against an entry that starts later and learns of the part only by further crashes.
BOOST_FIXTURE_TEST_CASE(quarantinesOfOtherEntriesAreTakenOver, CrashFixture)
{
  serving::PartNotice notice{ { { { 'd' }, 5000ms, 50000ms } }, {} };
  std::string text = serving::encode(notice);
  int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(peers.port));
  inet_pton(AF_INET, peers.host.c_str(), &address.sin_addr);
  BOOST_REQUIRE(::sendto(socket,
                         text.data(),
                         text.size(),
                         0,
                         reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) > 0);
  ::close(socket);
  // Datagrams and connections arrive at the relay in any order.
  std::this_thread::sleep_for(100ms);
  BOOST_TEST(send("sd").starts_with("HTTP/1.1 500"));
  BOOST_TEST(crashes == 0);
  BOOST_TEST(dataOf(send("s1")) == "t1 t2 t3 ");
}
