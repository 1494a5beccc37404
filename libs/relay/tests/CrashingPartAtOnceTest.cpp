#define BOOST_TEST_MODULE relay_crashing_part_at_once
#include <boost/test/unit_test.hpp>

#include "PeersFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

// Guards against many requests at once: those that wait at endpoints are withdrawn, and no others
// reach endpoints.
BOOST_FIXTURE_TEST_CASE(requestsAtOnceAreStopped, PeersFixture)
{
  isSlow = true;
  std::vector<std::thread> callers;
  for (size_t i = 0; i < 24; ++i) {
    callers.emplace_back([this, i] { send(i % 2, "sd"); });
  }
  for (int i = 0; i < 200 && reached < 20; ++i) {
    std::this_thread::sleep_for(5ms);
  }
  isSlow = false;
  for (auto& caller : callers) {
    caller.join();
  }
  listAll();
  int before = sent;
  BOOST_TEST(isStopped(0));
  BOOST_TEST(isStopped(1));
  // Not by count: endpoints may still read requests that were withdrawn.
  BOOST_TEST(!haveReceived(before + 1));
  BOOST_TEST(!haveReceived(before + 2));
  BOOST_TEST(dataOf(send(0, "s")) == "t1 t2 t3 ");
}
