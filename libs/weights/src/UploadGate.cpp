#include "UploadGate.h"

namespace boragepitch::weights {

UploadGate::Ticket::Ticket(UploadGate& aGate, uint32_t aMissing, uint64_t aNumber)
  : mGate(aGate)
  , mPlace(aMissing, aNumber)
{
}

UploadGate::Ticket::~Ticket()
{
  {
    std::lock_guard lock(mGate.mMutex);
    if (mHasSlot) {
      --mGate.mActive;
    } else {
      mGate.mWaiting.erase(mPlace);
    }
  }
  mGate.mChanged.notify_all();
}

UploadGate::UploadGate(size_t aSlots, size_t aMaxWaiting)
  : mSlots(aSlots)
  , mMaxWaiting(aMaxWaiting)
{
}

std::shared_ptr<UploadGate::Ticket> UploadGate::tryAdmit(uint32_t aMissing)
{
  std::lock_guard lock(mMutex);
  bool full = mActive + mWaiting.size() >= mSlots + mMaxWaiting;
  if (mStopped || full) {
    return nullptr;
  }
  uint64_t number = mNextNumber++;
  mWaiting.insert({ aMissing, number });
  return std::make_shared<Ticket>(*this, aMissing, number);
}

size_t UploadGate::load() const
{
  std::lock_guard lock(mMutex);
  return mActive + mWaiting.size();
}

void UploadGate::setMaxWaiting(size_t aCount)
{
  std::lock_guard lock(mMutex);
  mMaxWaiting = aCount;
}

void UploadGate::stop()
{
  {
    std::lock_guard lock(mMutex);
    mStopped = true;
  }
  mChanged.notify_all();
}

} // namespace boragepitch::weights
