#include "ChunkServer.h"

#include <algorithm>
#include <charconv>

#include "base/Json.h"

namespace boragepitch::weights {

namespace {

constexpr base::Milliseconds kMaxPollWait{ 10000 };
/** Waiting uploads per slot when the uplink has no limit. */
constexpr size_t kWaitingUploadsPerSlot = 4;
constexpr size_t kMaxWaitingUploads = 64;
constexpr base::Milliseconds kMinRetryAfter{ 20 };

net::HttpResponse errorResponse(int aStatus, const char* aKind, const char* aMessage)
{
  Json::Value body;
  body["error"]["kind"] = aKind;
  body["error"]["message"] = aMessage;
  net::HttpResponse response;
  response.status = aStatus;
  response.body = base::writeJson(body);
  return response;
}

net::HttpResponse notFound()
{
  return errorResponse(404, "notFound", "this VM does not hold that");
}

std::optional<uint64_t> numberFrom(std::string_view aText)
{
  uint64_t value = 0;
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc{} || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

uint64_t queryNumber(const net::HttpRequest& aRequest, const char* aName)
{
  auto found = aRequest.query.find(aName);
  return found == aRequest.query.end() ? 0 : numberFrom(found->second).value_or(0);
}

std::optional<ManifestId> idFrom(const net::HttpRequest& aRequest)
{
  auto id = ManifestId::parse(aRequest.pathParameters.at("manifest"));
  return id ? std::optional(*id) : std::nullopt;
}

} // namespace

ChunkServer::ChunkServer(Context& aContext)
  : mContext(aContext)
  , mLocalGate(aContext.options.uploadSlots, kMaxWaitingUploads)
  , mCrossRegionGate(std::max<size_t>(1, aContext.options.uploadSlots / 2 + 1), kMaxWaitingUploads)
{
}

void ChunkServer::attach(net::HttpServer& aServer)
{
  using Request = net::HttpRequest;
  aServer.route("GET", "/w/{manifest}/manifest", [this](const Request& aRequest) {
    return manifest(aRequest);
  });
  aServer.route(
    "GET", "/w/{manifest}/have", [this](const Request& aRequest) { return have(aRequest); });
  aServer.route("GET", "/w/{manifest}/chunk/{chunk}", [this](const Request& aRequest) {
    return chunk(aRequest);
  });
}

void ChunkServer::stop()
{
  mLocalGate.stop();
  mCrossRegionGate.stop();
}

net::HttpResponse ChunkServer::manifest(const net::HttpRequest& aRequest)
{
  auto id = idFrom(aRequest);
  std::shared_ptr<const Manifest> manifest;
  {
    std::lock_guard lock(mContext.mutex);
    const Task* task = id ? mContext.core.find(*id) : nullptr;
    manifest = task != nullptr ? task->manifest : nullptr;
  }
  if (!manifest) {
    return notFound();
  }
  net::HttpResponse response;
  response.body = manifest->canonical();
  return response;
}

net::HttpResponse ChunkServer::have(const net::HttpRequest& aRequest)
{
  auto id = idFrom(aRequest);
  uint64_t since = queryNumber(aRequest, "since");
  auto wait = std::min<uint64_t>(queryNumber(aRequest, "wait_ms"), kMaxPollWait.count());
  auto until = std::chrono::steady_clock::now() + base::Milliseconds(wait);
  Json::Value body;
  {
    std::unique_lock lock(mContext.mutex);
    const Task* task = nullptr;
    mContext.announced.wait_until(lock, until, [&] {
      task = id ? mContext.core.find(*id) : nullptr;
      return mContext.stopping || task == nullptr || task->version != since;
    });
    if (task == nullptr || !task->manifest || mContext.stopping) {
      return notFound();
    }
    body["version"] = Json::UInt64(task->version);
    body["bits"] = task->own.toHex();
  }
  body["load"] = Json::UInt64(load());
  body["received"] = Json::UInt64(mContext.receivedBytes);
  net::HttpResponse response;
  response.body = base::writeJson(body);
  return response;
}

size_t ChunkServer::waitingLimit(uint32_t aChunkSize) const
{
  auto time = mContext.links.uplinkTime(aChunkSize);
  if (time <= base::Duration::zero()) {
    return kWaitingUploadsPerSlot * mContext.options.uploadSlots;
  }
  return std::clamp<size_t>(mContext.options.maxUploadQueueTime / time, 1, kMaxWaitingUploads);
}

net::HttpResponse ChunkServer::refuse(const UploadGate& aGate, uint32_t aChunkSize)
{
  mContext.metrics.refusedUploads.add();
  auto drain = base::toMilliseconds(mContext.links.uplinkTime(aChunkSize) * aGate.slots());
  auto retry = std::max<long long>(drain, kMinRetryAfter.count());
  auto response = errorResponse(503, "unavailable", "the uplink queue is long");
  response.headers = { { kRetryAfterHeader, std::to_string(retry) },
                       { "Retry-After", std::to_string((retry + 999) / 1000) } };
  return response;
}

net::HttpResponse ChunkServer::chunk(const net::HttpRequest& aRequest)
{
  auto id = idFrom(aRequest);
  auto number = numberFrom(aRequest.pathParameters.at("chunk"));
  std::shared_ptr<const Manifest> manifest;
  {
    std::lock_guard lock(mContext.mutex);
    const Task* task = id ? mContext.core.find(*id) : nullptr;
    if (task == nullptr || !number || *number >= task->own.size() ||
        !task->own.test(static_cast<uint32_t>(*number))) {
      return notFound();
    }
    manifest = task->manifest;
  }
  bool crossRegion =
    aRequest.header(kRegionHeader).value_or(mContext.localVm.region) != mContext.localVm.region;
  UploadGate& gate = crossRegion ? mCrossRegionGate : mLocalGate;
  gate.setMaxWaiting(waitingLimit(manifest->chunkSize()));
  auto missing = numberFrom(aRequest.header(kMissingHeader).value_or(""));
  auto ticket = gate.tryAdmit(static_cast<uint32_t>(
    std::min<uint64_t>(missing.value_or(manifest->chunkCount()), manifest->chunkCount())));
  if (!ticket) {
    return refuse(gate, manifest->chunkSize());
  }
  net::HttpResponse response;
  response.contentType = "application/octet-stream";
  response.stream = [this, manifest, ticket, chunk = static_cast<uint32_t>(*number), crossRegion](
                      net::StreamWriter& aWriter) {
    return send(aWriter, *ticket, *manifest, chunk, crossRegion);
  };
  return response;
}

std::shared_ptr<const ChunkBlock> ChunkServer::load(const Manifest& aManifest, uint32_t aChunk)
{
  if (auto cached = mContext.memory.find(aManifest.id(), aChunk)) {
    return cached;
  }
  mContext.metrics.cacheMisses.add();
  uint64_t generation = 0;
  {
    std::lock_guard lock(mContext.mutex);
    const Task* task = mContext.core.find(aManifest.id());
    generation = task != nullptr ? task->generation : 0;
  }
  auto block = readVerified(mContext, aManifest, aChunk);
  if (block) {
    mContext.memory.addToCache(aManifest.id(), aChunk, *block);
    return *block;
  }
  if (block.error().kind == base::ErrorKind::Corrupt) {
    std::lock_guard lock(mContext.mutex);
    mContext.core.chunkLost(aManifest.id(), generation, aChunk);
    mContext.notifyAll();
  }
  return nullptr;
}

net::StreamEnd ChunkServer::send(net::StreamWriter& aWriter,
                                 UploadGate::Ticket& aTicket,
                                 const Manifest& aManifest,
                                 uint32_t aChunk,
                                 bool aCrossRegion)
{
  if (!aTicket.waitForSlot([&] { return aWriter.peerIsConnected(); })) {
    return net::StreamEnd::Abort;
  }
  auto block = load(aManifest, aChunk);
  if (!block) {
    return net::StreamEnd::Abort;
  }
  auto rest = block->bytes();
  while (!rest.empty()) {
    auto slice = rest.first(std::min(rest.size(), mContext.links.sliceBytes()));
    if (!mContext.links.waitUp(slice.size(), aCrossRegion) || !aWriter.write(base::asText(slice))) {
      return net::StreamEnd::Abort;
    }
    mContext.metrics.sentBytes.add(slice.size());
    rest = rest.subspan(slice.size());
  }
  return net::StreamEnd::Complete;
}

} // namespace boragepitch::weights
