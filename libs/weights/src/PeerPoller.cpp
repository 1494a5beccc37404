#include "PeerPoller.h"

#include <algorithm>

#include "Selection.h"
#include "base/Json.h"

namespace boragepitch::weights {

namespace {
constexpr base::Milliseconds kPollWait{ 1000 };
constexpr base::Milliseconds kRetryInterval{ 100 };
constexpr size_t kMaxAnswerBytes = 256 << 10;
} // namespace

PeerPoller::PeerPoller(Context& aContext, std::string aPeer, net::Address aAddress)
  : mContext(aContext)
  , mPeer(std::move(aPeer))
  , mAddress(std::move(aAddress))
  , mThread([this] { run(); })
{
}

PeerPoller::~PeerPoller()
{
  requestStop();
  mThread.join();
}

void PeerPoller::requestStop()
{
  mStopping = true;
  std::lock_guard lock(mClientMutex);
  if (mClient) {
    mClient->cancel();
  }
}

void PeerPoller::run()
{
  while (!mStopping && !mContext.stopping) {
    auto list = pendingPolls();
    bool answered = !list.empty();
    for (const Poll& poll : list) {
      auto wait = kPollWait / static_cast<int64_t>(list.size() * list.size());
      answered = !mStopping && sendPoll(poll, wait) && answered;
    }
    mContext.pause(answered ? mContext.options.announceInterval : kRetryInterval);
  }
}

std::vector<PeerPoller::Poll> PeerPoller::pendingPolls()
{
  std::vector<Poll> list;
  std::lock_guard lock(mContext.mutex);
  for (const Task* task : mContext.core.ordered()) {
    const PeerView* view = task->isFetching() ? findPeer(task->peers, mPeer) : nullptr;
    if (view != nullptr) {
      // 0 makes the peer answer at once; needed while its bitmap is not known.
      uint64_t since = view->have.size() == 0 ? 0 : mVersions[task->manifest->id()];
      list.push_back({ task->manifest, since });
    }
  }
  return list;
}

net::HttpClient& PeerPoller::client()
{
  std::lock_guard lock(mClientMutex);
  if (!mClient) {
    net::ClientOptions options;
    options.readTimeout = kPollWait + mContext.options.stallTimeout;
    options.keepAlive = true;
    mClient = std::make_unique<net::HttpClient>(mAddress, options);
  }
  if (mStopping) {
    mClient->cancel();
  }
  return *mClient;
}

void PeerPoller::dropClient()
{
  std::lock_guard lock(mClientMutex);
  mClient.reset();
}

bool PeerPoller::sendPoll(const Poll& aPoll, base::Milliseconds aWait)
{
  const ManifestId& id = aPoll.manifest->id();
  auto response =
    client().send({ .target = "/w/" + id.toString() + "/have?since=" + std::to_string(aPoll.since) +
                              "&wait_ms=" + std::to_string(aWait.count()) },
                  kMaxAnswerBytes);
  if (!response) {
    dropClient();
  }
  if (response && response->status == 200 && handleAnswer(aPoll, *response)) {
    return true;
  }
  std::lock_guard lock(mContext.mutex);
  mContext.core.noteNoBitmap(id, mPeer);
  mVersions.erase(id);
  mContext.notifyWork();
  return false;
}

bool PeerPoller::handleAnswer(const Poll& aPoll, const net::ClientResponse& aResponse)
{
  const ManifestId& id = aPoll.manifest->id();
  auto body = base::parseJson(aResponse.body, { .bytes = kMaxAnswerBytes, .depth = 4 });
  if (!body) {
    return false;
  }
  auto bits = Bitmap::fromHex(base::stringOr(*body, "bits"), aPoll.manifest->chunkCount());
  if (!bits) {
    return false;
  }
  auto received = static_cast<uint64_t>(base::intOr(*body, "received", 0));
  auto load = static_cast<uint32_t>(std::clamp<int64_t>(base::intOr(*body, "load", 0), 0, 1000));
  bool progress = received != mReceivedBytes[id];
  mReceivedBytes[id] = received;
  std::lock_guard lock(mContext.mutex);
  mVersions[id] = static_cast<uint64_t>(base::intOr(*body, "version", 0));
  mContext.core.noteBitmap(id, mPeer, *bits, load, progress, std::chrono::steady_clock::now());
  mContext.notifyWork();
  return true;
}

} // namespace boragepitch::weights
