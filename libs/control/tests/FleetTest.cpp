#define BOOST_TEST_MODULE controlFleet
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <atomic>
#include <thread>

#include "ControlSupport.h"
#include "control/Auth.h"
#include "control/Fleet.h"
#include "net/HttpClient.h"
#include "support/MemoryTable.h"
#include "support/TestAddress.h"
#include "telemetry/Log.h"

using namespace boragepitch;
using namespace boragepitch::control;
using base::Milliseconds;
using base::TimePoint;

namespace {

struct Logging
{
  Logging() { telemetry::startLogging("control_FleetTest", "test", telemetry::Level::Error); }
};
BOOST_TEST_GLOBAL_FIXTURE(Logging);

/** Real time plus an offset in milliseconds, which simulates a pause of the process. */
class JumpingClock final : public base::Clock
{
public:
  TimePoint now() const override
  {
    return std::chrono::steady_clock::now() + Milliseconds(jump.load());
  }
  std::atomic<int> jump{ 0 };
};

/** One fleet process on the loopback interface. */
struct Process
{
  Process(int aIndex,
          test::MemoryTable* aTable,
          std::vector<net::Address> aSeeds,
          FleetSettings aSettings = {})
    : index(aIndex)
  {
    authenticator = HmacAuthenticator::Builder()
                      .key("k1", std::string(32, 'k'))
                      .sender("node-" + std::to_string(aIndex))
                      .build()
                      .value();
    server = net::HttpServer::Builder().address(address).build();
    rpcServer = std::make_unique<rpc::RpcServer>(*authenticator, address.toString());
    rpcClient = std::make_unique<rpc::RpcClient>(*authenticator, Milliseconds(2000));
    if (aTable != nullptr) {
      store = ConfigStore::Builder()
                .table(*aTable)
                .codec(test::zoneCodec())
                .owner("node-" + std::to_string(aIndex))
                .build();
    }
    NodeState self = test::node(aIndex);
    self.incarnation = 0;
    self.controlAddress = address;
    fleet = Fleet::Builder()
              .self(self)
              .seeds(std::move(aSeeds))
              .configStore(store.get())
              .codec(test::zoneCodec())
              .rpcClient(*rpcClient)
              .rpcServer(*rpcServer)
              .clock(clock)
              .seed(aIndex)
              .settings(aSettings)
              .build();
    rpcServer->attach(*server);
    BOOST_REQUIRE(server->start());
    fleet->start();
  }

  ~Process() { stop(); }

  void stop()
  {
    fleet->stop();
    server->stop();
  }

  bool isFresh() const { return fleet->mayStartNewWork(clock.now()); }

  int index;
  net::Address address = test::unusedAddress();
  JumpingClock clock;
  std::unique_ptr<HmacAuthenticator> authenticator;
  std::unique_ptr<net::HttpServer> server;
  std::unique_ptr<rpc::RpcServer> rpcServer;
  std::unique_ptr<rpc::RpcClient> rpcClient;
  std::unique_ptr<ConfigStore> store;
  std::unique_ptr<Fleet> fleet;
};

using Processes = std::vector<std::unique_ptr<Process>>;

Processes startFleet(int aCount, test::MemoryTable* aTable, FleetSettings aSettings = {})
{
  Processes processes;
  for (int i = 0; i < aCount; ++i) {
    std::vector<net::Address> seeds;
    if (i > 0) {
      seeds.push_back(processes[0]->address);
    }
    processes.push_back(std::make_unique<Process>(i, aTable, seeds, aSettings));
  }
  return processes;
}

/** Polls the condition for at least 30 s. */
template<typename Condition>
bool eventually(Condition aCondition)
{
  for (int i = 0; i < 6000; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return false;
}

template<typename Condition>
bool all(const Processes& aProcesses, Condition aCondition)
{
  return std::all_of(
    aProcesses.begin(), aProcesses.end(), [&](const auto& aItem) { return aCondition(*aItem); });
}

bool knowAll(const Processes& aProcesses)
{
  return all(aProcesses, [&](const Process& aProcess) {
    auto table = aProcess.fleet->nodes();
    return table->size() == aProcesses.size() &&
           std::all_of(table->begin(), table->end(), [](const auto& aItem) {
             return aItem.second.liveness == Liveness::Alive;
           });
  });
}

uint64_t commitAndOffer(Process& aProcess, const std::string& aName)
{
  auto entry =
    aProcess.store->commit({ { DeclarationKind::Create, test::zone(aName, "region-0"), 0 } });
  BOOST_REQUIRE(entry);
  aProcess.fleet->offerRevision(*entry);
  return entry->revision;
}

/** Commits the first revision; without a configuration, a process starts no new work. */
void declareRegions(test::MemoryTable& aTable)
{
  auto writer = ConfigStore::Builder().table(aTable).codec(test::zoneCodec()).owner("w").build();
  std::vector<Declaration> declarations;
  for (int i = 0; i < 3; ++i) {
    std::string number = std::to_string(i);
    declarations.push_back(
      { DeclarationKind::Create, test::zone("first-" + number, "region-" + number), 0 });
  }
  BOOST_REQUIRE(writer->commit(declarations));
}

FleetSettings fastGossip()
{
  FleetSettings settings;
  settings.gossipInterval = Milliseconds(100);
  return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet)

// Guards against a change that reaches peers only by polling the store.
BOOST_AUTO_TEST_CASE(pushesAChangeToEveryProcess)
{
  test::MemoryTable table;
  declareRegions(table);
  Processes processes = startFleet(20, &table);
  BOOST_REQUIRE(eventually([&] { return knowAll(processes); }));
  BOOST_TEST(
    eventually([&] { return all(processes, [](auto& aItem) { return aItem.isFresh(); }); }));
  // With the store down, the change can only come from peers.
  auto entry =
    processes[3]->store->commit({ { DeclarationKind::Create, test::zone("z1", "region-0"), 0 } });
  BOOST_REQUIRE(entry);
  table.setDown(true);
  auto start = std::chrono::steady_clock::now();
  processes[3]->fleet->offerRevision(*entry);
  BOOST_TEST(eventually([&] {
    return all(processes, [](auto& aItem) { return aItem.fleet->config()->revision() == 2; });
  }));
  auto taken = std::chrono::steady_clock::now() - start;
  BOOST_TEST_MESSAGE("in effect at 20 processes after " << base::toMilliseconds(taken) << " ms");
}

// Guards against idle traffic beyond the budget of 7 KB/s.
BOOST_AUTO_TEST_CASE(staysWithinTheTrafficBudgetWhenIdle)
{
  test::MemoryTable table;
  Processes processes = startFleet(20, &table);
  BOOST_REQUIRE(eventually([&] { return knowAll(processes); }));
  std::this_thread::sleep_for(Milliseconds(2000)); // Lets the records converge.
  auto sum = [&](auto aMember) {
    uint64_t total = 0;
    for (const auto& process : processes) {
      total += (process->rpcClient.get()->*aMember)();
    }
    return total;
  };
  auto exchanges = [&] {
    uint64_t total = 0;
    for (const auto& process : processes) {
      total += process->fleet->dumpJson()["counters"]["exchanges"].asUInt64();
    }
    return total;
  };
  uint64_t sent = sum(&rpc::RpcClient::bytesSent);
  uint64_t received = sum(&rpc::RpcClient::bytesReceived);
  uint64_t before = exchanges();
  auto start = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(Milliseconds(4000));
  double seconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count() * 20;
  // Request and response headers of a call together take about 500 bytes.
  constexpr double kHeaderBytes = 500;
  double calls = double(exchanges() - before);
  double bytes = double(sum(&rpc::RpcClient::bytesSent) - sent) +
                 double(sum(&rpc::RpcClient::bytesReceived) - received) + calls * kHeaderBytes;
  BOOST_TEST_MESSAGE("idle: " << bytes / seconds << " B/s sent by each process with headers, "
                              << calls / seconds << " exchanges/s");
  BOOST_TEST(bytes / seconds < 3500);
}

// Guards against processes that stop new work while only the store is down, and against missing the
// store's recovery.
BOOST_AUTO_TEST_CASE(continuesWhileTheStoreIsDown)
{
  test::MemoryTable table;
  declareRegions(table);
  Processes processes = startFleet(6, &table, fastGossip());
  BOOST_REQUIRE(eventually([&] { return knowAll(processes); }));
  table.setDown(true);
  auto storeReadIsStale = [](const Process& aProcess) {
    Json::Value evidence = aProcess.fleet->dumpJson()["evidence"];
    return !evidence.isMember("store") || evidence["store"].asInt64() > 3000;
  };
  BOOST_TEST(eventually([&] { return all(processes, storeReadIsStale); }));
  BOOST_TEST(
    eventually([&] { return all(processes, [](auto& aItem) { return aItem.isFresh(); }); }));
  table.setDown(false);
  commitAndOffer(*processes[0], "z1");
  BOOST_TEST(eventually([&] {
    return all(processes, [](auto& aItem) { return aItem.fleet->config()->revision() == 2; });
  }));
  BOOST_TEST(
    eventually([&] { return !all(processes, storeReadIsStale) && processes[5]->isFresh(); }));
}

// Guards against a fleet started during a store outage that never loads the configuration.
BOOST_AUTO_TEST_CASE(waitsForTheStoreAfterARestart)
{
  test::MemoryTable table;
  auto writer = ConfigStore::Builder().table(table).codec(test::zoneCodec()).owner("w").build();
  for (int i = 0; i < 5; ++i) {
    auto zone = test::zone("z" + std::to_string(i), "region-0");
    BOOST_REQUIRE(writer->commit({ { DeclarationKind::Create, zone, 0 } }));
  }
  table.setDown(true);
  Processes processes = startFleet(4, &table, fastGossip());
  BOOST_REQUIRE(eventually([&] { return knowAll(processes); }));
  BOOST_TEST(processes[0]->fleet->config()->revision() == 0);
  table.setDown(false);
  BOOST_TEST(eventually([&] {
    return all(processes, [](auto& aItem) { return aItem.fleet->config()->revision() == 5; });
  }));
}

// Guards against an isolated process that still starts work, or does not resume after recovery.
BOOST_AUTO_TEST_CASE(stopsNewWorkWhenIsolated)
{
  test::MemoryTable table;
  declareRegions(table);
  Processes processes = startFleet(3, &table, fastGossip());
  BOOST_REQUIRE(eventually([&] { return knowAll(processes) && processes[0]->isFresh(); }));
  table.setDown(true);
  processes[1]->stop();
  processes[2]->stop();
  BOOST_TEST(eventually([&] { return !processes[0]->isFresh(); }));
  // It declares no peer dead: it is more likely cut off itself.
  auto nodes = processes[0]->fleet->nodes();
  BOOST_TEST((nodes->size() == 3));
  table.setDown(false);
  BOOST_TEST(eventually([&] { return processes[0]->isFresh(); }));
}

// Guards against work started on stale state right after a pause.
BOOST_AUTO_TEST_CASE(treatsItsStateAsStaleAfterAPause)
{
  test::MemoryTable table;
  declareRegions(table);
  FleetSettings settings = fastGossip();
  settings.isolationLimit = Milliseconds(60000);
  Process process(0, &table, {}, settings);
  BOOST_REQUIRE(eventually([&] { return process.isFresh(); }));
  table.setDown(true);
  process.clock.jump = 2500;
  BOOST_TEST(!process.isFresh());
  BOOST_TEST(
    eventually([&] { return process.fleet->dumpJson()["counters"]["pauses"].asUInt64() == 1; }));
  BOOST_TEST(!process.isFresh());
  table.setDown(false);
  BOOST_TEST(eventually([&] { return process.isFresh(); }));
}

// Guards against dead processes that stay alive in the table, and unannounced leaving ones.
BOOST_AUTO_TEST_CASE(detectsDeathAndLeaving)
{
  test::MemoryTable table;
  Processes processes = startFleet(6, &table, fastGossip());
  BOOST_REQUIRE(eventually([&] { return knowAll(processes); }));
  NodeState leaving = processes[4]->fleet->nodes()->at("node-4").state;
  leaving.phase = Phase::Leaving;
  processes[4]->fleet->publish(leaving);
  BOOST_TEST(eventually([&] {
    return all(processes, [](auto& aItem) {
      return aItem.fleet->nodes()->at("node-4").state.phase == Phase::Leaving;
    });
  }));
  processes[5]->stop();
  processes.pop_back();
  BOOST_TEST(eventually([&] {
    return all(processes, [](auto& aItem) {
      auto nodes = aItem.fleet->nodes();
      auto found = nodes->find("node-5");
      return found == nodes->end() || found->second.liveness == Liveness::Dead;
    });
  }));
}

// Guards against unsigned or malformed network messages that change the state.
RC_BOOST_PROP(ignoresUnsignedAndMalformedMessages, ())
{
  static test::MemoryTable table;
  static Process process(0, &table, {});
  static rpc::RpcClient keyed(*process.authenticator, Milliseconds(5000));
  auto body = *rc::gen::arbitrary<std::string>();
  net::HttpClient raw(process.address);
  auto refused = raw.send({ .method = "POST", .target = "/rpc", .body = body });
  RC_ASSERT(refused.has_value());
  RC_ASSERT(refused->status == 401);
  Json::Value params;
  params[*rc::gen::element<std::string>("rev", "records", "entries", "digest")] = body;
  for (const char* method : { "fleet.exchange", "fleet.deliver", "fleet.pull", "fleet.probe" }) {
    (void)keyed.call(process.address, method, params);
  }
  RC_ASSERT(process.fleet->nodes()->size() == 1U);
  RC_ASSERT(process.fleet->config()->revision() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
