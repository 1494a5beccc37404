#define BOOST_TEST_MODULE relay_endless_answers
#include <boost/test/unit_test.hpp>

#include <fstream>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** Callers at once; with 4 MiB for each answer they would take far more than the bound. */
constexpr int kCallers = 100;
/** The bound on held bytes, and the threads and buffers of the test. */
constexpr long kMaxGrowthMiB = 160;

long residentMiB()
{
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stol(line.substr(6)) / 1024;
    }
  }
  return 0;
}

/** An answer whose body is sent as fast as the relay reads, until it closes. */
std::string endlessAnswer(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nId: " + aId + "\r\nSigned: s\r\nContent-Length: 99999999\r\n\r\n" +
         std::string(kEndless) + std::string(1 << 14, 'a');
}

} // namespace

// Guards against the memory of all answers that endpoints do not end, each within its bound (LOST:
// the process is killed), and against sound requests that fail beside them.
BOOST_FIXTURE_TEST_CASE(manyAnswersWithoutEndAreBoundedTogether, Fixture)
{
  limitHeldMemory();
  FakeEndpoint endpoint([](const std::string& aRequest) {
    return idOf(aRequest).starts_with("n") ? endlessAnswer(idOf(aRequest))
                                           : answer(idOf(aRequest), "sound");
  });
  declare(serving::CallKind::Idempotent, 1, 4000ms);
  // Ids of their own, so that there are slots for all callers.
  for (int i = 0; i < kCallers / 2; ++i) {
    list("e" + std::to_string(i), endpoint.address());
  }
  long before = residentMiB();
  std::atomic<long> peak{ 0 };
  std::atomic<bool> isDone{ false };
  std::thread watch([&] {
    while (!isDone) {
      peak = std::max(peak.load(), residentMiB());
      std::this_thread::sleep_for(5ms);
    }
  });
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] { call(get("n" + std::to_string(i))); });
  }
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    std::this_thread::sleep_for(50ms);
    served += call(get("s" + std::to_string(i))).starts_with("HTTP/1.1 200") ? 1 : 0;
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  isDone = true;
  watch.join();
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
  // Sanitizers keep freed memory.
  BOOST_TEST(peak - before < kMaxGrowthMiB);
#endif
  BOOST_TEST(before > 0);
  BOOST_TEST(served == 20);
}
