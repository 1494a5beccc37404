#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/Time.h"

namespace boragepitch::gateway {

/** Calls a function periodically on its own thread until destroyed. */
class RefreshLoop
{
public:
  RefreshLoop(std::function<void()> aRefresh, base::Duration aInterval)
    : mRefresh(std::move(aRefresh))
    , mInterval(aInterval)
    , mThread([this] { run(); })
  {
  }
  ~RefreshLoop()
  {
    {
      std::lock_guard lock(mMutex);
      mStopping = true;
    }
    mWake.notify_all();
    mThread.join();
  }
  RefreshLoop(const RefreshLoop&) = delete;
  RefreshLoop& operator=(const RefreshLoop&) = delete;

private:
  void run()
  {
    std::unique_lock lock(mMutex);
    while (!mStopping) {
      lock.unlock();
      mRefresh();
      lock.lock();
      mWake.wait_for(lock, mInterval, [this] { return mStopping; });
    }
  }

  const std::function<void()> mRefresh;
  const base::Duration mInterval;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace boragepitch::gateway
