#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/Time.h"
#include "control/ConfigStore.h"
#include "control/FleetView.h"
#include "net/Address.h"
#include "rpc/Rpc.h"
#include "stores/Stores.h"

namespace boragepitch::control {

struct FleetSettings
{
  size_t fanout = 4; ///< Number of peers that a new revision is pushed to.
  base::Milliseconds gossipInterval{ 1000 };
  base::Milliseconds suspicionTimeout{ 3000 };
  base::Milliseconds isolationLimit{ 3000 };
  base::Milliseconds pauseLimit{ 2000 };
  double pollBudget = 40;                     ///< Store polls per second of the whole fleet.
  base::Milliseconds maxPollPeriod{ 16000 };  ///< Longest poll period of one process.
  base::Milliseconds vmListInterval{ 10000 }; ///< Period of reading the VM list.
  base::Milliseconds vmListGrace{ 60000 };   ///< From leaving the VM list to removal of the record.
  base::Milliseconds deadRetention{ 30000 }; ///< From being declared dead to removal of the record.
  double recordBytesPerSecond = 5000; ///< Rate limit for sending node records; bursts of 8 s.
  bool gossipConfig = true; ///< False: the configuration comes only from polling the store.
  int controlPort = 7001;   ///< Control port of the VMs in the VM list.
};

/**
 * Takes part in the control plane for this process: gossip, failure detection, configuration and
 * freshness. Build it before the HTTP server of its RpcServer starts; call start() after that.
 */
class Fleet : public FleetView
{
public:
  class Builder
  {
  public:
    /** id, kind, zone, region and addresses must be set. Incarnation 0 means wall-clock time. */
    Builder& self(NodeState aSelf);
    /** Control addresses to contact first. */
    Builder& seeds(std::vector<net::Address> aSeeds);
    /** Optional. All references and pointers must outlive the fleet. */
    Builder& vmList(stores::VmList* aVmList);
    /** Optional; without it, the configuration comes only from peers. */
    Builder& configStore(ConfigStore* aStore);
    Builder& codec(ResourceCodec aCodec);
    Builder& rpcClient(rpc::RpcClient& aClient);
    /** build() adds the methods "fleet.*". Attach aServer after build(), and stop its HTTP server
     * before destroying the fleet. */
    Builder& rpcServer(rpc::RpcServer& aServer);
    Builder& clock(const base::Clock& aClock);
    Builder& seed(uint64_t aSeed);
    Builder& settings(FleetSettings aSettings);
    std::unique_ptr<Fleet> build();

  private:
    friend class Fleet;
    friend class FleetImpl;
    NodeState mSelf;
    std::vector<net::Address> mSeeds;
    stores::VmList* mVmList = nullptr;
    ConfigStore* mStore = nullptr;
    ResourceCodec mCodec;
    rpc::RpcClient* mClient = nullptr;
    rpc::RpcServer* mServer = nullptr;
    const base::Clock* mClock = nullptr;
    uint64_t mSeed = 1;
    FleetSettings mSettings;
  };

  using Callback = std::function<void()>;

  virtual void start() = 0;
  /** Stops all threads; also called by the destructor. Idempotent. */
  virtual void stop() = 0;
  /** Adopts a change that this process has just committed and pushes it to peers at once. */
  virtual void offerRevision(const LogEntry& aEntry) = 0;
  /** Callbacks run on a fleet thread with no lock held; register them before start(). */
  virtual void onConfigChange(Callback aCallback) = 0;
  virtual void onNodesChange(Callback aCallback) = 0;
  virtual Json::Value dumpJson() const = 0;
};

} // namespace boragepitch::control
