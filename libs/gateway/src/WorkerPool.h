#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace boragepitch::gateway {

/** Thread pool that starts a thread when none is idle and keeps it for later tasks. Thread-safe. */
class WorkerPool
{
public:
  WorkerPool() = default;
  /** Runs the queued tasks and waits for all threads. */
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  void run(std::function<void()> aTask);

private:
  void work();

  std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<std::function<void()>> mTasks;
  std::vector<std::thread> mThreads;
  size_t mIdle = 0;
  bool mStopping = false;
};

} // namespace boragepitch::gateway
