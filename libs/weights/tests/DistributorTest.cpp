#define BOOST_TEST_MODULE weights_distributor
#include <boost/test/unit_test.hpp>

#include "Fakes.h"

using namespace boragepitch;
using namespace boragepitch::weights;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t kChunk = 16 << 10;

Manifest manifestOf(const test::Bytes& aBytes, const std::string& aVersion = "v1")
{
  return Manifest::fromBytes("m", aVersion, kChunk, aBytes).value();
}

/** One VM: host, chunk server and distributor. */
struct Vm
{
  Vm(const std::string& aId,
     const std::string& aRegion,
     test::FakeFleet& aFleet,
     test::FakeOrigin& aOrigin,
     test::FakeObjects& aObjects,
     DistributorOptions aOptions,
     std::shared_ptr<test::MemoryHost> aHost = std::make_shared<test::MemoryHost>())
    : id(aId)
    , region(aRegion)
    , host(std::move(aHost))
    , address(test::unusedAddress())
  {
    distributor = Distributor::Builder()
                    .fleet(&aFleet)
                    .origin(&aOrigin)
                    .objects(&aObjects)
                    .host(host.get())
                    .metrics(&metrics)
                    .node(id, aRegion + "-a", aRegion)
                    .originRegion("r1")
                    .options(aOptions)
                    .seed(base::fastHash(base::asBytes(id)))
                    .build()
                    .value();
    server = net::HttpServer::Builder().address(address).keepAlive(1s).build();
    distributor->attach(*server);
    BOOST_REQUIRE(server->start());
    aFleet.publish(
      { .id = id, .zone = region + "-a", .region = region, .weightsAddress = address });
    distributor->start();
  }
  ~Vm()
  {
    distributor->stop();
    server->stop();
  }

  TransferProgress progress() const
  {
    auto list = distributor->progress(std::chrono::steady_clock::now());
    return list.empty() ? TransferProgress{} : list.front();
  }

  std::string id;
  std::string region;
  std::shared_ptr<test::MemoryHost> host;
  net::Address address;
  telemetry::Registry metrics;
  std::unique_ptr<Distributor> distributor;
  std::unique_ptr<net::HttpServer> server;
};

struct Fleet
{
  explicit Fleet(test::Bytes aModel, double aOriginRate = 0)
    : model(std::move(aModel))
    , manifest(manifestOf(model))
    , origin(model, aOriginRate)
  {
    BOOST_REQUIRE(
      objects.put("manifests/" + manifest.id().toString(), manifest.canonical()).has_value());
    options.importerTimeout = 1000ms;
    options.stallTimeout = 1000ms;
    options.backoffCap = 500ms;
  }

  Vm& add(const std::string& aId, const std::string& aRegion)
  {
    vms.push_back(std::make_unique<Vm>(aId, aRegion, fleet, origin, objects, options));
    return *vms.back();
  }
  /** Chunk server with a scripted chunk handler; it claims to hold all chunks. */
  net::HttpServer& addScripted(const std::string& aId, const net::HttpHandler& aChunk)
  {
    auto address = test::unusedAddress();
    scripted.push_back(net::HttpServer::Builder().address(address).keepAlive(1s).build());
    Bitmap all(manifest.chunkCount());
    for (uint32_t i = 0; i < all.size(); ++i) {
      all.set(i);
    }
    scripted.back()->route("GET", "/w/{m}/have", [all](const net::HttpRequest& aRequest) {
      if (aRequest.query.at("since") == "1") {
        std::this_thread::sleep_for(100ms);
      }
      net::HttpResponse response;
      response.body = R"({"version":1,"load":0,"received":0,"bits":")" + all.toHex() + "\"}";
      return response;
    });
    scripted.back()->route("GET", "/w/{m}/chunk/{c}", aChunk);
    BOOST_REQUIRE(scripted.back()->start());
    fleet.publish({ .id = aId, .zone = "r1-a", .region = "r1", .weightsAddress = address });
    return *scripted.back();
  }
  void wantAll()
  {
    for (auto& vm : vms) {
      vm->distributor->setWanted({ { .manifest = manifest.id(), .originName = "m/v1" } });
    }
  }
  bool allHeld() const
  {
    return std::all_of(
      vms.begin(), vms.end(), [](const auto& aVm) { return aVm->distributor->held().size() == 1; });
  }
  void requireSameBytes() const
  {
    for (const auto& vm : vms) {
      BOOST_REQUIRE((vm->host->content(manifest.id()) == model));
    }
  }

  test::Bytes model;
  Manifest manifest;
  test::FakeFleet fleet;
  test::FakeOrigin origin;
  test::FakeObjects objects;
  DistributorOptions options;
  std::vector<std::unique_ptr<net::HttpServer>> scripted;
  std::vector<std::unique_ptr<Vm>> vms;
};

} // namespace

// Guards against VMs that end with wrong bytes, a fleet that reads the origin once for each VM, and
// more than about one copy sent into a region.
BOOST_AUTO_TEST_CASE(swarmConvergesWithFewOriginAndInterRegionBytes)
{
  Fleet fleet(test::randomBytes(64 * kChunk + 100, 1), 20e6);
  fleet.options.links = { .uplink = 10e6, .downlink = 10e6 };
  for (int i = 0; i < 9; ++i) {
    fleet.add("vm" + std::to_string(i), "r" + std::to_string(i % 3 + 1));
  }
  fleet.wantAll();
  BOOST_REQUIRE(test::eventually([&] { return fleet.allHeld(); }));
  fleet.requireSameBytes();
  double copies = static_cast<double>(fleet.origin.bytes) / fleet.model.size();
  BOOST_TEST(copies <= 1.2);
  std::map<std::string, uint64_t> crossing;
  for (const auto& vm : fleet.vms) {
    crossing[vm->region] += vm->progress().fromOtherRegions;
  }
  for (const auto& [region, bytes] : crossing) {
    BOOST_TEST_CONTEXT(region)
    {
      BOOST_TEST(bytes <= fleet.model.size() * 1.1);
    }
  }
}

// Guards against a scheme that does not finish, which would invalidate comparisons of schemes.
BOOST_AUTO_TEST_CASE(everySchemeConverges)
{
  for (Scheme scheme : { Scheme::Origin, Scheme::Chain, Scheme::Trees }) {
    Fleet fleet(test::randomBytes(20 * kChunk + 1, 2));
    fleet.options.scheme = scheme;
    for (int i = 0; i < 6; ++i) {
      fleet.add("vm" + std::to_string(i), "r" + std::to_string(i % 2 + 1));
    }
    fleet.wantAll();
    BOOST_TEST_CONTEXT(toString(scheme))
    {
      BOOST_REQUIRE(test::eventually([&] { return fleet.allHeld(); }));
      fleet.requireSameBytes();
    }
  }
}

// Guards against a corrupt chunk that is stored in the host or sent to another peer (F3).
BOOST_AUTO_TEST_CASE(corruptPeerIsAvoided)
{
  Fleet fleet(test::randomBytes(16 * kChunk, 3));
  std::atomic<int> served{ 0 };
  fleet.addScripted("bad", [&](const net::HttpRequest&) {
    ++served;
    net::HttpResponse response;
    response.body = std::string(kChunk, 'x');
    return response;
  });
  fleet.add("vm1", "r1");
  fleet.add("vm2", "r1");
  fleet.wantAll();
  BOOST_REQUIRE(test::eventually([&] { return fleet.allHeld(); }));
  fleet.requireSameBytes();
  BOOST_TEST(served > 0);
  // Each VM may have two requests at the peer before the first corrupt chunk is detected.
  BOOST_TEST(served <= 4);
}

// Guards against a transfer that waits for a peer which accepts requests but never answers (F2).
BOOST_AUTO_TEST_CASE(stalledPeerIsPassedOver)
{
  std::atomic<bool> release{ false };
  Fleet fleet(test::randomBytes(16 * kChunk, 4));
  fleet.addScripted("stalled", [&](const net::HttpRequest&) {
    test::eventually([&] { return release.load(); });
    net::HttpResponse response;
    response.status = 404;
    return response;
  });
  fleet.add("vm1", "r1");
  fleet.add("vm2", "r1");
  fleet.wantAll();
  bool held = test::eventually([&] { return fleet.allHeld(); });
  release = true;
  BOOST_REQUIRE(held);
  fleet.requireSameBytes();
}

// Guards against a flood of requests while the origin is down, and against a transfer that does not
// resume when the origin is back (F6).
BOOST_AUTO_TEST_CASE(originDownIsRetriedWithBackoff)
{
  Fleet fleet(test::randomBytes(8 * kChunk, 5));
  fleet.origin.down = true;
  for (int i = 0; i < 4; ++i) {
    fleet.add("vm" + std::to_string(i), "r1");
  }
  fleet.wantAll();
  BOOST_REQUIRE(test::eventually([&] { return fleet.origin.calls >= 4; }));
  std::this_thread::sleep_for(2s);
  // Four VMs with a backoff cap of 0.5 s; without backoff there would be far more requests.
  BOOST_TEST(fleet.origin.calls < 200);
  fleet.origin.down = false;
  BOOST_REQUIRE(test::eventually([&] { return fleet.allHeld(); }));
  fleet.requireSameBytes();
}

// Guards against weights of two versions in one host when the origin changes during the transfer
// (F4).
BOOST_AUTO_TEST_CASE(changedOriginIsReportedAndNothingIsHeld)
{
  Fleet fleet(test::randomBytes(64 * kChunk, 6), 1e6);
  Vm& vm = fleet.add("vm1", "r1");
  fleet.wantAll();
  BOOST_REQUIRE(test::eventually([&] { return vm.progress().chunksHeld >= 4; }));
  fleet.origin.replace(test::randomBytes(64 * kChunk, 7));
  BOOST_REQUIRE(
    test::eventually([&] { return vm.progress().state == TransferState::OriginChanged; }));
  BOOST_TEST(vm.distributor->held().empty());
  BOOST_TEST((vm.progress().error->kind == base::ErrorKind::Corrupt));
  auto content = vm.host->content(fleet.manifest.id());
  BOOST_TEST(content.size() == uint64_t{ vm.progress().chunksHeld } * kChunk);
}

// Guards against a cancelled manifest that stays in the engine or is still being fetched.
BOOST_AUTO_TEST_CASE(cancelledManifestIsReleased)
{
  Fleet fleet(test::randomBytes(64 * kChunk, 8), 1e6);
  Vm& vm = fleet.add("vm1", "r1");
  fleet.wantAll();
  BOOST_REQUIRE(test::eventually([&] { return vm.progress().chunksHeld >= 2; }));
  vm.distributor->setWanted({});
  BOOST_REQUIRE(test::eventually([&] { return !vm.host->isStaged(fleet.manifest.id()); }));
  BOOST_TEST(vm.distributor->fetching().empty());
  // Requests in flight when setWanted() returned may still end.
  std::this_thread::sleep_for(200ms);
  auto calls = fleet.origin.calls.load();
  std::this_thread::sleep_for(300ms);
  BOOST_TEST(fleet.origin.calls == calls);
}

// Guards against an agent that, after a restart, uses the chunks in its engine unverified or
// fetches all of them again.
BOOST_AUTO_TEST_CASE(restartKeepsVerifiedChunksOnly)
{
  Fleet fleet(test::randomBytes(16 * kChunk, 9));
  auto host = std::make_shared<test::MemoryHost>();
  BOOST_REQUIRE(host->allocate(fleet.manifest).has_value());
  for (uint32_t chunk = 0; chunk < 8; ++chunk) {
    test::Bytes bytes(fleet.model.begin() + chunk * kChunk,
                      fleet.model.begin() + (chunk + 1) * kChunk);
    bytes[0] ^= std::byte{ static_cast<unsigned char>(chunk == 3 ? 1 : 0) };
    BOOST_REQUIRE(host->write(fleet.manifest.id(), chunk, bytes).has_value());
  }
  fleet.vms.push_back(std::make_unique<Vm>(
    "vm1", "r1", fleet.fleet, fleet.origin, fleet.objects, fleet.options, host));
  fleet.wantAll();
  BOOST_REQUIRE(test::eventually([&] { return fleet.allHeld(); }));
  fleet.requireSameBytes();
  BOOST_TEST(fleet.origin.bytes == 9 * kChunk);
}

// Guards against a transfer that needs chunk memory for the whole model, and against exceeding the
// memory limit.
BOOST_AUTO_TEST_CASE(smallChunkMemoryIsEnough)
{
  Fleet fleet(test::randomBytes(64 * kChunk, 10));
  fleet.options.cacheBytes = 4 * kChunk;
  for (int i = 0; i < 3; ++i) {
    fleet.add("vm" + std::to_string(i), "r1");
  }
  fleet.wantAll();
  BOOST_REQUIRE(test::eventually([&] { return fleet.allHeld(); }));
  fleet.requireSameBytes();
  for (const auto& vm : fleet.vms) {
    BOOST_TEST(vm->distributor->dumpJson()["memoryPeakBytes"].asUInt64() <= 4 * kChunk);
  }
}

// Guards against an uplink limit that is applied to each peer instead of to all peers together.
BOOST_AUTO_TEST_CASE(peersShareOneUplink)
{
  constexpr double kRate = 2e6;
  Fleet fleet(test::randomBytes(64 * kChunk, 11));
  fleet.options.links.uplink = kRate;
  Vm& source = fleet.add("source", "r1");
  fleet.wantAll();
  BOOST_REQUIRE(test::eventually([&] { return fleet.allHeld(); }));
  fleet.origin.down = true;
  fleet.options.neighbours = 1;
  auto start = std::chrono::steady_clock::now();
  fleet.add("vm1", "r1");
  fleet.add("vm2", "r1");
  fleet.wantAll();
  BOOST_REQUIRE(test::eventually([&] { return fleet.allHeld(); }));
  std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
  auto sent = source.metrics.counter("bp_weights_sent_bytes_total", "").value();
  // The burst of the bucket is 5% of a second.
  BOOST_TEST(static_cast<double>(sent) <= kRate * (time.count() + 0.06) + 2 * kChunk);
}

// Guards against weights that use link capacity already taken by request traffic.
BOOST_AUTO_TEST_CASE(requestBytesTakePrecedence)
{
  constexpr double kRate = 4e6;
  Fleet fleet(test::randomBytes(64 * kChunk, 12));
  fleet.options.links.downlink = kRate;
  Vm& vm = fleet.add("vm1", "r1");
  auto start = std::chrono::steady_clock::now();
  vm.distributor->noteRequestBytes(0, static_cast<uint64_t>(kRate), false);
  fleet.wantAll();
  BOOST_REQUIRE(test::eventually([&] { return fleet.allHeld(); }));
  std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
  // One second for the request bytes plus the time for the model, minus the burst.
  BOOST_TEST(time.count() >= 1.0 + static_cast<double>(fleet.model.size()) / kRate - 0.2);
}

// Guards against a rollback that fetches again although the engine has room for both versions, and
// against a rollout that fails although releasing the old version makes room.
BOOST_AUTO_TEST_CASE(previousVersionIsKeptWhileThereIsRoom)
{
  Fleet fleet(test::randomBytes(8 * kChunk, 13));
  auto next = manifestOf(fleet.model, "v2");
  auto last = manifestOf(fleet.model, "v3");
  for (const Manifest* manifest : { &next, &last }) {
    BOOST_REQUIRE(
      fleet.objects.put("manifests/" + manifest->id().toString(), manifest->canonical()));
  }
  auto host = std::make_shared<test::MemoryHost>(16 * kChunk);
  fleet.vms.push_back(std::make_unique<Vm>(
    "vm1", "r1", fleet.fleet, fleet.origin, fleet.objects, fleet.options, host));
  auto& distributor = *fleet.vms[0]->distributor;
  auto wantOnly = [&](const Manifest& aManifest) {
    distributor.setWanted({ { .manifest = aManifest.id(), .originName = "m/v" } });
    return test::eventually([&] {
      auto held = distributor.held();
      return std::find(held.begin(), held.end(), aManifest.id().toString()) != held.end();
    });
  };
  BOOST_REQUIRE(wantOnly(fleet.manifest));
  BOOST_REQUIRE(wantOnly(next));
  auto bytes = fleet.origin.bytes.load();
  BOOST_REQUIRE(wantOnly(fleet.manifest));
  BOOST_TEST(fleet.origin.bytes == bytes);
  BOOST_REQUIRE(wantOnly(last));
  BOOST_TEST(distributor.held().size() == 2);
}
