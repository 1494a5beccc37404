#define BOOST_TEST_MODULE weights_odd_manifest
#include <boost/test/unit_test.hpp>

#include "support/OddJson.h"
#include "weights/Manifest.h"

using namespace boragepitch;

// Guards against one odd manifest that ends the process.
BOOST_AUTO_TEST_CASE(oddManifestsAreRejected)
{
  std::string bytes(10, 'x');
  std::string sound =
    weights::Manifest::fromBytes("m", "2", 4, std::as_bytes(std::span(bytes)))->canonical();
  BOOST_REQUIRE(weights::Manifest::parse(sound).has_value());
  for (const test::OddText& text : test::oddTexts(sound)) {
    BOOST_TEST_CONTEXT(text.path << " = " << text.odd)
    {
      bool isRead = false;
      BOOST_CHECK_NO_THROW(isRead = weights::Manifest::parse(text.text).has_value());
      bool isName = text.path == "model" || text.path == "version";
      BOOST_TEST((!isRead || (isName && text.odd.starts_with('"'))));
    }
  }
}
