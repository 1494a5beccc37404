#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace boragepitch::control {

/** Fixed-size thread pool with a bounded FIFO queue. Thread-safe. */
class WorkPool
{
public:
  using Task = std::function<void()>;

  WorkPool(size_t aThreads, size_t aMaxQueued);
  ~WorkPool();

  /** False if the queue is full or the pool was stopped. */
  bool submit(Task aTask);
  /** Discards queued tasks and waits for running ones. Idempotent. */
  void stop();

private:
  void run();

  const size_t mMaxQueued;
  std::mutex mMutex; ///< Guards mTasks and mStopped.
  std::condition_variable mWake;
  std::deque<Task> mTasks;
  bool mStopped = false;
  std::vector<std::thread> mThreads;
};

} // namespace boragepitch::control
