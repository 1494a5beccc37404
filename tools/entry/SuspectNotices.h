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

/** Method of the control port by which entries tell each other of engine crashes. */
constexpr const char* kSuspectsMethod = "entry.suspects";

Json::Value formatSuspects(const std::vector<control::Suspect>& aSuspects);
/** Ignores malformed items and those beyond a bound. */
std::vector<control::Suspect> parseSuspects(const Json::Value& aParams);

/**
 * Tells the other live entries of engine crashes directly, since gossip takes tens of milliseconds.
 * Gossip remains for those that are not reached. Thread-safe.
 */
class SuspectNotices
{
public:
  /** The references outlive this object. @param aTimeout for each call. */
  SuspectNotices(const control::FleetView& aFleet,
                 rpc::Authenticator& aAuthenticator,
                 std::string aSelf,
                 base::Milliseconds aTimeout);
  /** Drops calls that have not started and waits for the others. */
  ~SuspectNotices();

  /** Returns at once. The future is ready when each live entry has acknowledged or its call has
   * failed. */
  std::shared_future<void> tell(const std::vector<control::Suspect>& aSuspects);

private:
  void work();
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
