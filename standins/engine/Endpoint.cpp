#include "engine/Endpoint.h"

#include <algorithm>
#include <charconv>
#include <thread>

#include "base/Digest.h"
#include "base/Json.h"
#include "common/Program.h"

namespace boragepitch::standin {

namespace {

constexpr int64_t kMaxModelBytes = int64_t(1) << 40;
constexpr int64_t kMaxChunkBytes = 64 << 20;
constexpr size_t kMaxChunks = 1 << 20;

std::optional<size_t> parseIndex(const std::string& aText)
{
  size_t value = 0;
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return error == std::errc() && end == aText.data() + aText.size() ? std::optional(value)
                                                                    : std::nullopt;
}

net::HttpResponse notFound(const std::string& aWhat)
{
  return errorResponse(404, "notFound", aWhat);
}

net::HttpResponse invalid(const std::string& aWhat)
{
  return errorResponse(400, "invalid", aWhat);
}

} // namespace

Endpoint::Endpoint(const EngineOptions& aOptions,
                   std::shared_ptr<ChunkStore> aChunks,
                   std::shared_ptr<EngineFaults> aFaults,
                   std::string aInstance,
                   uint64_t aSeed)
  : mOptions(aOptions)
  , mChunks(std::move(aChunks))
  , mFaults(std::move(aFaults))
  , mInstance(std::move(aInstance))
  , mScheduler(aOptions.capacity, base::Milliseconds(aOptions.loadLagMs))
  , mCache(aOptions.cacheBlocks,
           base::Milliseconds(aOptions.eventLagMs),
           aOptions.eventGapPercent,
           aSeed)
  , mRole(aOptions.role)
{
  turnCold();
}

void Endpoint::addRoute(net::HttpServer& aServer,
                        const char* aMethod,
                        const char* aPath,
                        Handler aHandler)
{
  aServer.route(
    aMethod, aPath, [self = shared_from_this(), aHandler](const net::HttpRequest& aRequest) {
      self->waitOutStall();
      if (self->mDead) {
        return lostResponse();
      }
      net::HttpResponse response = (self.get()->*aHandler)(aRequest);
      return self->mDead ? lostResponse() : response;
    });
}

void Endpoint::addRoutes(net::HttpServer& aServer)
{
  addRoute(aServer, "GET", "/state", &Endpoint::state);
  addRoute(aServer, "POST", "/staging/{manifest}", &Endpoint::stage);
  addRoute(aServer, "DELETE", "/staging/{manifest}", &Endpoint::unstage);
  addRoute(aServer, "PUT", "/staging/{manifest}/chunks/{index}", &Endpoint::putChunk);
  addRoute(aServer, "GET", "/staging/{manifest}/chunks/{index}", &Endpoint::chunk);
  addRoute(aServer, "POST", "/orders", &Endpoint::order);
  addRoute(aServer, "POST", "/generate", &Endpoint::generate);
  addRoute(aServer, "DELETE", "/generate/{id}", &Endpoint::cancel);
  addRoute(aServer, "GET", "/generate/{id}", &Endpoint::outcome);
  addRoute(aServer, "GET", "/events", &Endpoint::events);
}

void Endpoint::die()
{
  std::lock_guard lock(mMutex);
  mDead = true;
  mDeath.notify_all();
}

void Endpoint::waitForDeath()
{
  std::unique_lock lock(mMutex);
  mDeath.wait(lock, [this] { return mDead.load(); });
}

void Endpoint::turnCold()
{
  mColdUntilMs = nowMs() + mOptions.coldMs;
}

bool Endpoint::isCold() const
{
  return nowMs() < mColdUntilMs;
}

void Endpoint::waitOutStall() const
{
  while (!mDead && nowMs() < mFaults->stallUntilMs) {
    std::this_thread::sleep_for(base::Milliseconds(5));
  }
}

net::HttpResponse Endpoint::state(const net::HttpRequest&)
{
  Json::Value body;
  body["instance"] = mInstance;
  body["cold"] = isCold();
  body["running"] = Json::UInt64(mScheduler.reportedRunning());
  body["capacity"] = Json::UInt64(mOptions.capacity);
  body["coldLimit"] = Json::UInt64(mOptions.coldLimit);
  body["warmLimit"] = Json::UInt64(mOptions.warmLimit);
  std::lock_guard lock(mMutex);
  body["loaded"] = loadedState();
  body["staged"] = stagedState();
  body["fencing"] = Json::Int64(mFencing);
  body["role"] = mRole;
  return jsonResponse(body);
}

Json::Value Endpoint::loadedState() const
{
  Json::Value list = Json::arrayValue;
  for (const auto& [model, loaded] : mLoaded) {
    Json::Value item;
    item["model"] = model;
    item["version"] = loaded->version;
    item["manifest"] = loaded->manifest;
    list.append(item);
  }
  return list;
}

Json::Value Endpoint::stagedState() const
{
  Json::Value list = Json::arrayValue;
  for (const auto& [manifest, staged] : mStaged) {
    Json::Value item;
    item["manifest"] = manifest;
    item["chunks"] = Json::UInt64(staged.present);
    item["whole"] = staged.present == staged.chunks.size();
    list.append(item);
  }
  return list;
}

net::HttpResponse Endpoint::stage(const net::HttpRequest& aRequest)
{
  auto body = base::parseJson(aRequest.body);
  if (!body || !body->isObject()) {
    return invalid("the body must be a JSON object");
  }
  auto size = base::requireInt(*body, "size", 0, kMaxModelBytes);
  auto chunkSize = base::requireInt(*body, "chunkSize", 1, kMaxChunkBytes);
  if (!size || !chunkSize) {
    return invalid((size ? chunkSize : size).error().describe());
  }
  size_t count = (*size + *chunkSize - 1) / *chunkSize;
  if (count > kMaxChunks) {
    return invalid("too many chunks");
  }
  std::lock_guard lock(mMutex);
  uint64_t used = 0;
  for (const auto& [manifest, staged] : mStaged) {
    used += staged.size;
  }
  const std::string& manifest = aRequest.pathParameters.at("manifest");
  if (mStaged.contains(manifest)) {
    return jsonResponse(Json::objectValue);
  }
  if (mOptions.memoryBytes > 0 && used + *size > mOptions.memoryBytes) {
    return errorResponse(507, "tooLarge", "not enough memory; release another manifest first");
  }
  mStaged[manifest] = Staged{ base::stringOr(*body, "model"),
                              base::stringOr(*body, "version"),
                              uint64_t(*size),
                              uint64_t(*chunkSize),
                              0,
                              std::vector<ChunkPtr>(count) };
  return jsonResponse(Json::objectValue);
}

net::HttpResponse Endpoint::unstage(const net::HttpRequest& aRequest)
{
  std::lock_guard lock(mMutex);
  bool found = mStaged.erase(aRequest.pathParameters.at("manifest")) > 0;
  return found ? jsonResponse(Json::objectValue) : notFound("manifest is not staged");
}

net::HttpResponse Endpoint::putChunk(const net::HttpRequest& aRequest)
{
  auto index = parseIndex(aRequest.pathParameters.at("index"));
  ChunkPtr chunk = mChunks->intern(base::asBytes(aRequest.body));
  std::lock_guard lock(mMutex);
  auto found = mStaged.find(aRequest.pathParameters.at("manifest"));
  if (found == mStaged.end()) {
    return notFound("manifest is not staged");
  }
  Staged& staged = found->second;
  if (!index || *index >= staged.chunks.size()) {
    return invalid("no such chunk");
  }
  uint64_t expected = std::min(staged.chunkSize, staged.size - *index * staged.chunkSize);
  if (chunk->bytes.size() != expected) {
    return invalid("the chunk must have " + std::to_string(expected) + " bytes");
  }
  staged.present += staged.chunks[*index] ? 0 : 1;
  staged.chunks[*index] = std::move(chunk);
  return jsonResponse(Json::objectValue);
}

net::HttpResponse Endpoint::chunk(const net::HttpRequest& aRequest)
{
  auto index = parseIndex(aRequest.pathParameters.at("index"));
  ChunkPtr chunk;
  {
    std::lock_guard lock(mMutex);
    auto found = mStaged.find(aRequest.pathParameters.at("manifest"));
    if (found != mStaged.end() && index && *index < found->second.chunks.size()) {
      chunk = found->second.chunks[*index];
    }
  }
  if (!chunk) {
    return notFound("chunk is not staged");
  }
  net::HttpResponse response;
  response.contentType = "application/octet-stream";
  response.body = base::asText(chunk->bytes);
  return response;
}

net::HttpResponse Endpoint::order(const net::HttpRequest& aRequest)
{
  auto body = base::parseJson(aRequest.body);
  if (!body || !body->isObject()) {
    return invalid("the body must be a JSON object");
  }
  int64_t fencing = base::intOr(*body, "fencing", 0);
  std::string kind = base::stringOr(*body, "kind");
  {
    std::lock_guard lock(mMutex);
    if (mOptions.honourFencing && fencing < mFencing) {
      Json::Value refusal;
      refusal["fencing"] = Json::Int64(mFencing);
      refusal["error"]["kind"] = "conflict";
      return jsonResponse(refusal, 409);
    }
    // An engine that ignores fencing runs every order, also one with a stale fencing number.
    mFencing = fencing;
    if (kind == "role") {
      mRole = base::stringOr(*body, "role", mRole);
      return jsonResponse(Json::objectValue);
    }
    if (kind == "unload") {
      mLoaded.erase(base::stringOr(*body, "model"));
      return jsonResponse(Json::objectValue);
    }
  }
  return kind == "load" ? load(*body) : invalid("kind must be load, unload or role");
}

net::HttpResponse Endpoint::load(const Json::Value& aOrder)
{
  std::string manifest = base::stringOr(aOrder, "manifest");
  std::vector<ChunkPtr> chunks;
  {
    std::lock_guard lock(mMutex);
    auto found = mStaged.find(manifest);
    if (found == mStaged.end()) {
      return notFound("manifest is not staged");
    }
    chunks = found->second.chunks;
  }
  // A load with missing chunks is executed; the wrong tokens then reveal it.
  auto loaded = std::make_shared<Loaded>(
    Loaded{ base::stringOr(aOrder, "version"), manifest, mChunks->wholeDigest(chunks) });
  std::this_thread::sleep_for(base::Milliseconds(mOptions.loadMs));
  std::lock_guard lock(mMutex);
  mLoaded[base::stringOr(aOrder, "model")] = std::move(loaded);
  turnCold();
  return jsonResponse(Json::objectValue);
}

net::HttpResponse Endpoint::events(const net::HttpRequest& aRequest)
{
  auto after = aRequest.query.find("after");
  return jsonResponse(
    mCache.eventsAfter(after == aRequest.query.end() ? 0 : parseIndex(after->second).value_or(0)));
}

} // namespace boragepitch::standin
