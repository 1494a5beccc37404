#include "WorkerPool.h"

namespace boragepitch::gateway {

WorkerPool::~WorkerPool()
{
  {
    std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void WorkerPool::run(std::function<void()> aTask)
{
  std::lock_guard lock(mMutex);
  mTasks.push_back(std::move(aTask));
  if (mIdle >= mTasks.size()) {
    mWake.notify_one();
  } else {
    mThreads.emplace_back([this] { work(); });
  }
}

void WorkerPool::work()
{
  std::unique_lock lock(mMutex);
  for (;;) {
    ++mIdle;
    mWake.wait(lock, [this] { return mStopping || !mTasks.empty(); });
    --mIdle;
    if (mTasks.empty()) {
      return;
    }
    auto task = std::move(mTasks.front());
    mTasks.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
}

} // namespace boragepitch::gateway
