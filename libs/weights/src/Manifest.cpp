#include "weights/Manifest.h"

#include <algorithm>

#include "base/Json.h"

namespace boragepitch::weights {

namespace {

constexpr size_t kMaxNameBytes = 256;

tl::unexpected<base::Error> invalid(std::string aField, std::string aMessage)
{
  return base::fail(base::ErrorKind::Invalid,
                    std::move(aField),
                    std::move(aMessage),
                    "make the manifest again with bpctl manifest");
}

uint64_t chunksFor(uint64_t aSize, uint32_t aChunkSize)
{
  return aSize / aChunkSize + (aSize % aChunkSize != 0 ? 1 : 0);
}

base::Result<base::Digest> digestMember(const Json::Value& aValue, const std::string& aField)
{
  auto digest =
    aValue.isString() ? base::digestFromHex(aValue.asString()) : std::optional<base::Digest>{};
  if (!digest) {
    return invalid(aField, "not 64 lower-case hexadecimal digits");
  }
  return *digest;
}

base::Result<std::vector<base::Digest>> digestList(const Json::Value& aList, uint64_t aCount)
{
  if (!aList.isArray() || aList.size() != aCount) {
    return invalid("chunks", "must list " + std::to_string(aCount) + " digests");
  }
  std::vector<base::Digest> digests;
  digests.reserve(aCount);
  for (Json::ArrayIndex i = 0; i < aList.size(); ++i) {
    auto digest = digestMember(aList[i], "chunks[" + std::to_string(i) + "]");
    if (!digest) {
      return tl::make_unexpected(digest.error());
    }
    digests.push_back(*digest);
  }
  return digests;
}

} // namespace

base::Result<ManifestId> ManifestId::parse(std::string_view aHex)
{
  auto digest = base::digestFromHex(aHex);
  if (!digest) {
    return base::fail(base::ErrorKind::Invalid,
                      "manifest",
                      "not 64 lower-case hexadecimal digits",
                      "use the id that bpctl manifest prints");
  }
  return ManifestId{ *digest };
}

Manifest::Builder::Builder(std::string aModel, std::string aVersion, uint32_t aChunkSize)
  : mModel(std::move(aModel))
  , mVersion(std::move(aVersion))
  , mChunkSize(aChunkSize)
{
}

void Manifest::Builder::append(std::span<const std::byte> aBytes)
{
  if (mChunkSize == 0) {
    return;
  }
  mContentHash.update(aBytes);
  mSize += aBytes.size();
  while (!aBytes.empty()) {
    size_t part = std::min<size_t>(aBytes.size(), mChunkSize - mBytesInChunk);
    mChunkHash.update(aBytes.first(part));
    mBytesInChunk += static_cast<uint32_t>(part);
    aBytes = aBytes.subspan(part);
    if (mBytesInChunk == mChunkSize) {
      endChunk();
    }
  }
}

void Manifest::Builder::endChunk()
{
  mDigests.push_back(mChunkHash.finish());
  mChunkHash = base::Sha256();
  mBytesInChunk = 0;
}

base::Result<Manifest> Manifest::Builder::build()
{
  if (mBytesInChunk > 0) {
    endChunk();
  }
  Manifest manifest;
  manifest.mModel = mModel;
  manifest.mVersion = mVersion;
  manifest.mSize = mSize;
  manifest.mChunkSize = mChunkSize;
  manifest.mContentDigest = mContentHash.finish();
  manifest.mChunks = mDigests;
  return parse(manifest.canonical());
}

base::Result<Manifest> Manifest::fromBytes(std::string aModel,
                                           std::string aVersion,
                                           uint32_t aChunkSize,
                                           std::span<const std::byte> aBytes)
{
  Builder builder(std::move(aModel), std::move(aVersion), aChunkSize);
  builder.append(aBytes);
  return builder.build();
}

base::Result<Manifest> Manifest::fromDigests(std::string aModel,
                                             std::string aVersion,
                                             uint32_t aChunkSize,
                                             std::vector<base::Digest> aDigests)
{
  Manifest manifest;
  manifest.mModel = std::move(aModel);
  manifest.mVersion = std::move(aVersion);
  manifest.mChunkSize = aChunkSize;
  manifest.mSize = uint64_t{ aChunkSize } * aDigests.size();
  manifest.mChunks = std::move(aDigests);
  return parse(manifest.canonical());
}

base::Result<Manifest> Manifest::parse(std::string_view aText, const ManifestLimits& aLimits)
{
  auto json = base::parseJson(aText, { .bytes = aLimits.textBytes, .depth = 4 });
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  auto model = base::requireString(*json, "model");
  auto version = base::requireString(*json, "version");
  auto size = base::requireInt(*json, "size", 1, static_cast<int64_t>(aLimits.size));
  auto chunkSize = base::requireInt(*json, "chunkSize", 1, aLimits.chunkSize);
  for (const base::Error* error : { model ? nullptr : &model.error(),
                                    version ? nullptr : &version.error(),
                                    size ? nullptr : &size.error(),
                                    chunkSize ? nullptr : &chunkSize.error() }) {
    if (error != nullptr) {
      return tl::make_unexpected(*error);
    }
  }
  if (model->size() > kMaxNameBytes || version->size() > kMaxNameBytes) {
    return invalid("model", "name or version is longer than 256 bytes");
  }
  uint64_t count = chunksFor(static_cast<uint64_t>(*size), static_cast<uint32_t>(*chunkSize));
  if (count > aLimits.chunks) {
    return base::fail(base::ErrorKind::TooLarge,
                      "chunks",
                      "more than " + std::to_string(aLimits.chunks) + " chunks",
                      "use larger chunks");
  }
  auto digests = digestList((*json)["chunks"], count);
  if (!digests) {
    return tl::make_unexpected(digests.error());
  }
  std::optional<base::Digest> contentDigest;
  if (json->isMember("sha256")) {
    auto digest = digestMember((*json)["sha256"], "sha256");
    if (!digest) {
      return tl::make_unexpected(digest.error());
    }
    contentDigest = *digest;
  }
  Manifest manifest;
  manifest.mModel = *model;
  manifest.mVersion = *version;
  manifest.mSize = static_cast<uint64_t>(*size);
  manifest.mChunkSize = static_cast<uint32_t>(*chunkSize);
  manifest.mContentDigest = contentDigest;
  manifest.mChunks = std::move(*digests);
  manifest.mId.value = base::sha256(base::asBytes(manifest.canonical()));
  return manifest;
}

base::Result<Manifest> Manifest::parseExpecting(const ManifestId& aId,
                                                std::string_view aText,
                                                const ManifestLimits& aLimits)
{
  auto manifest = parse(aText, aLimits);
  if (manifest && manifest->id() != aId) {
    return base::fail(base::ErrorKind::Corrupt,
                      aId.toString(),
                      "manifest has the id " + manifest->id().toString(),
                      "fetch the manifest from another source");
  }
  return manifest;
}

std::string Manifest::canonical() const
{
  Json::Value json;
  json["model"] = mModel;
  json["version"] = mVersion;
  json["size"] = Json::UInt64(mSize);
  json["chunkSize"] = mChunkSize;
  if (mContentDigest) {
    json["sha256"] = base::toHex(*mContentDigest);
  }
  json["chunks"] = Json::Value(Json::arrayValue);
  for (const base::Digest& digest : mChunks) {
    json["chunks"].append(base::toHex(digest));
  }
  return base::writeJson(json);
}

uint32_t Manifest::sizeOf(uint32_t aChunk) const
{
  return static_cast<uint32_t>(std::min<uint64_t>(mChunkSize, mSize - offsetOf(aChunk)));
}

bool Manifest::verifies(uint32_t aChunk, std::span<const std::byte> aBytes) const
{
  return aChunk < chunkCount() && aBytes.size() == sizeOf(aChunk) &&
         base::sha256(aBytes) == mChunks[aChunk];
}

} // namespace boragepitch::weights
