#include "FleetImpl.h"

namespace boragepitch::control {

Fleet::Builder& Fleet::Builder::self(NodeState aSelf)
{
  mSelf = std::move(aSelf);
  return *this;
}

Fleet::Builder& Fleet::Builder::seeds(std::vector<net::Address> aSeeds)
{
  mSeeds = std::move(aSeeds);
  return *this;
}

Fleet::Builder& Fleet::Builder::vmList(stores::VmList* aVmList)
{
  mVmList = aVmList;
  return *this;
}

Fleet::Builder& Fleet::Builder::configStore(ConfigStore* aStore)
{
  mStore = aStore;
  return *this;
}

Fleet::Builder& Fleet::Builder::codec(ResourceCodec aCodec)
{
  mCodec = std::move(aCodec);
  return *this;
}

Fleet::Builder& Fleet::Builder::rpcClient(rpc::RpcClient& aClient)
{
  mClient = &aClient;
  return *this;
}

Fleet::Builder& Fleet::Builder::rpcServer(rpc::RpcServer& aServer)
{
  mServer = &aServer;
  return *this;
}

Fleet::Builder& Fleet::Builder::clock(const base::Clock& aClock)
{
  mClock = &aClock;
  return *this;
}

Fleet::Builder& Fleet::Builder::seed(uint64_t aSeed)
{
  mSeed = aSeed;
  return *this;
}

Fleet::Builder& Fleet::Builder::settings(FleetSettings aSettings)
{
  mSettings = aSettings;
  return *this;
}

std::unique_ptr<Fleet> Fleet::Builder::build()
{
  static const base::SteadyClock kSteadyClock;
  if (mClock == nullptr) {
    mClock = &kSteadyClock;
  }
  return std::make_unique<FleetImpl>(*this);
}

} // namespace boragepitch::control
