#define BOOST_TEST_MODULE serving_odd_messages
#include <boost/test/unit_test.hpp>

#include "serving/PeerMessage.h"
#include "support/OddJson.h"

using namespace boragepitch;
using namespace boragepitch::serving;

// Guards against one odd datagram that ends the process.
BOOST_AUTO_TEST_CASE(oddMessagesDoNotThrow)
{
  for (const std::string sound :
       { R"({"kind":"load","address":"10.0.0.9:80","born":5,"running":1,"queued":1,"pace":1.5,)"
         R"("memory":0.5,"weights":2,"switching":true,"soon":false})",
         R"({"kind":"crash","fingerprint":"9","endpoint":"i-1","parts":["1","2"]})",
         R"({"kind":"parts","quarantined":[{"parts":["3","4"],"age":5,"left":6}],"proved":["1"]})",
         R"({"kind":"requests","quarantined":[{"fingerprint":"9","age":5}],"completed":["7"]})",
         R"({"kind":"refutation","fingerprint":"9","endpoint":"i-1"})",
         R"({"kind":"entry","name":"e","region":"north","address":"10.0.0.9:80",)"
         R"("weights":{"m":2}})" }) {
    BOOST_REQUIRE(decode(sound).has_value());
    for (const test::OddText& text : test::oddTexts(sound)) {
      BOOST_TEST_CONTEXT(text.path << " = " << text.odd << " in " << sound)
      {
        bool isRead = false;
        BOOST_CHECK_NO_THROW(isRead = decode(text.text).has_value());
        BOOST_TEST((!isRead || (!text.path.empty() && text.path != "kind")));
      }
    }
  }
}
