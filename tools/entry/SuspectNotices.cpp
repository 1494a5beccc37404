#include "SuspectNotices.h"

#include <algorithm>
#include <memory>

#include "base/Json.h"

namespace boragepitch::tools {

namespace {

/** Maximum RPCs in flight. An RPC takes about 1 ms, so 300 entries are notified within 20 ms. */
constexpr size_t kMaxThreads = 16;
/** Maximum queued RPCs. Further ones are dropped; gossip spreads their suspects. */
constexpr size_t kMaxWaiting = 4096;
/** A request crashes only a few engines before every entry refuses it, so notices are short. */
constexpr Json::ArrayIndex kMaxSuspects = 16;
constexpr size_t kMaxText = 256;

/** Shared by the RPCs of one notice. Fulfils the promise when the last of them ends or is dropped.
 */
struct Round
{
  std::promise<void> done;
  ~Round() { done.set_value(); }
};

} // namespace

Json::Value formatSuspects(const std::vector<control::Suspect>& aSuspects)
{
  Json::Value params;
  Json::Value& list = params["suspects"] = Json::arrayValue;
  for (const control::Suspect& suspect : aSuspects) {
    Json::Value item;
    item["fingerprint"] = suspect.fingerprint;
    item["crashId"] = suspect.crashId;
    list.append(item);
  }
  return params;
}

std::vector<control::Suspect> parseSuspects(const Json::Value& aParams)
{
  std::vector<control::Suspect> suspects;
  const Json::Value list = aParams.isObject() ? aParams["suspects"] : Json::Value();
  if (!list.isArray()) {
    return suspects;
  }
  for (Json::ArrayIndex i = 0; i < std::min(list.size(), kMaxSuspects); ++i) {
    control::Suspect suspect{ base::stringOr(list[i], "fingerprint"),
                              base::stringOr(list[i], "crashId") };
    bool valid = !suspect.fingerprint.empty() && !suspect.crashId.empty() &&
                 suspect.fingerprint.size() <= kMaxText && suspect.crashId.size() <= kMaxText;
    if (valid) {
      suspects.push_back(std::move(suspect));
    }
  }
  return suspects;
}

SuspectNotices::SuspectNotices(const control::FleetView& aFleet,
                               rpc::Authenticator& aAuthenticator,
                               std::string aSelf,
                               base::Milliseconds aTimeout)
  : mFleet(aFleet)
  , mClient(aAuthenticator, aTimeout)
  , mSelf(std::move(aSelf))
{
}

SuspectNotices::~SuspectNotices()
{
  std::deque<std::function<void()>> dropped;
  {
    std::lock_guard lock(mMutex);
    mStopping = true;
    dropped.swap(mCalls);
  }
  mWake.notify_all();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

/** Live entries come before unresponsive ones, which would delay the others. */
std::vector<net::Address> SuspectNotices::peers() const
{
  std::vector<net::Address> alive;
  std::vector<net::Address> silent;
  for (const auto& [id, node] : *mFleet.nodes()) {
    bool told = id != mSelf && node.state.kind == control::NodeKind::Entry &&
                node.liveness != control::Liveness::Dead;
    if (told) {
      auto& list = node.liveness == control::Liveness::Alive ? alive : silent;
      list.push_back(node.state.controlAddress);
    }
  }
  alive.insert(alive.end(), silent.begin(), silent.end());
  return alive;
}

std::shared_future<void> SuspectNotices::tell(const std::vector<control::Suspect>& aSuspects)
{
  auto round = std::make_shared<Round>();
  auto future = round->done.get_future().share();
  auto params = std::make_shared<const Json::Value>(formatSuspects(aSuspects));
  std::lock_guard lock(mMutex);
  for (net::Address& peer : peers()) {
    if (mStopping || mCalls.size() >= kMaxWaiting) {
      break;
    }
    mCalls.push_back([this, round, params, peer = std::move(peer)] {
      // An unreachable entry learns of the suspects by gossip.
      static_cast<void>(mClient.call(peer, kSuspectsMethod, *params));
    });
  }
  while (mThreads.size() < kMaxThreads && mThreads.size() < mCalls.size()) {
    mThreads.emplace_back([this] { work(); });
  }
  mWake.notify_all();
  return future;
}

void SuspectNotices::work()
{
  std::unique_lock lock(mMutex);
  for (;;) {
    mWake.wait(lock, [this] { return mStopping || !mCalls.empty(); });
    if (mCalls.empty()) {
      return;
    }
    auto call = std::move(mCalls.front());
    mCalls.pop_front();
    lock.unlock();
    call();
    call = nullptr;
    lock.lock();
  }
}

} // namespace boragepitch::tools
