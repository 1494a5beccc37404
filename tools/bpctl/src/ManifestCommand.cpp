#include "Commands.h"

#include <fstream>

#include "base/Json.h"
#include "stores/HttpStores.h"
#include "weights/Manifest.h"

namespace boragepitch::bpctl {

namespace {

constexpr size_t kReadBytes = 1 << 20;

base::Result<weights::Manifest> buildManifest(const ManifestOptions& aOptions)
{
  std::ifstream file(aOptions.file, std::ios::binary);
  if (!file) {
    return base::fail(base::ErrorKind::Invalid,
                      aOptions.file,
                      "cannot read the file",
                      "check the path and its permissions");
  }
  weights::Manifest::Builder builder(
    aOptions.model, aOptions.version, static_cast<uint32_t>(aOptions.chunkSize));
  std::vector<char> buffer(kReadBytes);
  while (file) {
    file.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
    builder.append(std::as_bytes(std::span(buffer.data(), static_cast<size_t>(file.gcount()))));
  }
  return builder.build();
}

base::Status publish(const std::string& aObjects, const weights::Manifest& aManifest)
{
  auto address = net::parseAddress(aObjects);
  if (!address) {
    return tl::make_unexpected(address.error());
  }
  auto objects = stores::HttpObjects::Builder().address(*address).build();
  return objects->put("manifests/" + aManifest.id().toString(), aManifest.canonical());
}

/** Builds the ModelVersion resource to declare. The origin is assumed to be MODEL/VERSION in the
 * weight store. */
Json::Value modelVersion(const weights::Manifest& aManifest)
{
  Json::Value resource;
  resource["kind"] = "ModelVersion";
  resource["name"] = aManifest.model() + "-" + aManifest.version();
  Json::Value& spec = resource["spec"];
  spec["model"] = aManifest.model();
  spec["version"] = aManifest.version();
  spec["manifest"] = aManifest.id().toString();
  spec["size"] = Json::UInt64(aManifest.size());
  spec["origin"] = aManifest.model() + "/" + aManifest.version();
  return resource;
}

base::Status writeFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath, std::ios::binary);
  file << aText;
  file.close();
  if (!file) {
    return base::fail(base::ErrorKind::Invalid,
                      aPath,
                      "cannot write the file",
                      "check the path and the free disk space");
  }
  return {};
}

} // namespace

ExitCode makeManifest(const ManifestOptions& aOptions, Streams aStreams)
{
  if (aOptions.model.empty() || aOptions.version.empty() || aOptions.chunkSize == 0 ||
      aOptions.chunkSize > weights::ManifestLimits{}.chunkSize) {
    return report(base::fail(base::ErrorKind::Invalid,
                             "manifest",
                             "--model, --model-version or --chunk-size is missing or out of range",
                             "give both names and a chunk size of 1 to 67108864 bytes")
                    .value(),
                  aStreams);
  }
  auto manifest = buildManifest(aOptions);
  if (!manifest) {
    return report(manifest.error(), aStreams);
  }
  if (!aOptions.objects.empty()) {
    if (auto published = publish(aOptions.objects, *manifest); !published) {
      return report(published.error(), aStreams);
    }
  }
  if (!aOptions.output.empty()) {
    if (auto written = writeFile(aOptions.output, manifest->canonical()); !written) {
      return report(written.error(), aStreams);
    }
  }
  aStreams.out << base::writeJson(modelVersion(*manifest)) << "\n";
  return ExitCode::Done;
}

} // namespace boragepitch::bpctl
