#include "weights/EngineWeightHost.h"

#include <cstring>

#include "base/Json.h"

namespace boragepitch::weights {

namespace {

std::string stagingPath(const ManifestId& aId)
{
  return "/staging/" + aId.toString();
}

std::string chunkPath(const ManifestId& aId, uint32_t aChunk)
{
  return stagingPath(aId) + "/chunks/" + std::to_string(aChunk);
}

base::Error errorFor(int aStatus, const std::string& aField)
{
  base::Error error;
  error.field = aField;
  error.message = "the engine answered " + std::to_string(aStatus);
  if (aStatus == 404) {
    error.kind = base::ErrorKind::NotFound;
    error.remedy = "stage the manifest first";
  } else if (aStatus == 413 || aStatus == 507) {
    error.kind = base::ErrorKind::TooLarge;
    error.remedy = "release another manifest";
  } else if (aStatus >= 500 || aStatus == 429) {
    error.kind = base::ErrorKind::Unavailable;
    error.remedy = "retry later";
  } else {
    error.kind = base::ErrorKind::Invalid;
    error.remedy = "check that agent and engine agree on the staging interface";
  }
  return error;
}

bool isSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

EngineWeightHost::EngineWeightHost(net::Address aEngine, net::ClientOptions aOptions)
  : mEngine(std::move(aEngine))
  , mClients(aOptions)
{
}

base::Result<net::ClientResponse> EngineWeightHost::call(const net::ClientRequest& aRequest)
{
  auto client = mClients.acquire(mEngine);
  auto response = client->send(aRequest);
  if (response) {
    mClients.release(std::move(client));
  }
  return response;
}

bool EngineWeightHost::mayHold(const ManifestId& aId)
{
  auto response = call({ .target = "/state" });
  if (!response || response->status != 200) {
    return true;
  }
  auto state = base::parseJson(response->body);
  if (!state || !state->isObject() || !(*state)["staged"].isArray()) {
    return true;
  }
  for (const Json::Value& staged : (*state)["staged"]) {
    if (staged.isObject() && base::stringOr(staged, "manifest") == aId.toString()) {
      return true;
    }
  }
  return false;
}

base::Status EngineWeightHost::allocate(const Manifest& aManifest)
{
  Json::Value body;
  body["model"] = aManifest.model();
  body["version"] = aManifest.version();
  body["size"] = Json::UInt64(aManifest.size());
  body["chunkSize"] = aManifest.chunkSize();
  auto response = call(
    { .method = "POST", .target = stagingPath(aManifest.id()), .body = base::writeJson(body) });
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  // 409 means that the manifest is already staged; its chunks are verified before use.
  if (!isSuccess(response->status) && response->status != 409) {
    return tl::make_unexpected(errorFor(response->status, aManifest.id().toString()));
  }
  return {};
}

base::Status EngineWeightHost::write(const ManifestId& aId,
                                     uint32_t aChunk,
                                     std::span<const std::byte> aBytes)
{
  auto response = call({ .method = "PUT",
                         .target = chunkPath(aId, aChunk),
                         .body = std::string(base::asText(aBytes)),
                         .contentType = "application/octet-stream" });
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  if (!isSuccess(response->status)) {
    return tl::make_unexpected(errorFor(response->status, chunkPath(aId, aChunk)));
  }
  return {};
}

base::Result<size_t> EngineWeightHost::read(const ManifestId& aId,
                                            uint32_t aChunk,
                                            std::span<std::byte> aTarget)
{
  auto client = mClients.acquire(mEngine);
  size_t size = 0;
  bool fits = true;
  bool isChunk = false;
  auto response = client->stream(
    { .target = chunkPath(aId, aChunk) },
    [&](const net::ClientResponse& aHead) {
      isChunk = aHead.status == 200;
      return true;
    },
    [&](std::string_view aBytes) {
      if (!isChunk) {
        return true;
      }
      fits = aBytes.size() <= aTarget.size() - size;
      if (fits) {
        std::memcpy(aTarget.data() + size, aBytes.data(), aBytes.size());
        size += aBytes.size();
      }
      return fits;
    });
  if (!fits) {
    return base::fail(base::ErrorKind::Corrupt,
                      chunkPath(aId, aChunk),
                      "the engine holds more bytes than the chunk has",
                      "the chunk is fetched again");
  }
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  mClients.release(std::move(client));
  if (!isChunk) {
    return tl::make_unexpected(errorFor(response->status, chunkPath(aId, aChunk)));
  }
  return size;
}

base::Status EngineWeightHost::release(const ManifestId& aId)
{
  auto response = call({ .method = "DELETE", .target = stagingPath(aId) });
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  if (!isSuccess(response->status) && response->status != 404) {
    return tl::make_unexpected(errorFor(response->status, stagingPath(aId)));
  }
  return {};
}

} // namespace boragepitch::weights
