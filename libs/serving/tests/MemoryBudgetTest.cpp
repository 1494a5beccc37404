#define BOOST_TEST_MODULE serving_memory_budget
#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

#include "serving/MemoryBudget.h"

using namespace boragepitch;
using namespace boragepitch::serving;

// Guards against many long bodies or answers at once, each within its bound, that exceed the memory
// of the process together (LOST).
BOOST_AUTO_TEST_CASE(manyLongBodiesAreBoundedTogether)
{
  constexpr size_t kLimit = 112 << 20;
  constexpr size_t kBody = 4 << 20;
  MemoryBudget budget(kLimit);
  std::vector<std::unique_ptr<MemoryCharge>> charges;
  for (int i = 0; i < 100; ++i) {
    if (budget.admits(kBody)) {
      charges.push_back(std::make_unique<MemoryCharge>(budget));
      charges.back()->set(kBody);
    }
  }
  BOOST_TEST(charges.size() == 21U);
  BOOST_TEST(!budget.isExceeded());
  // Short ones are still read, and answers have room.
  BOOST_TEST(budget.admits(800));
  MemoryCharge answer(budget);
  answer.set(28 << 20);
  BOOST_TEST(!budget.isExceeded());
  BOOST_TEST(!budget.admits(800));
  answer.set((28 << 20) + 1);
  BOOST_TEST(budget.isExceeded());
  answer.set(1000);
  BOOST_TEST(budget.admits(800));
  charges.clear();
  BOOST_TEST(budget.held() == 1000U);
  BOOST_TEST(budget.admits(kBody));
}
