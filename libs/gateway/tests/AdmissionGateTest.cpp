#define BOOST_TEST_MODULE gateway_admission_gate
#include <boost/test/unit_test.hpp>

#include "../src/AdmissionGate.h"

using namespace boragepitch;

// Guards against missing an excess request that was admitted while the engine was thought warm and
// checks the cold limit after another request has found the engine cold.
BOOST_AUTO_TEST_CASE(detectsExcessRequestsOfAnEngineKnownToBeCold)
{
  gateway::AdmissionGate gate({ .cold = false, .coldLimit = 2, .warmLimit = 8 });
  const std::atomic<bool> cancelled{ false };
  for (uint64_t id = 1; id <= 3; ++id) {
    BOOST_REQUIRE(gate.enter({ .id = id }, cancelled).verdict == routing::Verdict::Run);
  }
  BOOST_TEST(gate.exceedsColdLimit());
  gate.setLimits({ .cold = true, .coldLimit = 2, .warmLimit = 8 });
  BOOST_TEST(gate.exceedsColdLimit());
  gate.leave(3, {});
  BOOST_TEST(!gate.exceedsColdLimit());
}
