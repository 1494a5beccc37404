#define BOOST_TEST_MODULE relay_crashing_request_peers
#include <boost/test/unit_test.hpp>

#include "PeersFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** Crashes after which a request is to be stopped, and further ones that are tolerated. */
constexpr int kCrashesToQuarantine = 3;
constexpr int kToleratedCrashes = 3;

/** The same request each time, without shared parts, so that only its fingerprint identifies it. */
struct CrashingRequestFixture : PeersFixture
{
  CrashingRequestFixture()
  {
    for (int i = 0; i < kEndpoints; ++i) {
      crashing.push_back(std::make_unique<FakeEndpoint>([this](const std::string& aRequest) {
        if (aRequest.find("/x/crashing") == std::string::npos) {
          return answer(idOf(aRequest), "body");
        }
        ++crashes;
        return std::string("CLOSE");
      }));
    }
  }

  void listCrashing(size_t aRelay)
  {
    for (int i = 0; i < kEndpoints; ++i) {
      relays[aRelay]->unlist("e" + std::to_string(i));
      relays[aRelay]->list("c" + std::to_string(i), crashing[static_cast<size_t>(i)]->address());
    }
  }

  std::string repeat(size_t aRelay, const std::string& aPath = "crashing")
  {
    return relays[aRelay]->call("GET /x/" + aPath + " HTTP/1.1\r\nHost: a.example\r\nId: n" +
                                std::to_string(++sent) + "\r\n\r\n");
  }

  std::atomic<int> crashes{ 0 };
  std::vector<std::unique_ptr<FakeEndpoint>> crashing;
};

} // namespace

// Guards against an entry that starts after the crashes and sends the request on again (BUDGET).
BOOST_FIXTURE_TEST_CASE(anEntryThatStartsLaterStopsTheRequest, CrashingRequestFixture)
{
  listCrashing(0);
  listCrashing(1);
  for (size_t i = 0; i < 4; ++i) {
    repeat(i % 2);
  }
  BOOST_TEST(crashes <= kCrashesToQuarantine + kToleratedCrashes);
  int before = crashes;
  for (size_t i = 2; i < 5; ++i) {
    addRelay();
    listCrashing(i);
    // Far less than the interval in which entries tell their quarantine.
    std::this_thread::sleep_for(100ms);
    BOOST_TEST(repeat(i).starts_with("HTTP/1.1 500"));
    BOOST_TEST(repeat(i, "sound").starts_with("HTTP/1.1 200"));
  }
  BOOST_TEST(crashes == before);
}
