#define BOOST_TEST_MODULE control_stop_while_polling
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <thread>

#include "ControlSupport.h"
#include "control/Auth.h"
#include "control/Fleet.h"
#include "support/TestAddress.h"

using namespace boragepitch;
using namespace boragepitch::control;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t kRevision = 1;
/** Reads after which the store fails, so that the test ends. */
constexpr int kMaxReads = 100;

/** Has a configuration that the process does not know yet; its first read takes until release(). */
class SlowStore final : public ConfigStore
{
public:
  base::Result<LogEntry> commit(const std::vector<Declaration>&, std::optional<uint64_t>) override
  {
    return unavailable();
  }
  base::Result<resources::Resource> read(std::string_view, std::string_view) override
  {
    return unavailable();
  }
  base::Result<uint64_t> revision() override { return kRevision; }
  base::Result<std::shared_ptr<const resources::Snapshot>> load() override
  {
    ++reads;
    while (!mIsReleased) {
      std::this_thread::sleep_for(1ms);
    }
    if (reads > kMaxReads) {
      return unavailable();
    }
    return std::make_shared<const resources::Snapshot>(kRevision, resources::Snapshot::Map());
  }
  base::Result<std::vector<LogEntry>> entriesAfter(uint64_t, size_t) override
  {
    return unavailable();
  }

  void release() { mIsReleased = true; }

  std::atomic<int> reads{ 0 };

private:
  static tl::unexpected<base::Error> unavailable()
  {
    return base::fail(base::ErrorKind::Unavailable, "store", "not scripted", "");
  }

  std::atomic<bool> mIsReleased{ false };
};

} // namespace

// Guards against a process that never ends, and reads the store without pause, because it was asked
// to stop while it read a newer configuration.
BOOST_AUTO_TEST_CASE(aStopEndsTheReadOfTheStore)
{
  SlowStore store;
  auto authenticator =
    HmacAuthenticator::Builder().key("k1", std::string(32, 'k')).sender("node-0").build().value();
  NodeState self = test::node(0);
  self.controlAddress = boragepitch::test::unusedAddress();
  rpc::RpcServer rpcServer(*authenticator, self.controlAddress.toString());
  rpc::RpcClient rpcClient(*authenticator, base::Milliseconds(2000));
  base::SteadyClock clock;
  auto fleet = Fleet::Builder()
                 .self(self)
                 .configStore(&store)
                 .codec(test::zoneCodec())
                 .rpcClient(rpcClient)
                 .rpcServer(rpcServer)
                 .clock(clock)
                 .seed(1)
                 .build();
  fleet->start();
  while (store.reads == 0) {
    std::this_thread::sleep_for(1ms);
  }
  std::thread stopping([&] { fleet->stop(); });
  std::this_thread::sleep_for(100ms);
  store.release();
  stopping.join();
  BOOST_TEST(store.reads <= 2);
}
