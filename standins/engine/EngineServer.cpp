#include "engine/EngineServer.h"

#include <random>

#include "base/Digest.h"
#include "base/Json.h"
#include "common/Program.h"

namespace boragepitch::standin {

namespace {

constexpr size_t kMaxConnections = 512;
constexpr size_t kMaxBodyBytes = 65 << 20;
constexpr base::Milliseconds kBindRetry{ 10 };

} // namespace

EngineServer::EngineServer(net::Address aAddress,
                           EngineOptions aOptions,
                           std::shared_ptr<ChunkStore> aChunks)
  : mAddress(std::move(aAddress))
  , mOptions(std::move(aOptions))
  , mChunks(std::move(aChunks))
  , mFaults(std::make_shared<EngineFaults>())
{
}

EngineServer::~EngineServer()
{
  mStopping = true;
  {
    std::lock_guard lock(mMutex);
    if (mBoot.endpoint) {
      mBoot.endpoint->die();
    }
  }
  if (mSupervisor.joinable()) {
    mSupervisor.join();
  }
  for (std::thread& thread : mStoppingServers) {
    thread.join();
  }
}

EngineServer::Boot EngineServer::makeBoot()
{
  uint64_t seed = ++mBoots;
  std::string instance =
    mAddress.toString() + "-" + std::to_string(seed) + "-" + std::to_string(std::random_device{}());
  Boot boot;
  boot.endpoint = std::make_shared<Endpoint>(mOptions, mChunks, mFaults, instance, seed);
  boot.server = net::HttpServer::Builder()
                  .address(mAddress)
                  .maxConnections(kMaxConnections)
                  .maxBodyBytes(kMaxBodyBytes)
                  .build();
  boot.server->route(
    "POST", "/fault", [this, endpoint = boot.endpoint](const net::HttpRequest& aRequest) {
      return fault(aRequest, *endpoint);
    });
  boot.endpoint->addRoutes(*boot.server);
  return boot;
}

base::Status EngineServer::start()
{
  Boot boot = makeBoot();
  if (auto started = boot.server->start(); !started) {
    return started;
  }
  mBoot = std::move(boot);
  mSupervisor = std::thread([this] { supervise(); });
  return {};
}

void EngineServer::supervise()
{
  for (;;) {
    mBoot.endpoint->waitForDeath();
    auto died = std::chrono::steady_clock::now();
    // Closes the listening socket at once, then waits for the broken connections to end.
    mStoppingServers.emplace_back(
      [server = std::shared_ptr<net::HttpServer>(std::move(mBoot.server))] { server->stop(); });
    if (mStopping) {
      return;
    }
    std::this_thread::sleep_until(died + base::Milliseconds(mOptions.restartMs));
    startNextBoot();
  }
}

void EngineServer::startNextBoot()
{
  for (;;) {
    Boot boot = makeBoot();
    if (boot.server->start()) {
      std::lock_guard lock(mMutex);
      mBoot = std::move(boot);
      if (mStopping) {
        mBoot.endpoint->die();
      }
      return;
    }
    // The listening socket of the previous boot may still be open.
    std::this_thread::sleep_for(kBindRetry);
  }
}

net::HttpResponse EngineServer::fault(const net::HttpRequest& aRequest, Endpoint& aEndpoint)
{
  auto body = base::parseJson(aRequest.body);
  if (!body || !body->isObject()) {
    return errorResponse(400, "invalid", "the body must be a JSON object");
  }
  if (body->isMember("stallMs")) {
    mFaults->stallUntilMs = nowMs() + base::intOr(*body, "stallMs", 0);
  }
  if (body->isMember("cut")) {
    mFaults->cutStreams = base::intOr(*body, "cut", 0);
  }
  if (base::boolOr(*body, "turnCold", false)) {
    aEndpoint.turnCold();
  }
  if (base::boolOr(*body, "die", false)) {
    aEndpoint.die();
  }
  return jsonResponse(Json::objectValue);
}

} // namespace boragepitch::standin
