#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "engine/Endpoint.h"
#include "net/Address.h"

namespace boragepitch::standin {

/** One engine at one address; restarts it after each crash. */
class EngineServer
{
public:
  EngineServer(net::Address aAddress, EngineOptions aOptions, std::shared_ptr<ChunkStore> aChunks);
  ~EngineServer();

  /** Starts the first boot. */
  base::Status start();

private:
  struct Boot
  {
    std::shared_ptr<Endpoint> endpoint;
    std::unique_ptr<net::HttpServer> server;
  };

  Boot makeBoot();
  void supervise();
  void startNextBoot();
  net::HttpResponse fault(const net::HttpRequest& aRequest, Endpoint& aEndpoint);

  const net::Address mAddress;
  const EngineOptions mOptions;
  const std::shared_ptr<ChunkStore> mChunks;
  const std::shared_ptr<EngineFaults> mFaults;
  std::atomic<bool> mStopping{ false };
  uint64_t mBoots = 0;
  std::mutex mMutex;
  Boot mBoot;
  std::vector<std::thread> mStoppingServers;
  std::thread mSupervisor;
};

} // namespace boragepitch::standin
