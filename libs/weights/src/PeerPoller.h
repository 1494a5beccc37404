#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "Context.h"

namespace boragepitch::weights {

/** Long-polls the bitmaps of one peer on its own thread. */
class PeerPoller
{
public:
  PeerPoller(Context& aContext, std::string aPeer, net::Address aAddress);
  ~PeerPoller();

  const net::Address& address() const { return mAddress; }
  /** Cancels the poll in progress without waiting for the thread. */
  void requestStop();

private:
  struct Poll
  {
    std::shared_ptr<const Manifest> manifest;
    uint64_t since = 0;
  };

  void run();
  std::vector<Poll> pendingPolls();
  bool sendPoll(const Poll& aPoll, base::Milliseconds aWait);
  bool handleAnswer(const Poll& aPoll, const net::ClientResponse& aResponse);
  net::HttpClient& client();
  void dropClient();

  Context& mContext;
  const std::string mPeer;
  const net::Address mAddress;
  std::atomic<bool> mStopping{ false };
  std::map<ManifestId, uint64_t> mVersions;
  std::map<ManifestId, uint64_t> mReceivedBytes;
  std::mutex mClientMutex;
  std::unique_ptr<net::HttpClient> mClient;
  std::thread mThread;
};

} // namespace boragepitch::weights
