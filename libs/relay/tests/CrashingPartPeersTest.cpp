#define BOOST_TEST_MODULE relay_crashing_part_peers
#include <boost/test/unit_test.hpp>

#include "PeersFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

// Guards against entries that count crashes for themselves (BUDGET).
BOOST_FIXTURE_TEST_CASE(requestsThatComeAlternatelyAreStopped, PeersFixture)
{
  for (size_t i = 0; i < 12; ++i) {
    BOOST_TEST(dataOf(send(i % 2, "s" + std::to_string(i % 3))) == "t1 t2 t3 ");
    send(i % 2, "sd");
    listAll();
  }
  BOOST_TEST(reached <= 5 + kAllowedAfterFiveCrashes);
  BOOST_TEST(isStopped(0));
  BOOST_TEST(isStopped(1));
  BOOST_TEST(dataOf(send(1, "s")) == "t1 t2 t3 ");
}

// Two endpoints that crash and come back count as different ones each time.
BOOST_FIXTURE_TEST_CASE(endpointsThatComeBackCountAgain, PeersFixture)
{
  for (size_t i = 2; i < kEndpoints; ++i) {
    for (const auto& relay : relays) {
      relay->unlist("e" + std::to_string(i));
    }
  }
  for (size_t i = 0; i < 12; ++i) {
    send(i % 2, "sd");
    for (const auto& relay : relays) {
      relay->list("e0", endpoints[0]->address(), starts[0]);
      relay->list("e1", endpoints[1]->address(), starts[1]);
    }
    std::this_thread::sleep_for(50ms);
  }
  BOOST_TEST(reached <= 5 + kAllowedAfterFiveCrashes);
  BOOST_TEST(reached >= 3);
}

// Guards against an entry that starts later and sends requests on before it hears of the part.
BOOST_FIXTURE_TEST_CASE(anEntryThatStartsLaterKnowsAtOnce, PeersFixture)
{
  for (size_t i = 0; i < 4; ++i) {
    send(i % 2, "sd");
  }
  BOOST_TEST(isStopped(0));
  int before = reached;
  for (size_t i = 2; i < 5; ++i) {
    addRelay();
    // Far less than the interval in which entries tell their quarantine.
    std::this_thread::sleep_for(100ms);
    BOOST_TEST(isStopped(i));
  }
  BOOST_TEST(reached == before);
}

// A request that waits at an endpoint when its part is quarantined is withdrawn.
BOOST_FIXTURE_TEST_CASE(waitingRequestsAreWithdrawn, PeersFixture)
{
  isSlow = true;
  std::string answer;
  auto begun = std::chrono::steady_clock::now();
  std::thread caller([&] { answer = send(1, "sd"); });
  for (int i = 0; i < 400 && reached < 1; ++i) {
    std::this_thread::sleep_for(5ms);
  }
  // Another entry tells of the part while the request waits.
  tell(1, { { { { 'd' }, 1000ms, 50000ms } }, {} });
  caller.join();
  BOOST_TEST((std::chrono::steady_clock::now() - begun < 1s));
  BOOST_TEST(!answer.starts_with("HTTP/1.1 200"));
  BOOST_TEST(reached == 1);
  isSlow = false;
}

// Guards against entries that let all requests through when a quarantine ends (BUDGET).
BOOST_FIXTURE_TEST_CASE(afterAQuarantineOneRequestAtATimeIsSentOn, PeersFixture)
{
  isSlow = true;
  tell(0, { { { { 'd' }, 1000ms, 300ms } }, {} });
  std::this_thread::sleep_for(500ms);
  std::vector<std::thread> callers;
  std::atomic<int> stopped{ 0 };
  for (size_t i = 0; i < 6; ++i) {
    callers.emplace_back([&] { stopped += isStopped(0) ? 1 : 0; });
  }
  for (int i = 0; i < 200 && stopped < 5; ++i) {
    std::this_thread::sleep_for(5ms);
  }
  BOOST_TEST(stopped == 5);
  isSlow = false;
  for (auto& caller : callers) {
    caller.join();
  }
  BOOST_TEST(isStopped(0));
  BOOST_TEST(reached == 1);
}
