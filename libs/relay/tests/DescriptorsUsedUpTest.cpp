#define BOOST_TEST_MODULE relay_descriptors_used_up
#include <boost/test/unit_test.hpp>

#include <vector>

#include <fcntl.h>
#include <sys/resource.h>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** Takes all descriptors that the process may still open. */
class UsedDescriptors
{
public:
  UsedDescriptors()
  {
    for (int descriptor = 0; (descriptor = ::open("/dev/null", O_RDONLY | O_CLOEXEC)) >= 0;) {
      mDescriptors.push_back(descriptor);
    }
  }
  ~UsedDescriptors()
  {
    for (int descriptor : mDescriptors) {
      ::close(descriptor);
    }
  }
  UsedDescriptors(const UsedDescriptors&) = delete;
  UsedDescriptors& operator=(const UsedDescriptors&) = delete;

private:
  std::vector<int> mDescriptors;
};

base::Duration processorTime()
{
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  auto seconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
  auto microseconds = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
  return std::chrono::seconds(seconds) + std::chrono::microseconds(microseconds);
}

} // namespace

// Guards against an event loop that accepts again at once when it has no descriptor left, and takes
// all processor time from the requests that it holds.
BOOST_FIXTURE_TEST_CASE(anAcceptThatFailsIsNotRepeatedAtOnce, Fixture)
{
  rlimit limit{ .rlim_cur = 64, .rlim_max = 64 };
  BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
  declare(serving::CallKind::Idempotent);
  int waiting = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(callers.port));
  inet_pton(AF_INET, callers.host.c_str(), &address.sin_addr);
  base::Duration used{};
  {
    UsedDescriptors all;
    BOOST_REQUIRE(::connect(waiting, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    auto before = processorTime();
    std::this_thread::sleep_for(500ms);
    used = processorTime() - before;
  }
  BOOST_TEST(base::toMilliseconds(used) < 100);
  sendAll(waiting, get("1"));
  BOOST_TEST(readMessage(waiting).starts_with("HTTP/1.1 503")); // No endpoint is listed.
  ::close(waiting);
}
