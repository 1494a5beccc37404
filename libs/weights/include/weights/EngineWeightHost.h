#pragma once

#include "net/HttpClient.h"
#include "weights/WeightHost.h"

namespace boragepitch::weights {

/** Weight host over the engine's HTTP staging interface (docs/design.md, section 11). */
class EngineWeightHost final : public WeightHost
{
public:
  explicit EngineWeightHost(net::Address aEngine, net::ClientOptions aOptions = {});

  bool mayHold(const ManifestId& aId) override;
  base::Status allocate(const Manifest& aManifest) override;
  base::Status write(const ManifestId& aId,
                     uint32_t aChunk,
                     std::span<const std::byte> aBytes) override;
  base::Result<size_t> read(const ManifestId& aId,
                            uint32_t aChunk,
                            std::span<std::byte> aTarget) override;
  base::Status release(const ManifestId& aId) override;

private:
  base::Result<net::ClientResponse> call(const net::ClientRequest& aRequest);

  net::Address mEngine;
  net::ClientPool mClients;
};

} // namespace boragepitch::weights
