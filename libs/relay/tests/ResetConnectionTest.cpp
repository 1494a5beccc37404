#define BOOST_TEST_MODULE relay_reset_connection
#include <boost/test/unit_test.hpp>

#include "PeersFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** Endpoints that reset the connections of requests with "Reset: 1" and keep all others. */
struct ResetFixture : PeersFixture
{
  ResetFixture()
  {
    addRelay();
    for (int i = 0; i < kEndpoints; ++i) {
      resetting.push_back(std::make_unique<FakeEndpoint>([this](const std::string& aRequest) {
        if (aRequest.find("Reset: 1") != std::string::npos && resetsLeft-- > 0) {
          return std::string("RESET");
        }
        return answer(idOf(aRequest), "body");
      }));
    }
    for (const auto& relay : relays) {
      for (int i = 0; i < kEndpoints; ++i) {
        relay->unlist("e" + std::to_string(i));
        relay->list("c" + std::to_string(i), resetting[static_cast<size_t>(i)]->address());
      }
    }
  }

  /** The same request each time but for its id. */
  std::string get(size_t aRelay, const std::string& aPath, const std::string& aMore = "")
  {
    return relays[aRelay]->call("GET /x/" + aPath + " HTTP/1.1\r\nHost: a.example\r\nId: n" +
                                std::to_string(++sent) + "\r\nKey: k\r\n" + aMore + "\r\n");
  }

  /** Opens connections from a relay to all endpoints, or uses the open ones. */
  void useAllEndpoints(size_t aRelay)
  {
    std::vector<std::thread> callers;
    for (int i = 0; i < 4 * kEndpoints; ++i) {
      callers.emplace_back([&, i] { get(aRelay, "other/" + std::to_string(i)); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  /** Lets entry 0 see as many resets as quarantine a request at the others. */
  void resetConnections(const std::string& aMore)
  {
    for (int i = 0; i < 4; ++i) {
      get(0, "stock", "Reset: 1\r\n" + aMore);
    }
  }

  std::atomic<int> resetsLeft{ 0 };
  std::vector<std::unique_ptr<FakeEndpoint>> resetting;
};

} // namespace

// Guards against entries that answer 500 to a sound request, which many callers send alike, after
// connections of another entry were reset under it (CONFIG), although that entry completed it.
BOOST_FIXTURE_TEST_CASE(completedRequestIsServedEverywhere, ResetFixture)
{
  for (size_t round = 0; round < 6; ++round) {
    resetsLeft = 2;
    get(round % 2, "stock", "Reset: 1\r\n");
    BOOST_TEST(get(round % 2, "stock").starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(50ms);
  }
  for (size_t relay = 0; relay < relays.size(); ++relay) {
    BOOST_TEST(get(relay, "stock").starts_with("HTTP/1.1 200"));
  }
}

// Guards against the same when no entry completes the request: the endpoints go on answering on
// connections that were open before, so they did not crash.
BOOST_FIXTURE_TEST_CASE(endpointsThatGoOnAnsweringDidNotCrash, ResetFixture)
{
  useAllEndpoints(1);
  resetsLeft = 1000;
  resetConnections("");
  resetsLeft = 0;
  std::this_thread::sleep_for(300ms);
  useAllEndpoints(1);
  std::this_thread::sleep_for(100ms);
  for (size_t relay = 0; relay < relays.size(); ++relay) {
    BOOST_TEST(get(relay, "stock").starts_with("HTTP/1.1 200"));
  }
}

// Guards against the same for parts of prompts.
BOOST_FIXTURE_TEST_CASE(partsAreReleasedWhenTheEndpointsDidNotCrash, ResetFixture)
{
  useAllEndpoints(1);
  resetsLeft = 1000;
  for (int i = 0; i < 4; ++i) {
    get(0, "prompt/" + std::to_string(i), "Reset: 1\r\nParts: s\r\n");
  }
  resetsLeft = 0;
  BOOST_TEST(get(2, "prompt/sound", "Parts: s\r\n").starts_with("HTTP/1.1 500"));
  std::this_thread::sleep_for(300ms);
  useAllEndpoints(1);
  std::this_thread::sleep_for(100ms);
  for (size_t relay = 0; relay < relays.size(); ++relay) {
    BOOST_TEST(get(relay, "prompt/sound", "Parts: s\r\n").starts_with("HTTP/1.1 200"));
  }
}
