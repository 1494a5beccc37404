#include <thread>

#include "Commands.h"
#include "base/Json.h"
#include "net/HttpServer.h"
#include "resources/Codec.h"

namespace boragepitch::bpctl {

namespace {

// Entries learn of a commit within about 1 s, so a read may be stale and the write may conflict.
constexpr int kMaxAttempts = 10;
constexpr base::Milliseconds kRetryDelay{ 300 };
constexpr size_t kMaxFileBytes = 64 << 20;

std::string pathOf(const Json::Value& aResource)
{
  return net::percentEncode(aResource["kind"].asString()) + "/" +
         net::percentEncode(aResource["name"].asString());
}

std::string labelOf(const Json::Value& aResource)
{
  return aResource["kind"].asString() + "/" + aResource["name"].asString();
}

/** Fills in the defaults of omitted spec fields, so that they compare equal. */
Json::Value withDefaults(const Json::Value& aResource)
{
  return resources::toJson(resources::fromJson(aResource).value());
}

/** Retries aTry on conflicts, at most kMaxAttempts calls in all. */
template<typename Try>
base::Result<Json::Value> retryOnConflict(Try&& aTry)
{
  base::Result<Json::Value> result = aTry();
  for (int i = 1; i < kMaxAttempts && !result && result.error().kind == base::ErrorKind::Conflict;
       ++i) {
    std::this_thread::sleep_for(kRetryDelay);
    result = aTry();
  }
  return result;
}

class Applier
{
public:
  Applier(ApiClient& aClient, const std::vector<Json::Value>& aResources)
    : mClient(aClient)
    , mResources(aResources)
  {
  }

  /** Commits the differences. Returns null when there are none. */
  base::Result<Json::Value> run()
  {
    mChanges = Json::Value(Json::arrayValue);
    mLabels.clear();
    for (const Json::Value& resource : mResources) {
      auto added = add(resource);
      if (!added) {
        return tl::make_unexpected(added.error());
      }
    }
    if (mChanges.empty()) {
      return Json::Value(Json::nullValue);
    }
    Json::Value body(Json::objectValue);
    body["changes"] = mChanges;
    return mClient.call("POST", "batch", body);
  }

  const std::vector<std::string>& labels() const { return mLabels; }

private:
  base::Status add(const Json::Value& aResource)
  {
    auto stored = mClient.call("GET", pathOf(aResource));
    if (!stored && stored.error().kind != base::ErrorKind::NotFound) {
      return tl::make_unexpected(stored.error());
    }
    Json::Value wanted = withDefaults(aResource);
    if (!stored) {
      append("create", wanted);
      return {};
    }
    // Compare as text, since jsoncpp treats equal signed and unsigned integers as different.
    if (base::writeJson((*stored)["spec"]) == base::writeJson(wanted["spec"])) {
      mLabels.push_back(labelOf(wanted) + " unchanged");
      return {};
    }
    // A resourceVersion in the file is a precondition set by the operator, so keep it.
    if (!aResource.isMember("resourceVersion")) {
      wanted["resourceVersion"] = (*stored)["resourceVersion"];
    }
    append("replace", wanted);
    return {};
  }

  void append(const char* aType, const Json::Value& aResource)
  {
    Json::Value& change = mChanges.append(Json::Value(Json::objectValue));
    change["type"] = aType;
    change["resource"] = aResource;
    mLabels.push_back(labelOf(aResource) +
                      (std::string(aType) == "create" ? " created" : " replaced"));
  }

  ApiClient& mClient;
  const std::vector<Json::Value>& mResources;
  Json::Value mChanges;
  std::vector<std::string> mLabels;
};

bool reportErrors(const std::vector<Json::Value>& aResources, Streams aStreams)
{
  bool found = false;
  for (size_t i = 0; i < aResources.size(); ++i) {
    for (base::Error error : resources::findErrors(aResources[i])) {
      error.field = "[" + std::to_string(i) + "]." + error.field;
      report(error, aStreams);
      found = true;
    }
  }
  return found;
}

bool hasResourceVersions(const std::vector<Json::Value>& aResources)
{
  for (const Json::Value& resource : aResources) {
    if (resource.isMember("resourceVersion")) {
      return true;
    }
  }
  return false;
}

} // namespace

base::Result<std::vector<Json::Value>> readResources(const std::string& aText)
{
  auto json = base::parseJson(aText, { kMaxFileBytes, 32 });
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  const Json::Value& list = json->isObject() && json->isMember("items") ? (*json)["items"] : *json;
  if (list.isArray()) {
    return std::vector<Json::Value>(list.begin(), list.end());
  }
  return std::vector<Json::Value>{ *json };
}

ExitCode apply(ApiClient& aClient, const std::string& aText, Streams aStreams)
{
  auto resources = readResources(aText);
  if (!resources) {
    return report(resources.error(), aStreams);
  }
  if (reportErrors(*resources, aStreams)) {
    return ExitCode::Invalid;
  }
  Applier applier(aClient, *resources);
  bool hasPrecondition = hasResourceVersions(*resources);
  auto result = hasPrecondition ? applier.run() : retryOnConflict([&] { return applier.run(); });
  if (!result) {
    return report(result.error(), aStreams);
  }
  for (const std::string& label : applier.labels()) {
    aStreams.out << label << "\n";
  }
  if (!result->isNull()) {
    aStreams.out << "revision " << (*result)["revision"].asString() << "\n";
  }
  return ExitCode::Done;
}

ExitCode removeResource(ApiClient& aClient,
                        const std::string& aKind,
                        const std::string& aName,
                        Streams aStreams)
{
  std::string path = net::percentEncode(aKind) + "/" + net::percentEncode(aName);
  auto result = retryOnConflict([&]() -> base::Result<Json::Value> {
    auto stored = aClient.call("GET", path);
    if (!stored) {
      return stored;
    }
    return aClient.call("DELETE",
                        path + "?resourceVersion=" + (*stored)["resourceVersion"].asString());
  });
  if (!result) {
    return report(result.error(), aStreams);
  }
  aStreams.out << aKind << "/" << aName << " deleted\nrevision " << (*result)["revision"].asString()
               << "\n";
  return ExitCode::Done;
}

ExitCode setInService(ApiClient& aClient,
                      const std::string& aKind,
                      const std::string& aName,
                      bool aInService,
                      Streams aStreams)
{
  std::string path = net::percentEncode(aKind) + "/" + net::percentEncode(aName);
  auto result = retryOnConflict([&]() -> base::Result<Json::Value> {
    auto stored = aClient.call("GET", path);
    if (!stored || (*stored)["spec"]["inService"] == aInService) {
      return stored;
    }
    (*stored)["spec"]["inService"] = aInService;
    return aClient.call("PUT", path, *stored);
  });
  if (!result) {
    return report(result.error(), aStreams);
  }
  aStreams.out << aKind << "/" << aName << (aInService ? " in service" : " out of service") << "\n";
  if (result->isMember("revision")) {
    aStreams.out << "revision " << (*result)["revision"].asString() << "\n";
  }
  return ExitCode::Done;
}

} // namespace boragepitch::bpctl
