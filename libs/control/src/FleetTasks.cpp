#include "FleetImpl.h"

#include "base/Json.h"
#include "telemetry/Log.h"

namespace boragepitch::control {

namespace {

constexpr const char* kExchange = "fleet.exchange";
constexpr const char* kDeliver = "fleet.deliver";
constexpr const char* kPull = "fleet.pull";
constexpr const char* kPing = "fleet.ping";
constexpr const char* kProbe = "fleet.probe";

constexpr size_t kIndirectProbes = 2;
constexpr size_t kEntriesPerRead = 200;

const Json::Value kEmptyParams(Json::objectValue);

/** False for errors returned by the peer itself, which show that it is alive. */
bool isTransportFailure(const base::Error& aError)
{
  return aError.kind == base::ErrorKind::Unavailable || aError.kind == base::ErrorKind::Timeout ||
         aError.kind == base::ErrorKind::UnknownOutcome;
}

base::Result<Json::Value> malformed(const std::string& aField)
{
  return base::fail(base::ErrorKind::Invalid, aField, "malformed message", "send a valid message");
}

} // namespace

void FleetImpl::addMethods()
{
  rpc::RpcServer& server = *mOptions.mServer;
  auto add = [&](const char* aName, auto aMethod) {
    server.addMethod(aName, [aMethod](const Json::Value& aParams) -> base::Result<Json::Value> {
      try {
        return aMethod(aParams);
      } catch (const Json::Exception&) {
        return malformed("params");
      }
    });
  };
  add(kExchange, [this](const Json::Value& aParams) {
    Lock lock(mMutex);
    auto answer = mCore.answerExchange(aParams, now(), mRng);
    applyEffects(lock);
    return answer;
  });
  add(kDeliver, [this](const Json::Value& aParams) {
    Lock lock(mMutex);
    auto answer = mCore.answerDeliver(aParams, now());
    applyEffects(lock);
    return answer;
  });
  add(kPull, [this](const Json::Value& aParams) {
    Lock lock(mMutex);
    return mCore.answerPull(aParams);
  });
  add(kPing, [this](const Json::Value&) -> base::Result<Json::Value> {
    Json::Value answer;
    answer["id"] = mOptions.mSelf.id;
    return answer;
  });
  add(kProbe, [this](const Json::Value& aParams) -> base::Result<Json::Value> {
    auto target = net::parseAddress(base::stringOr(aParams, "target"));
    if (!target) {
      return malformed("target");
    }
    auto reached = mClient.call(*target, kPing, kEmptyParams);
    Json::Value answer;
    answer["id"] = reached ? base::stringOr(*reached, "id") : "";
    return answer;
  });
}

void FleetImpl::exchange(const Partner& aPartner)
{
  Lock lock(mMutex);
  Json::Value request = mCore.exchangeRequest(aPartner.id);
  bool join = !mJoined;
  ++mCounters.exchanges;
  lock.unlock();
  base::TimePoint sent = now();
  auto answer = mClient.call(aPartner.address, kExchange, request);
  bool isUnreachable = !answer && isTransportFailure(answer.error());
  lock.lock();
  auto accepted =
    answer ? mCore.handleExchangeAnswer(*answer, sent, now()) : tl::make_unexpected(answer.error());
  bool isBehind =
    mSettings.gossipConfig && accepted && accepted->revision > mCore.config().revision();
  if (!accepted) {
    ++mCounters.exchangesFailed;
  }
  applyEffects(lock);
  lock.unlock();
  if (isUnreachable && !aPartner.id.empty()) {
    probeIndirectly(aPartner);
  } else if (accepted) {
    if (isBehind || join) {
      pull(aPartner.address, join);
    }
    lock.lock();
    mCore.applyEvidence(*accepted);
    applyEffects(lock);
    lock.unlock();
    if (accepted->reconcile && !join) {
      reconcile(aPartner.address, *accepted->reconcile);
    }
  }
  lock.lock();
  --mExchangesInFlight;
}

void FleetImpl::reconcile(const net::Address& aPeer, const Json::Value& aRequest)
{
  auto answer = mClient.call(aPeer, kDeliver, aRequest);
  if (!answer) {
    return;
  }
  Lock lock(mMutex);
  auto more = mCore.handleDeliverAnswer(*answer, now());
  applyEffects(lock);
  lock.unlock();
  if (more && *more) {
    (void)mClient.call(aPeer, kDeliver, **more);
  }
}

void FleetImpl::probeIndirectly(const Partner& aPartner)
{
  std::vector<net::Address> relays;
  {
    Lock lock(mMutex);
    const NodeTable& table = mCore.nodes().table();
    auto ids =
      choosePeers(table, mCore.nodes().self(), PeerScope::OtherZones, kIndirectProbes + 1, mRng);
    std::erase(ids, aPartner.id);
    for (size_t i = 0; i < std::min(ids.size(), kIndirectProbes); ++i) {
      relays.push_back(table.at(ids[i]).state.controlAddress);
    }
  }
  Json::Value request;
  request["target"] = aPartner.address.toString();
  for (const net::Address& relay : relays) {
    auto answer = mClient.call(relay, kProbe, request);
    if (answer && base::stringOr(*answer, "id") == aPartner.id) {
      return;
    }
  }
  Lock lock(mMutex);
  mCore.reportUnreachable(aPartner.id, now());
  applyEffects(lock);
}

void FleetImpl::push(uint64_t aAfter, const Effects& aEffects)
{
  uint64_t after = mSettings.gossipConfig ? aAfter : mCore.config().revision();
  auto request = mCore.pushRequest(after, aEffects, now());
  if (!request) {
    return;
  }
  const NodeTable& table = mCore.nodes().table();
  for (const std::string& id :
       choosePushPeers(table, mCore.nodes().self(), mSettings.fanout, mRng)) {
    net::Address peer = table.at(id).state.controlAddress;
    ++mCounters.pushes;
    // If the push is lost, later exchanges deliver the same changes.
    mPool->submit(
      [this, peer, message = *request] { (void)mClient.call(peer, kDeliver, message); });
  }
}

void FleetImpl::pull(const net::Address& aPeer, bool aWithNodes)
{
  Lock lock(mMutex);
  if (mPulling) {
    return;
  }
  mPulling = true;
  Json::Value request = mCore.pullRequest(aWithNodes);
  ++mCounters.pulls;
  lock.unlock();
  auto answer = mClient.call(aPeer, kPull, request);
  lock.lock();
  if (answer) {
    auto accepted = mCore.handlePullAnswer(*answer, now());
    mJoined = mJoined || (accepted && aWithNodes);
    if (!accepted) {
      telemetry::logEvent(
        telemetry::Level::Warn,
        "pull-rejected",
        { { "peer", aPeer.toString() }, { "error", accepted.error().describe() } });
    }
  }
  mPulling = false;
  applyEffects(lock);
}

void FleetImpl::pollStore()
{
  base::TimePoint sent = now();
  auto revision = mOptions.mStore->revision();
  bool isUpToDate = revision && refreshFromStore(*revision);
  Lock lock(mMutex);
  ++mCounters.polls;
  if (isUpToDate) {
    mCore.storeAnswered(*revision, sent);
    mPollSchedule.succeeded(mCore.liveNodes(), now(), mRng);
  } else {
    ++mCounters.pollsFailed;
    mPollSchedule.failed(mCore.liveNodes(), now(), mRng);
  }
  mPolling = false;
  applyEffects(lock);
}

bool FleetImpl::refreshFromStore(uint64_t aRevision)
{
  // After a stop, config() no longer follows what is adopted.
  while (!isStopped()) {
    uint64_t known = config()->revision();
    if (known >= aRevision) {
      return true;
    }
    base::Result<std::vector<LogEntry>> entries = std::vector<LogEntry>();
    if (known > 0) {
      entries = mOptions.mStore->entriesAfter(known, kEntriesPerRead);
    }
    bool needsSnapshot =
      known == 0 || (!entries && entries.error().kind == base::ErrorKind::NotFound);
    if (needsSnapshot) {
      auto loaded = mOptions.mStore->load();
      if (!loaded) {
        return false;
      }
      Lock lock(mMutex);
      mCore.adopt(std::move(*loaded));
      applyEffects(lock);
    } else if (!entries || entries->empty()) {
      return false;
    } else {
      Lock lock(mMutex);
      mCore.adopt(*entries);
      applyEffects(lock);
    }
  }
  return false;
}

void FleetImpl::readVmList()
{
  auto vms = mOptions.mVmList->list();
  Lock lock(mMutex);
  mReadingVmList = false;
  ++mCounters.vmListReads;
  if (!vms) {
    return;
  }
  mCore.updateVmList(*vms, now());
  mVmListAddresses.clear();
  for (const stores::ListedVm& vm : *vms) {
    mVmListAddresses.push_back({ vm.address, mSettings.controlPort });
  }
  applyEffects(lock);
}

} // namespace boragepitch::control
