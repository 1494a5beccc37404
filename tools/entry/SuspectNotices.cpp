#include "SuspectNotices.h"

#include <algorithm>
#include <memory>

#include "base/Json.h"
#include "telemetry/Log.h"

namespace boragepitch::tools {

namespace {

/** Maximum RPCs in flight. An RPC takes about 1 ms, so 300 entries are notified within 20 ms. */
constexpr size_t kMaxThreads = 16;
/** Maximum queued RPCs. Further ones are dropped; gossip spreads their suspects. */
constexpr size_t kMaxQueuedCalls = 4096;
/** A request crashes only a few engines before every entry refuses it, so notices are short. */
constexpr Json::ArrayIndex kMaxSuspects = 16;
constexpr size_t kMaxFieldBytes = 256;
/** A notice that takes longer may arrive after the caller's next attempt at another entry. */
constexpr base::Milliseconds kSlowNotice{ 50 };

/** Shared by the RPCs of one notice. Fulfils the promise when the last of them ends or is dropped.
 */
struct PendingNotice
{
  std::promise<void> done;
  ~PendingNotice() { done.set_value(); }
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
                 suspect.fingerprint.size() <= kMaxFieldBytes &&
                 suspect.crashId.size() <= kMaxFieldBytes;
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
  std::vector<net::Address> unresponsive;
  auto nodes = mFleet.nodes(); // Another thread may replace the table meanwhile.
  for (const auto& [id, node] : *nodes) {
    bool isPeer = id != mSelf && node.state.kind == control::NodeKind::Entry &&
                  node.liveness != control::Liveness::Dead;
    if (isPeer) {
      auto& list = node.liveness == control::Liveness::Alive ? alive : unresponsive;
      list.push_back(node.state.controlAddress);
    }
  }
  alive.insert(alive.end(), unresponsive.begin(), unresponsive.end());
  return alive;
}

std::shared_future<void> SuspectNotices::notify(const std::vector<control::Suspect>& aSuspects)
{
  auto notice = std::make_shared<PendingNotice>();
  auto future = notice->done.get_future().share();
  auto params = std::make_shared<const Json::Value>(formatSuspects(aSuspects));
  std::lock_guard lock(mMutex);
  for (net::Address& peer : peers()) {
    if (mStopping || mCalls.size() >= kMaxQueuedCalls) {
      break;
    }
    mCalls.push_back([this, notice, params, peer = std::move(peer)] {
      auto started = std::chrono::steady_clock::now();
      // An unreachable entry learns of the suspects by gossip.
      auto answered = mClient.call(peer, kSuspectsMethod, *params);
      auto time = base::toMilliseconds(std::chrono::steady_clock::now() - started);
      if (!answered || time > kSlowNotice.count()) {
        telemetry::logEvent(telemetry::Level::Warn,
                            answered ? "suspect_notice_slow" : "suspect_notice_failed",
                            { { "peer", peer.toString() },
                              { "error", answered ? "" : answered.error().describe() },
                              { "ms", std::to_string(time) } });
      }
    });
  }
  while (mThreads.size() < kMaxThreads && mThreads.size() < mCalls.size()) {
    mThreads.emplace_back([this] { runCalls(); });
  }
  mWake.notify_all();
  return future;
}

void SuspectNotices::runCalls()
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
