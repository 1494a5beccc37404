#include "UpstreamCall.h"

namespace boragepitch::gateway {

namespace {

/** Bytes buffered for a slow reader before back pressure stops the sender. */
constexpr size_t kMaxBufferedBytes = 1 << 20;

} // namespace

std::shared_ptr<UpstreamCall> UpstreamCall::start(WorkerPool& aPool,
                                                  std::unique_ptr<net::HttpClient> aClient,
                                                  net::ClientRequest aRequest)
{
  auto call = std::make_shared<UpstreamCall>();
  call->mClient = std::move(aClient);
  aPool.run([call, request = std::move(aRequest)] { call->run(request); });
  return call;
}

void UpstreamCall::run(const net::ClientRequest& aRequest)
{
  onEnd(mClient->stream(
    aRequest,
    [this](const net::ClientResponse& aHead) { return onHead(aHead); },
    [this](std::string_view aBytes) { return onData(aBytes); }));
}

bool UpstreamCall::onHead(const net::ClientResponse& aHead)
{
  std::lock_guard lock(mMutex);
  mHead = aHead;
  mHasHead = true;
  mReadable.notify_one();
  return !mCancelled;
}

bool UpstreamCall::onData(std::string_view aBytes)
{
  std::unique_lock lock(mMutex);
  mWritable.wait(lock, [this] { return mCancelled || mData.size() < kMaxBufferedBytes; });
  mData.append(aBytes);
  mReadable.notify_one();
  return !mCancelled;
}

void UpstreamCall::onEnd(base::Result<net::ClientResponse> aResult)
{
  std::lock_guard lock(mMutex);
  if (!aResult) {
    mError = aResult.error();
  } else if (!mHasHead) {
    mHead = *aResult;
    mHasHead = true;
  }
  mEnded = true;
  mReadable.notify_one();
}

CallEvent UpstreamCall::next(std::string& aData, base::TimePoint aUntil)
{
  std::unique_lock lock(mMutex);
  auto readable = [this] { return (mHasHead && !mHeadTaken) || !mData.empty() || mEnded; };
  if (!mReadable.wait_until(lock, aUntil, readable)) {
    return CallEvent::Timeout;
  }
  if (mHasHead && !mHeadTaken) {
    mHeadTaken = true;
    return CallEvent::Head;
  }
  if (!mData.empty()) {
    aData.clear();
    aData.swap(mData);
    mWritable.notify_one();
    return CallEvent::Data;
  }
  return mError ? CallEvent::Failed : CallEvent::End;
}

void UpstreamCall::cancel()
{
  std::lock_guard lock(mMutex);
  mCancelled = true;
  mWritable.notify_one();
  // Null after takeClient(): the connection may already carry another call.
  if (mClient) {
    mClient->cancel();
  }
}

std::unique_ptr<net::HttpClient> UpstreamCall::takeClient()
{
  std::lock_guard lock(mMutex);
  return mEnded && !mError && !mCancelled ? std::move(mClient) : nullptr;
}

} // namespace boragepitch::gateway
