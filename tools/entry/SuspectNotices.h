#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/Time.h"
#include "control/FleetView.h"
#include "rpc/Rpc.h"

namespace boragepitch::tools {

/** RPC method on the control port by which entries notify each other of engine crashes. */
constexpr const char* kSuspectsMethod = "entry.suspects";

Json::Value formatSuspects(const std::vector<control::Suspect>& aSuspects);
/** Ignores malformed items and items beyond a maximum count. */
std::vector<control::Suspect> parseSuspects(const Json::Value& aParams);

/**
 * Notifies the other live entries of engine crashes by RPC, since gossip takes tens of
 * milliseconds. Entries that the RPC does not reach learn of the crash by gossip. Thread-safe.
 */
class SuspectNotices
{
public:
  /** The references must outlive this object. @param aTimeout timeout of each RPC. */
  SuspectNotices(const control::FleetView& aFleet,
                 rpc::Authenticator& aAuthenticator,
                 std::string aSelf,
                 base::Milliseconds aTimeout);
  /** Drops queued RPCs and waits for those in flight. */
  ~SuspectNotices();

  /** Returns at once. The future is ready when the RPC to every live entry has been acknowledged,
   * has failed or was dropped. */
  std::shared_future<void> notify(const std::vector<control::Suspect>& aSuspects);

private:
  void runCalls();
  std::vector<net::Address> peers() const;

  const control::FleetView& mFleet;
  rpc::RpcClient mClient;
  const std::string mSelf;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<std::function<void()>> mCalls;
  std::vector<std::thread> mThreads;
  bool mStopping = false;
};

} // namespace boragepitch::tools
