#include "api/ResourceApi.h"

#include <atomic>
#include <stdexcept>
#include <thread>

#include "ApiErrors.h"
#include "ChangeLog.h"
#include "RequestReader.h"
#include "base/Digest.h"
#include "base/Json.h"
#include "resources/Codec.h"
#include "resources/Conditions.h"
#include "resources/Validate.h"
#include "rollout/Status.h"

namespace boragepitch::api {

namespace {

using base::Error;
using base::ErrorKind;
using net::HttpRequest;
using net::HttpResponse;
using resources::Change;
using resources::Resource;

// Tries to commit; after this many conflicts in a row the writer is told to retry later.
constexpr int kMaxCommitAttempts = 8;
constexpr base::Milliseconds kRetryAfter{ 1000 };

Error makeError(ErrorKind aKind, std::string aField, std::string aMessage, std::string aRemedy)
{
  return base::fail(aKind, std::move(aField), std::move(aMessage), std::move(aRemedy)).value();
}

std::string eventText(const char* aType, const Json::Value& aData, uint64_t aId)
{
  std::string text;
  if (aId != 0) {
    text += "id: " + std::to_string(aId) + "\n";
  }
  return text + "event: " + aType + "\ndata: " + base::writeJson(aData) + "\n\n";
}

const char* eventName(resources::DifferenceType aType)
{
  switch (aType) {
    case resources::DifferenceType::Added:
      return "added";
    case resources::DifferenceType::Changed:
      return "changed";
    case resources::DifferenceType::Removed:
      return "removed";
  }
  return "changed";
}

} // namespace

struct ResourceApi::Impl
{
  explicit Impl(const Builder& aBuilder)
    : store(*aBuilder.mStore)
    , fleet(*aBuilder.mFleet)
    , limits{ aBuilder.mMaxBodyBytes, aBuilder.mMaxBatch }
    , maxWatches(aBuilder.mMaxWatches)
    , heartbeat(aBuilder.mHeartbeat)
    , pollInterval(aBuilder.mPollInterval)
    , progress(aBuilder.mProgress)
    , changeLog(fleet.config(), aBuilder.mMaxLoggedChanges)
  {
    for (const std::string& key : aBuilder.mKeys) {
      keyDigests.push_back(base::sha256(base::asBytes(key)));
    }
    poller = std::thread([this] { pollFleetView(); });
  }

  ~Impl() { stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void stop()
  {
    changeLog.stop();
    if (!stopping.exchange(true)) {
      poller.join();
    }
  }

  void pollFleetView()
  {
    while (!stopping) {
      changeLog.append(fleet.config());
      std::this_thread::sleep_for(pollInterval);
    }
  }

  // Reads.

  static Json::Value withStatus(const rollout::StatusReader& aReader, const Resource& aResource)
  {
    Json::Value json = resources::toJson(aResource);
    json["status"] = resources::statusToJson(aReader.conditionsOf(aResource));
    return json;
  }

  static HttpResponse unknownKind(const std::string& aKind)
  {
    return errorResponse(makeError(ErrorKind::NotFound,
                                   "kind",
                                   "\"" + aKind.substr(0, 64) + "\" is not a kind",
                                   "give Endpoint, ModelVersion, Rollout, Service, Serving, Vm, "
                                   "Workspace or Zone"));
  }

  HttpResponse list(const HttpRequest& aRequest)
  {
    const std::string& kind = aRequest.pathParameters.at("kind");
    if (!resources::isKnownKind(kind)) {
      return unknownKind(kind);
    }
    auto watchParameter = aRequest.query.find("watch");
    if (watchParameter != aRequest.query.end() && watchParameter->second != "1") {
      return errorResponse(makeError(
        ErrorKind::Invalid, "watch", "is not 1", "give ?watch=1, or leave it out to list"));
    }
    if (watchParameter != aRequest.query.end()) {
      return watch(aRequest, kind);
    }
    auto snapshot = fleet.config();
    auto nodes = fleet.nodes();
    rollout::StatusReader reader(*snapshot, *nodes);
    Json::Value body(Json::objectValue);
    body["revision"] = Json::UInt64(snapshot->revision());
    body["items"] = Json::Value(Json::arrayValue);
    for (const auto& [key, resource] : snapshot->all()) {
      if (key.first == kind) {
        body["items"].append(withStatus(reader, *resource));
      }
    }
    return jsonResponse(200, body);
  }

  HttpResponse read(const HttpRequest& aRequest)
  {
    const std::string& kind = aRequest.pathParameters.at("kind");
    const std::string& name = aRequest.pathParameters.at("name");
    if (!resources::isKnownKind(kind)) {
      return unknownKind(kind);
    }
    auto snapshot = fleet.config();
    const Resource* resource = snapshot->find(kind, name);
    if (resource == nullptr) {
      return errorResponse(makeError(ErrorKind::NotFound,
                                     "name",
                                     kind + "/" + name.substr(0, 64) + " does not exist",
                                     "list the kind to see its names"));
    }
    auto nodes = fleet.nodes();
    return jsonResponse(200, withStatus(rollout::StatusReader(*snapshot, *nodes), *resource));
  }

  HttpResponse readProgress(const HttpRequest&)
  {
    return jsonResponse(200, progress ? progress() : Json::Value(Json::objectValue));
  }

  // Watches.

  HttpResponse watch(const HttpRequest& aRequest, const std::string& aKind)
  {
    auto from = readRevision(aRequest, "from");
    if (!from) {
      return errorResponse(from.error());
    }
    if (!changeLog.canStartAfter(*from)) {
      return revisionGone();
    }
    auto slot = std::make_shared<WatchSlot>(watches);
    if (slot->count > maxWatches || stopping) {
      Error error = makeError(
        ErrorKind::Unavailable, "watch", "too many watches here", "try another entry or later");
      error.retryAfter = kRetryAfter;
      return errorResponse(error);
    }
    HttpResponse response;
    response.contentType = "text/event-stream";
    response.headers.emplace_back("Cache-Control", "no-store");
    response.stream = [this, slot, aKind, from = *from](net::StreamWriter& aWriter) {
      return sendChanges(aWriter, aKind, from);
    };
    return response;
  }

  static HttpResponse revisionGone()
  {
    HttpResponse response =
      errorResponse(makeError(ErrorKind::NotFound,
                              "from",
                              "the change log does not reach back to this revision",
                              "list the kind again and watch from the revision of the list"));
    response.status = 410;
    return response;
  }

  net::StreamEnd sendChanges(net::StreamWriter& aWriter, const std::string& aKind, uint64_t aFrom)
  {
    uint64_t revision = aFrom;
    aWriter.write(": watching\n\n"); // Confirms to the watcher at once that the watch is open.
    while (aWriter.peerIsConnected()) {
      bool isLost = false;
      auto step = changeLog.next(revision, heartbeat, isLost);
      if (changeLog.isStopped()) {
        return net::StreamEnd::Complete;
      }
      if (isLost) {
        return net::StreamEnd::Abort; // The watcher resumes and gets 410.
      }
      if (step) {
        sendStep(aWriter, aKind, *step);
        revision = step->to;
      } else {
        aWriter.write(": heartbeat\n\n");
      }
    }
    return net::StreamEnd::Abort;
  }

  /** Only the last event carries the id, so that a watcher disconnected within a step resumes
   * before that step. */
  static void sendStep(net::StreamWriter& aWriter, const std::string& aKind, const Step& aStep)
  {
    std::string text;
    for (const resources::Difference& difference : aStep.differences) {
      if (difference.resource->kind == aKind) {
        text += eventText(eventName(difference.type), resources::toJson(*difference.resource), 0);
      }
    }
    Json::Value bookmark(Json::objectValue);
    bookmark["revision"] = Json::UInt64(aStep.to);
    aWriter.write(text + eventText("revision", bookmark, aStep.to));
  }

  // Writes.

  bool isAuthorized(const HttpRequest& aRequest) const
  {
    static constexpr std::string_view kScheme = "Bearer ";
    std::string header = aRequest.header("Authorization").value_or("");
    if (!std::string_view(header).starts_with(kScheme)) {
      return false;
    }
    base::Digest givenDigest =
      base::sha256(base::asBytes(std::string_view(header).substr(kScheme.size())));
    bool isKnown = false;
    for (const base::Digest& key : keyDigests) {
      isKnown = base::equalConstantTime(key, givenDigest) || isKnown;
    }
    return isKnown;
  }

  HttpResponse write(const HttpRequest& aRequest, const std::function<Changes()>& aRead)
  {
    if (!isAuthorized(aRequest)) {
      return errorResponse(makeError(ErrorKind::Unauthorized,
                                     "Authorization",
                                     "no valid operator key",
                                     "send Authorization: Bearer <operator key>"));
    }
    auto kind = aRequest.pathParameters.find("kind");
    if (kind != aRequest.pathParameters.end() && !resources::isKnownKind(kind->second)) {
      return unknownKind(kind->second);
    }
    if (aRequest.body.size() > limits.maxBytes) {
      return errorResponse(makeError(ErrorKind::TooLarge,
                                     "body",
                                     "a body of " + std::to_string(aRequest.body.size()) + " bytes",
                                     "send at most " + std::to_string(limits.maxBytes) + " bytes"));
    }
    Changes changes = aRead();
    return changes ? commit(*changes) : errorResponse(changes.error());
  }

  /** A validation holds for one revision only; it is repeated if another writer commits first. */
  HttpResponse commit(const std::vector<Change>& aChanges)
  {
    for (int attempt = 0; attempt < kMaxCommitAttempts; ++attempt) {
      auto latest = store.latest();
      if (!latest) {
        return errorResponse(asUnavailable(latest.error()));
      }
      std::vector<Error> errors = resources::validate(**latest, aChanges);
      if (!errors.empty()) {
        return errorResponse(errors);
      }
      auto revision = store.batch(aChanges, (*latest)->revision());
      if (revision) {
        return writtenResponse(aChanges, *revision);
      }
      if (revision.error().kind != ErrorKind::Conflict) {
        return errorResponse(revision.error());
      }
    }
    Error error =
      makeError(ErrorKind::Unavailable,
                "revision",
                "other writers changed the configuration each time; nothing was written",
                "send the same request again");
    error.retryAfter = kRetryAfter;
    return errorResponse(error);
  }

  /** A failed read has written nothing, whatever its kind of error. */
  static Error asUnavailable(Error aError)
  {
    aError.kind = ErrorKind::Unavailable;
    return aError;
  }

  static HttpResponse writtenResponse(const std::vector<Change>& aChanges, uint64_t aRevision)
  {
    Json::Value body(Json::objectValue);
    body["revision"] = Json::UInt64(aRevision);
    body["items"] = Json::Value(Json::arrayValue);
    for (const Change& change : aChanges) {
      Resource resource = change.resource;
      if (change.type != resources::ChangeType::Remove) {
        resource.resourceVersion = aRevision;
        body["items"].append(resources::toJson(resource));
      }
    }
    bool isCreation = aChanges.front().type == resources::ChangeType::Create;
    return jsonResponse(isCreation && aChanges.size() == 1 ? 201 : 200, body);
  }

  struct WatchSlot
  {
    explicit WatchSlot(std::atomic<size_t>& aWatches)
      : watches(aWatches)
      , count(++aWatches)
    {
    }
    ~WatchSlot() { --watches; }
    WatchSlot(const WatchSlot&) = delete;
    WatchSlot& operator=(const WatchSlot&) = delete;
    std::atomic<size_t>& watches;
    size_t count;
  };

  resources::ResourceStore& store;
  const control::FleetView& fleet;
  BodyLimits limits;
  size_t maxWatches;
  base::Milliseconds heartbeat;
  base::Milliseconds pollInterval;
  std::function<Json::Value()> progress;
  std::vector<base::Digest> keyDigests;
  ChangeLog changeLog;
  std::atomic<size_t> watches{ 0 };
  std::atomic<bool> stopping{ false };
  std::thread poller;
};

ResourceApi::ResourceApi(const Builder& aBuilder)
  : mImpl(std::make_unique<Impl>(aBuilder))
{
}

ResourceApi::~ResourceApi() = default;

void ResourceApi::stop()
{
  mImpl->stop();
}

void ResourceApi::attach(net::HttpServer& aServer)
{
  Impl* impl = mImpl.get();
  aServer.route("GET", "/api/v1/progress", [impl](const HttpRequest& aRequest) {
    return impl->readProgress(aRequest);
  });
  aServer.route("POST", "/api/v1/batch", [impl](const HttpRequest& aRequest) {
    return impl->write(aRequest, [&] { return readBatch(aRequest, impl->limits); });
  });
  aServer.route(
    "GET", "/api/v1/{kind}", [impl](const HttpRequest& aRequest) { return impl->list(aRequest); });
  aServer.route("GET", "/api/v1/{kind}/{name}", [impl](const HttpRequest& aRequest) {
    return impl->read(aRequest);
  });
  aServer.route("POST", "/api/v1/{kind}", [impl](const HttpRequest& aRequest) {
    return impl->write(aRequest, [&] { return readCreate(aRequest, impl->limits); });
  });
  aServer.route("PUT", "/api/v1/{kind}/{name}", [impl](const HttpRequest& aRequest) {
    return impl->write(aRequest, [&] { return readReplace(aRequest, impl->limits); });
  });
  aServer.route("DELETE", "/api/v1/{kind}/{name}", [impl](const HttpRequest& aRequest) {
    return impl->write(aRequest, [&] { return readRemove(aRequest); });
  });
  aServer.route("*", "/api/v1/{rest...}", [](const HttpRequest&) {
    HttpResponse response = errorResponse(makeError(ErrorKind::NotFound,
                                                    "path",
                                                    "no such path or method",
                                                    "see docs/api.md for paths and methods"));
    return response;
  });
}

ResourceApi::Builder& ResourceApi::Builder::store(resources::ResourceStore& aStore)
{
  mStore = &aStore;
  return *this;
}

ResourceApi::Builder& ResourceApi::Builder::fleet(const control::FleetView& aFleet)
{
  mFleet = &aFleet;
  return *this;
}

ResourceApi::Builder& ResourceApi::Builder::operatorKeys(std::vector<std::string> aKeys)
{
  mKeys = std::move(aKeys);
  return *this;
}

ResourceApi::Builder& ResourceApi::Builder::maxBodyBytes(size_t aBytes)
{
  mMaxBodyBytes = aBytes;
  return *this;
}

ResourceApi::Builder& ResourceApi::Builder::maxBatch(size_t aCount)
{
  mMaxBatch = aCount;
  return *this;
}

ResourceApi::Builder& ResourceApi::Builder::maxWatches(size_t aCount)
{
  mMaxWatches = aCount;
  return *this;
}

ResourceApi::Builder& ResourceApi::Builder::maxLoggedChanges(size_t aCount)
{
  mMaxLoggedChanges = aCount;
  return *this;
}

ResourceApi::Builder& ResourceApi::Builder::heartbeat(base::Milliseconds aInterval)
{
  mHeartbeat = aInterval;
  return *this;
}

ResourceApi::Builder& ResourceApi::Builder::pollInterval(base::Milliseconds aInterval)
{
  mPollInterval = aInterval;
  return *this;
}

ResourceApi::Builder& ResourceApi::Builder::progress(std::function<Json::Value()> aProgress)
{
  mProgress = std::move(aProgress);
  return *this;
}

std::unique_ptr<ResourceApi> ResourceApi::Builder::build()
{
  if (mStore == nullptr || mFleet == nullptr) {
    throw std::logic_error("ResourceApi needs a store and a fleet view");
  }
  for (const std::string& key : mKeys) {
    if (key.empty()) {
      throw std::logic_error("an empty operator key would admit everyone");
    }
  }
  return std::unique_ptr<ResourceApi>(new ResourceApi(*this));
}

} // namespace boragepitch::api
