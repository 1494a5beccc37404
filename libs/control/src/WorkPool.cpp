#include "WorkPool.h"

namespace boragepitch::control {

WorkPool::WorkPool(size_t aThreads, size_t aMaxQueued)
  : mMaxQueued(aMaxQueued)
{
  for (size_t i = 0; i < aThreads; ++i) {
    mThreads.emplace_back([this] { run(); });
  }
}

WorkPool::~WorkPool()
{
  stop();
}

bool WorkPool::submit(Task aTask)
{
  {
    std::lock_guard lock(mMutex);
    if (mStopped || mTasks.size() >= mMaxQueued) {
      return false;
    }
    mTasks.push_back(std::move(aTask));
  }
  mWake.notify_one();
  return true;
}

void WorkPool::stop()
{
  {
    std::lock_guard lock(mMutex);
    mStopped = true;
    mTasks.clear();
  }
  mWake.notify_all();
  for (std::thread& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void WorkPool::run()
{
  std::unique_lock lock(mMutex);
  while (true) {
    mWake.wait(lock, [this] { return mStopped || !mTasks.empty(); });
    if (mStopped) {
      return;
    }
    Task task = std::move(mTasks.front());
    mTasks.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

} // namespace boragepitch::control
