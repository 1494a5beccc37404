#define BOOST_TEST_MODULE relay_crashing_late_part
#include <boost/test/unit_test.hpp>

#include "PeersFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** Parts that all requests share, none of them 'd'. */
std::string sharedParts(size_t aCount)
{
  std::string parts;
  for (char part = '!'; parts.size() < aCount; ++part) {
    if (part != 'd' && part != ':') {
      parts += part;
    }
  }
  return parts;
}

} // namespace

// Guards against a part far back in a prompt that crashes endpoints and is never found (BUDGET),
// and against taking the parts before it for the cause.
BOOST_FIXTURE_TEST_CASE(aPartAtTheEndOfALongPromptIsFound, PeersFixture)
{
  for (size_t count : { 80U, 40U, 12U, 11U }) {
    std::string shared = sharedParts(count);
    int before = reached;
    for (size_t i = 0; i < 8; ++i) {
      send(i % 2, shared + "d");
      listAll();
    }
    BOOST_TEST(reached - before <= 5 + kAllowedAfterFiveCrashes);
    // An entry that was not told of the crashes themselves.
    addRelay();
    std::this_thread::sleep_for(100ms);
    before = reached;
    for (size_t relay = 0; relay < relays.size(); ++relay) {
      BOOST_TEST(send(relay, shared + "d").starts_with("HTTP/1.1 500"));
      BOOST_TEST(send(relay, shared).starts_with("HTTP/1.1 200"));
    }
    BOOST_TEST(reached == before);
  }
}
