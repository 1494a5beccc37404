#define BOOST_TEST_MODULE weights_engine_host
#include <boost/test/unit_test.hpp>

#include <map>
#include <mutex>

#include "Fakes.h"
#include "weights/EngineWeightHost.h"

using namespace boragepitch;
using namespace boragepitch::weights;

// Guards against an agent and an engine that disagree on the staging interface, and against a
// buffer overrun when the engine returns a chunk that is longer than declared.
BOOST_AUTO_TEST_CASE(stagingRoundTrip)
{
  auto bytes = test::randomBytes(10, 1);
  auto manifest = Manifest::fromBytes("m", "v", 8, bytes).value();
  const std::string staging = "/staging/" + manifest.id().toString();
  auto address = test::unusedAddress();
  auto server = net::HttpServer::Builder().address(address).build();
  std::map<std::string, std::string> stored;
  std::string allocated;
  std::mutex mutex; // The handlers run on the server's threads.
  server->route("POST", "/staging/{m}", [&](const net::HttpRequest& aRequest) {
    std::lock_guard lock(mutex);
    net::HttpResponse response;
    response.status = allocated.empty() ? 200 : 507;
    allocated = aRequest.body;
    return response;
  });
  server->route("PUT", "/{path...}", [&](const net::HttpRequest& aRequest) {
    std::lock_guard lock(mutex);
    stored[aRequest.path] = aRequest.body;
    return net::HttpResponse{};
  });
  server->route("GET", "/{path...}", [&](const net::HttpRequest& aRequest) {
    std::lock_guard lock(mutex);
    net::HttpResponse response;
    response.status = stored.contains(aRequest.path) ? 200 : 404;
    response.body = stored[aRequest.path];
    return response;
  });
  server->route("DELETE", "/{path...}", [&](const net::HttpRequest& aRequest) {
    std::lock_guard lock(mutex);
    net::HttpResponse response;
    response.status = stored.erase(aRequest.path) > 0 ? 200 : 404;
    return response;
  });
  BOOST_REQUIRE(server->start());
  EngineWeightHost host(address);
  {
    std::lock_guard lock(mutex);
    stored["/state"] = R"({"staged":[]})";
  }
  BOOST_TEST(!host.mayHold(manifest.id()));
  BOOST_REQUIRE(host.allocate(manifest).has_value());
  auto allocatedBody = [&] {
    std::lock_guard lock(mutex);
    return allocated;
  };
  BOOST_TEST(allocatedBody() == R"({"chunkSize":8,"model":"m","size":10,"version":"v"})");
  BOOST_TEST((host.allocate(manifest).error().kind == base::ErrorKind::TooLarge));
  BOOST_REQUIRE(host.write(manifest.id(), 1, std::span(bytes).subspan(8)).has_value());
  auto isStored = [&](const std::string& aPath) {
    std::lock_guard lock(mutex);
    return stored.contains(aPath);
  };
  BOOST_TEST(isStored(staging + "/chunks/1"));
  test::Bytes read(2);
  BOOST_TEST(host.read(manifest.id(), 1, read).value() == 2);
  BOOST_TEST((read == test::Bytes(bytes.begin() + 8, bytes.end())));
  test::Bytes small(1);
  BOOST_TEST((host.read(manifest.id(), 1, small).error().kind == base::ErrorKind::Corrupt));
  BOOST_TEST((host.read(manifest.id(), 0, read).error().kind == base::ErrorKind::NotFound));
  BOOST_TEST(host.release(manifest.id()).has_value());
  server->stop(); // The handlers use variables that are destroyed before the server.
}
