#pragma once

#include <cstddef>

namespace boragepitch::serving {

/**
 * Bounds the bytes that a process holds for all requests and answers together. Each of them is
 * bounded as well, but the sum of the bounds exceeds the memory of a process. Not thread-safe.
 */
class MemoryBudget
{
public:
  explicit MemoryBudget(size_t aLimit)
    : mLimit(aLimit)
  {
  }

  size_t held() const { return mHeld; }
  /** True if something must be given up. */
  bool isExceeded() const { return mHeld > mLimit; }
  size_t limit() const { return mLimit; }
  /** Whether a request whose body has aBytes may be read. Long ones leave room for short ones and
   * for the answers to those that are underway. */
  bool admits(size_t aBytes) const
  {
    return mHeld + aBytes <= (aBytes <= kShortBody ? mLimit : mLimit / 4 * 3);
  }

private:
  friend class MemoryCharge;

  static constexpr size_t kShortBody = 64 << 10;

  const size_t mLimit;
  size_t mHeld = 0;
};

/** The bytes that one holder has in a budget. */
class MemoryCharge
{
public:
  explicit MemoryCharge(MemoryBudget& aBudget)
    : mBudget(aBudget)
  {
  }
  ~MemoryCharge() { set(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void set(size_t aBytes)
  {
    mBudget.mHeld += aBytes - mBytes; // Unsigned, so that it also counts down.
    mBytes = aBytes;
  }
  size_t bytes() const { return mBytes; }

private:
  MemoryBudget& mBudget;
  size_t mBytes = 0;
};

} // namespace boragepitch::serving
