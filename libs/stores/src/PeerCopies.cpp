#include "stores/PeerCopies.h"

#include <algorithm>
#include <charconv>
#include <thread>

#include "base/Json.h"
#include "stores/SourceProgress.h"

namespace boragepitch::stores {

namespace {

using namespace std::chrono_literals;

constexpr const char* kPath = "/copy";
/** Answer of a process that has no such copy yet; its body says how far it is. */
constexpr int kStatusPending = 202;
constexpr const char* kProgress = "progress";
/** Time for which a process holds a request that it cannot answer yet. */
constexpr base::Milliseconds kHoldTime = 200ms;
/** Time for an answer beyond that, also of a busy process. A frozen one is given up after both. */
constexpr base::Milliseconds kAnswerTime = 400ms;
/** Slowest transfer of a copy. A process whose link is narrower than usual would be slower for its
 * children than the service: 10 Mbit/s between five of them are 100 kB in this time. */
constexpr net::ProgressLimit kTransferLimit{ .window = 400ms, .bytes = 128 << 10 };
constexpr base::Milliseconds kConnectTime = 300ms;
/** Delay before a process that refused the connection is asked again. */
constexpr base::Milliseconds kRetryTime = 50ms;
/** Processes that are asked before the service is read. While some have failed, the first one left
 * reads the service for the others: faster than if each did, over the same link. */
constexpr int kMaxSources = 5;
/** Time after the start in which the other processes are learnt. */
constexpr base::Milliseconds kDiscoveryTime = 500ms;
constexpr size_t kMaxCopyBytes = 16 << 20;
constexpr size_t kPieceBytes = 64 << 10;
constexpr size_t kMaxConnections = 32;
constexpr size_t kMaxRequestBytes = 1024;

uint64_t numberOr(const net::HttpRequest& aRequest, const char* aName, uint64_t aDefault)
{
  auto found = aRequest.query.find(aName);
  if (found == aRequest.query.end()) {
    return aDefault;
  }
  uint64_t number = aDefault;
  std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
  return number;
}

} // namespace

PeerCopies::PeerCopies(CopyHolder aSelf, std::function<void(const CopyAttempt&)> aOnAttempt)
  : mOnAttempt(std::move(aOnAttempt))
  , mServer(net::HttpServer::Builder()
              .address(aSelf.address)
              .maxConnections(kMaxConnections)
              .maxBodyBytes(kMaxRequestBytes)
              .build())
  , mDiscoveryEnd(std::chrono::steady_clock::now() + kDiscoveryTime)
  , mOrder(std::move(aSelf))
{
  mServer->route(
    "GET", kPath, [this](const net::HttpRequest& aRequest) { return serve(aRequest); });
}

PeerCopies::~PeerCopies()
{
  stop();
}

base::Status PeerCopies::start()
{
  return mServer->start();
}

void PeerCopies::stop()
{
  cancel();
  mTable.stop();
  mServer->stop();
}

void PeerCopies::setHolders(std::vector<CopyHolder> aHolders)
{
  {
    std::lock_guard lock(mMutex);
    mOrder.setHolders(std::move(aHolders));
    mKnowsHolders = true;
  }
  mKnown.notify_all();
}

std::optional<CopyHolder> PeerCopies::source()
{
  std::unique_lock lock(mMutex);
  mKnown.wait_until(lock, mDiscoveryEnd, [this] { return mKnowsHolders || mIsCancelled; });
  return mOrder.source(std::chrono::steady_clock::now());
}

bool PeerCopies::hasSource()
{
  return source().has_value();
}

std::optional<TableCopy> PeerCopies::fetch(const CopyRequest& aRequest)
{
  for (int asked = 0; asked < kMaxSources && !mIsCancelled; ++asked) {
    auto holder = source();
    if (!holder) {
      return std::nullopt;
    }
    CopyAttempt attempt{ .source = holder->name };
    auto startedAt = std::chrono::steady_clock::now();
    auto copy = fetchFrom(*holder, aRequest, attempt.bytes);
    auto now = std::chrono::steady_clock::now();
    attempt.duration = std::chrono::duration_cast<base::Milliseconds>(now - startedAt);
    if (!copy) {
      attempt.status = tl::make_unexpected(copy.error());
    }
    mOnAttempt(attempt);
    std::lock_guard lock(mMutex);
    mClient.reset();
    if (copy) {
      mOrder.succeeded(holder->name);
      return std::move(*copy);
    }
    mOrder.failed(holder->name, now);
  }
  return std::nullopt;
}

base::Result<TableCopy> PeerCopies::fetchFrom(const CopyHolder& aSource,
                                              const CopyRequest& aRequest,
                                              size_t& aBytes)
{
  net::ClientOptions options;
  options.connectTimeout = kConnectTime;
  options.readTimeout = kHoldTime + kAnswerTime;
  options.keepAlive = true;
  auto client = std::make_shared<net::HttpClient>(aSource.address, options);
  {
    std::lock_guard lock(mMutex);
    mClient = client;
  }
  net::ClientRequest request;
  request.target = std::string(kPath) + "?after=" + std::to_string(aRequest.after);
  if (aRequest.era) {
    request.target += "&era=" + std::to_string(*aRequest.era);
  }
  request.totalTimeout = kHoldTime + kAnswerTime;
  request.progress = kTransferLimit;
  SourceProgress progress(aRequest.announcedBytes, std::chrono::steady_clock::now());
  while (!mIsCancelled) {
    auto sentAt = std::chrono::steady_clock::now();
    auto response = client->send(request, kMaxCopyBytes);
    auto now = std::chrono::steady_clock::now();
    if (!response) {
      // Processes that start together listen one after the other; a VM that does not answer at all
      // is gone.
      bool isRefused = response.error().kind == base::ErrorKind::Unavailable &&
                       now - sentAt < base::Duration(kConnectTime);
      if (!isRefused || progress.hasStalled(now)) {
        return tl::make_unexpected(response.error());
      }
      std::this_thread::sleep_for(kRetryTime);
      continue;
    }
    if (response->status == 200) {
      aBytes = response->body.size();
      mReceived += aBytes;
      return readTableCopy(response->body);
    }
    auto json = base::parseJson(response->body);
    if (response->status != kStatusPending || !json || !json->isObject() ||
        !(*json)[kProgress].isUInt64()) {
      return base::fail(base::ErrorKind::Unavailable,
                        aSource.name,
                        "answered " + std::to_string(response->status),
                        "ask another process");
    }
    mReceived += progress.observe((*json)[kProgress].asUInt64(), now);
    if (progress.hasStalled(now) || progress.isInVain()) {
      return base::fail(base::ErrorKind::Timeout,
                        aSource.name,
                        "does not receive the change either",
                        "ask another process");
    }
  }
  return base::fail(base::ErrorKind::Cancelled, aSource.name, "cancelled", "");
}

net::HttpResponse PeerCopies::serve(const net::HttpRequest& aRequest)
{
  CopyRequest request{ .after = numberOr(aRequest, "after", 0) };
  if (aRequest.query.contains("era")) {
    request.era = numberOr(aRequest, "era", 0);
  }
  net::HttpResponse response;
  if (auto text = mTable.waitFor(request, std::chrono::steady_clock::now() + kHoldTime)) {
    response.contentType = "application/octet-stream";
    // Written in pieces, so that those who take the copy at once share one text.
    response.stream = [text](net::StreamWriter& aWriter) {
      std::string_view rest = *text;
      while (!rest.empty()) {
        if (!aWriter.write(rest.substr(0, kPieceBytes))) {
          return net::StreamEnd::Abort;
        }
        rest.remove_prefix(std::min(kPieceBytes, rest.size()));
      }
      return net::StreamEnd::Complete;
    };
    return response;
  }
  Json::Value pending;
  pending[kProgress] = Json::UInt64(progress());
  response.status = kStatusPending;
  response.body = base::writeJson(pending);
  return response;
}

uint64_t PeerCopies::progress()
{
  std::lock_guard lock(mMutex);
  return mReceived + (mFeed ? mFeed->receivedBytes() : 0) +
         (mClient ? mClient->receivedBytes() : 0);
}

void PeerCopies::reset(const TableCopy& aCopy)
{
  mTable.reset(aCopy);
}

void PeerCopies::apply(const RowPage& aPage, std::optional<uint64_t> aEra, bool aIsLarge)
{
  mTable.apply(aPage, aEra, aIsLarge);
}

void PeerCopies::setFeed(std::shared_ptr<RowFeed> aFeed)
{
  std::lock_guard lock(mMutex);
  mFeed = std::move(aFeed);
}

void PeerCopies::cancel()
{
  mIsCancelled = true;
  {
    std::lock_guard lock(mMutex);
    if (mClient) {
      mClient->cancel();
    }
  }
  mKnown.notify_all();
}

} // namespace boragepitch::stores
