#pragma once

#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "Context.h"

namespace boragepitch::weights {

/** Threads that carry out the requests assigned by TransferCore. */
class ChunkFetcher
{
public:
  explicit ChunkFetcher(Context& aContext);
  ~ChunkFetcher();

  void start();
  /** Cancels requests whose manifest is no longer wanted. */
  void cancelStale();
  void join();

private:
  struct Result
  {
    FetchOutcome outcome = FetchOutcome::Failed;
    base::Duration retryAfter{ 0 };
    uint64_t bytes = 0;
  };
  struct Call
  {
    const Assignment* assignment;
    net::HttpClient* client;
  };

  void run();
  Result fetch(const Assignment& aAssignment);
  Result fetchFromOrigin(const Assignment& aAssignment, ChunkBlock& aBlock);
  Result fetchFromPeer(const Assignment& aAssignment, ChunkBlock& aBlock);
  Result stream(const Assignment& aAssignment, net::HttpClient& aClient, ChunkBlock& aBlock);
  Result store(const Assignment& aAssignment, std::shared_ptr<ChunkBlock> aBlock, Result aResult);
  bool isCurrent(const Assignment& aAssignment) const;

  Context& mContext;
  net::ClientPool mClients;
  std::mutex mCallsMutex;
  std::map<std::thread::id, Call> mCalls;
  std::vector<std::thread> mThreads;
};

} // namespace boragepitch::weights
