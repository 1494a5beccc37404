#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <vector>

#include "base/Digest.h"
#include "base/Json.h"
#include "base/Rng.h"
#include "common/Program.h"
#include "objects/Blobs.h"

using namespace boragepitch;
using namespace boragepitch::standin;

namespace {

const char kUsage[] = R"(standin-objects: object store and rate-limited weight store.

Usage: standin-objects --listen ADDRESS [options] [--blob SPEC]...

Options:
  --listen ADDRESS   IP number and port to listen on.
  --blob SPEC        Generated weights: name/version:size:seed; may be repeated.
  --root DIR         Folder with weight files name/version.
  --rate N           Bytes a second of weights over all connections; 0 means no limit [default: 0].
  --seed N           Seed of the corruption fault [default: 1].
  -h --help          Show this text.
)";

constexpr size_t kMaxObjectBytes = 64 << 20;
constexpr size_t kPieceBytes = 16 << 10;
constexpr int64_t kMaxChunkBytes = 1 << 30;

/** httplib cuts a plain body to the request's Range, or turns the status into 416; a streamed body
 * passes unchanged. */
net::HttpResponse withoutRange(net::HttpResponse aResponse)
{
  if (!aResponse.stream) {
    aResponse.stream = [body = std::move(aResponse.body)](net::StreamWriter& aWriter) {
      return aWriter.write(body) ? net::StreamEnd::Complete : net::StreamEnd::Abort;
    };
  }
  return aResponse;
}

class ObjectService
{
public:
  explicit ObjectService(const CommandLine& aOptions)
    : mBlobs(aOptions.given("--root") ? aOptions.text("--root") : "")
    , mRate(aOptions.number("--rate"))
    , mRng(uint64_t(aOptions.number("--seed")))
  {
    for (const std::string& spec : aOptions.list("--blob")) {
      if (!mBlobs.add(spec)) {
        exitWithError("--blob: \"" + spec + "\" is not name/version:size:seed");
      }
    }
  }

  void addRoutes(net::HttpServer& aServer)
  {
    aServer.route("PUT", "/objects/{key...}", [this](const auto& aRequest) {
      return guarded([&] { return putObject(aRequest); });
    });
    aServer.route("GET", "/objects/{key...}", [this](const auto& aRequest) {
      return guarded([&] { return object(aRequest); });
    });
    aServer.route("GET", "/weights/{name}/{version}", [this](const auto& aRequest) {
      return withoutRange(guarded([&] { return weights(aRequest); }));
    });
    aServer.route("GET", "/digests/{name}/{version}", [this](const auto& aRequest) {
      return digests(aRequest);
    });
    aServer.route("POST", "/fault", [this](const auto& aRequest) { return fault(aRequest); });
    aServer.route("GET", "/stats", [this](const auto&) { return stats(); });
  }

private:
  template<typename Action>
  net::HttpResponse guarded(Action aAction)
  {
    mFaults.delay();
    if (mFaults.inOutage()) {
      return errorResponse(503, "unavailable", "outage", 1000);
    }
    return aAction();
  }

  static std::string blobName(const net::HttpRequest& aRequest)
  {
    return aRequest.pathParameters.at("name") + "/" + aRequest.pathParameters.at("version");
  }

  net::HttpResponse putObject(const net::HttpRequest& aRequest)
  {
    {
      std::lock_guard lock(mMutex);
      mObjects[aRequest.pathParameters.at("key")] = aRequest.body;
    }
    ++mObjectWrites;
    return mFaults.takeLostAnswer() ? lostResponse() : jsonResponse(Json::objectValue);
  }

  net::HttpResponse object(const net::HttpRequest& aRequest)
  {
    ++mObjectReads;
    std::lock_guard lock(mMutex);
    auto found = mObjects.find(aRequest.pathParameters.at("key"));
    if (found == mObjects.end()) {
      return errorResponse(404, "notFound", "no such object");
    }
    net::HttpResponse response;
    response.contentType = "application/octet-stream";
    response.body = found->second;
    return response;
  }

  net::HttpResponse weights(const net::HttpRequest& aRequest)
  {
    auto blob = mBlobs.find(blobName(aRequest));
    if (!blob) {
      return errorResponse(404, "notFound", "no such weights");
    }
    auto wanted = aRequest.header("If-Match");
    if (wanted && *wanted != blob->etag()) {
      return errorResponse(412, "conflict", "the version changed");
    }
    net::HttpResponse response;
    ByteRange range{ 0, blob->size == 0 ? 0 : blob->size - 1 };
    if (auto header = aRequest.header("Range")) {
      auto parsed = parseRange(*header, blob->size);
      if (!parsed) {
        return errorResponse(416, "invalid", "the range cannot be satisfied");
      }
      range = *parsed;
      response.status = 206;
      response.headers.emplace_back("Content-Range",
                                    "bytes " + std::to_string(range.first) + "-" +
                                      std::to_string(range.last) + "/" +
                                      std::to_string(blob->size));
    }
    response.contentType = "application/octet-stream";
    response.headers.emplace_back("ETag", blob->etag());
    response.headers.emplace_back("Accept-Ranges", "bytes");
    ++mWeightReads;
    response.stream = [this, range, blob = *blob](net::StreamWriter& aWriter) {
      return sendRange(blob, range, aWriter);
    };
    return response;
  }

  net::StreamEnd sendRange(const Blob& aBlob, ByteRange aRange, net::StreamWriter& aWriter)
  {
    uint64_t end = aBlob.size == 0 ? 0 : aRange.last + 1;
    uint64_t corruptAt = drawCorruptOffset(aRange, end);
    std::vector<std::byte> piece;
    for (uint64_t offset = aRange.first; offset < end; offset += piece.size()) {
      piece.resize(std::min<uint64_t>(kPieceBytes, end - offset));
      mRate.take(piece.size());
      if (mFaults.inOutage() || !aBlob.read(offset, piece)) {
        return net::StreamEnd::Abort;
      }
      if (corruptAt >= offset && corruptAt < offset + piece.size()) {
        piece[corruptAt - offset] ^= std::byte{ 0x5a };
      }
      if (!aWriter.write(base::asText(piece))) {
        return net::StreamEnd::Abort;
      }
      mBytesSent += piece.size();
    }
    return net::StreamEnd::Complete;
  }

  /** Offset of the byte to corrupt in this response; outside of the response for none. */
  uint64_t drawCorruptOffset(ByteRange aRange, uint64_t aEnd)
  {
    std::lock_guard lock(mMutex);
    if (aEnd <= aRange.first ||
        std::uniform_real_distribution<double>(0, 100)(mRng) >= mCorruptPercent) {
      return UINT64_MAX;
    }
    ++mCorrupted;
    return aRange.first + base::uniformBelow<uint64_t>(mRng, aEnd - aRange.first);
  }

  /** Digests of the uncorrupted blob for tests and load generators; ignores rate and faults. */
  net::HttpResponse digests(const net::HttpRequest& aRequest)
  {
    auto blob = mBlobs.find(blobName(aRequest));
    if (!blob) {
      return errorResponse(404, "notFound", "no such weights");
    }
    auto query = aRequest.query.find("chunkSize");
    uint64_t chunkSize = query == aRequest.query.end() ? 0 : std::stoull(query->second);
    if (chunkSize == 0 || chunkSize > kMaxChunkBytes) {
      return errorResponse(400, "invalid", "chunkSize must be 1 to 1073741824");
    }
    base::Sha256 whole;
    Json::Value body;
    body["chunks"] = Json::arrayValue;
    std::vector<std::byte> chunk;
    for (uint64_t offset = 0; offset < blob->size; offset += chunk.size()) {
      chunk.resize(std::min(chunkSize, blob->size - offset));
      blob->read(offset, chunk);
      whole.update(chunk);
      body["chunks"].append(base::toHex(base::sha256(chunk)));
    }
    body["size"] = Json::UInt64(blob->size);
    body["sha256"] = base::toHex(whole.finish());
    body["etag"] = blob->etag();
    return jsonResponse(body);
  }

  net::HttpResponse fault(const net::HttpRequest& aRequest)
  {
    auto body = base::parseJson(aRequest.body);
    if (!body || !body->isObject()) {
      return errorResponse(400, "invalid", "the body must be a JSON object");
    }
    mFaults.apply(*body);
    if (body->isMember("corruptPercent")) {
      std::lock_guard lock(mMutex);
      mCorruptPercent = (*body)["corruptPercent"].asDouble();
    }
    if (body->isMember("rate")) {
      mRate.setRate((*body)["rate"].asDouble());
    }
    if (body->isMember("addBlob") && !mBlobs.add(base::stringOr(*body, "addBlob"))) {
      return errorResponse(400, "invalid", "addBlob must be name/version:size:seed");
    }
    const Json::Value& change = (*body)["changeVersion"];
    if (change.isObject() &&
        !mBlobs.replace(base::stringOr(change, "blob"), uint64_t(base::intOr(change, "seed", 0)))) {
      return errorResponse(404, "notFound", "no such generated weights");
    }
    return jsonResponse(Json::objectValue);
  }

  net::HttpResponse stats()
  {
    Json::Value body;
    body["bytesSent"] = Json::UInt64(mBytesSent);
    body["weightReads"] = Json::UInt64(mWeightReads);
    body["objectReads"] = Json::UInt64(mObjectReads);
    body["objectWrites"] = Json::UInt64(mObjectWrites);
    body["corrupted"] = Json::UInt64(mCorrupted);
    return jsonResponse(body);
  }

  BlobCatalogue mBlobs;
  SharedRate mRate;
  CommonFaults mFaults;
  std::mutex mMutex;
  std::map<std::string, std::string> mObjects;
  base::Rng mRng;
  double mCorruptPercent = 0;
  std::atomic<uint64_t> mBytesSent{ 0 };
  std::atomic<uint64_t> mWeightReads{ 0 };
  std::atomic<uint64_t> mObjectReads{ 0 };
  std::atomic<uint64_t> mObjectWrites{ 0 };
  std::atomic<uint64_t> mCorrupted{ 0 };
};

} // namespace

int main(int aArgc, char** aArgv)
{
  CommandLine options(kUsage, aArgc, aArgv);
  prepareSignals();
  auto server = net::HttpServer::Builder()
                  .address(options.address("--listen"))
                  .maxConnections(1024)
                  .maxBodyBytes(kMaxObjectBytes)
                  .ioTimeout(base::Milliseconds(30000))
                  .build();
  ObjectService service(options);
  service.addRoutes(*server);
  startOrExit(*server);
  runUntilSignal();
}
