#define BOOST_TEST_MODULE relay_odd_status
#include <boost/test/unit_test.hpp>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

// Guards against passing on a status that HTTP does not define, which callers cannot parse (MIXED).
BOOST_FIXTURE_TEST_CASE(undefinedStatusIsNotPassedOn, Fixture)
{
  declare(serving::CallKind::Mutating);
  for (const std::string status : { "000", "001", "099", "600", "999" }) {
    FakeEndpoint endpoint([&](const std::string& aRequest) {
      return "HTTP/1.1 " + status + " X\r\nId: " + idOf(aRequest) +
             "\r\nSigned: s\r\nContent-Length: 3\r\n\r\nodd";
    });
    list("e" + status, endpoint.address());
    std::string text = call(get("n" + status));
    BOOST_TEST(text.starts_with("HTTP/1.1 502"), status << " -> " << text);
    BOOST_TEST(endpoint.requests().size() == 1U);
    unlist("e" + status);
  }
}
