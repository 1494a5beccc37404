#define BOOST_TEST_MODULE gateway_cold_engine
#include <boost/test/unit_test.hpp>

#include <thread>

#include "GenerateFixture.h"

using namespace boragepitch;
using namespace boragepitch::test;

// Guards against sending an engine that silently became cold as many requests as a warm one.
BOOST_FIXTURE_TEST_CASE(detectsAnEngineThatBecameCold, GenerateFixture)
{
  for (auto& endpoint : endpoints) {
    endpoint->engine.cold = true;
  }
  std::vector<std::thread> callers;
  for (int i = 0; i < 16; ++i) {
    callers.emplace_back([&, i] { entries[i % 2]->generate("p", 10); });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  BOOST_TEST(engine(0).overloads + engine(1).overloads == 0);
}
