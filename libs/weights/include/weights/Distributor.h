#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/Error.h"
#include "base/Time.h"
#include "control/FleetView.h"
#include "net/HttpServer.h"
#include "stores/Stores.h"
#include "telemetry/Metrics.h"
#include "weights/ChunkSelection.h"
#include "weights/WeightHost.h"

namespace boragepitch::weights {

/** A manifest that this VM and all VMs that match `zones` and `endpoints` should hold. */
struct TransferRequest
{
  ManifestId manifest;
  std::string originName;             ///< "name/version" at the weight store.
  int urgency = 0;                    ///< 0 to 9, 9 first.
  base::TimePoint since;              ///< Among equal urgencies the earliest comes first.
  std::vector<std::string> zones;     ///< Empty means all zones.
  std::vector<std::string> endpoints; ///< Endpoint name prefixes; empty means all endpoints.
};

enum class TransferState
{
  NeedsManifest, ///< The manifest has not been read yet.
  Preparing,     ///< The host allocates memory and verifies chunks that it already holds.
  Fetching,
  Verifying, ///< All chunks are held; the digest of the full content is being computed.
  Complete,
  OriginChanged, ///< The origin's bytes repeatedly differ from the manifest; peers are still used.
  NoRoom,        ///< The host has too little free memory; retried.
  Failed,        ///< Not retried: the digests contradict each other, or chunks exceed the cache.
};

std::string_view toString(TransferState aState);

struct TransferProgress
{
  ManifestId manifest;
  TransferState state = TransferState::NeedsManifest;
  uint32_t chunksHeld = 0;
  uint32_t chunks = 0; ///< 0 until the manifest is known.
  uint64_t bytesHeld = 0;
  uint64_t bytes = 0;
  uint64_t fromOrigin = 0;          ///< Bytes received from the origin, including failed requests.
  uint64_t fromPeers = 0;           ///< Bytes received from peers, including failed requests.
  uint64_t fromOtherRegions = 0;    ///< Bytes of either kind that crossed regions.
  base::Duration age{ 0 };          ///< Since setWanted() first listed the manifest.
  std::optional<base::Error> error; ///< Latest unresolved failure.
};

/** Rates in bytes a second; 0 means no limit. */
struct LinkLimits
{
  double uplink = 0;
  double downlink = 0;
  /** Limit of each direction of the link between this region and the others. The region's importers
   * share it equally. */
  double interRegion = 0;
};

struct DistributorOptions
{
  Scheme scheme = Scheme::Swarm;
  LinkLimits links;
  size_t cacheBytes = 64U << 20; ///< Limit of cached chunks and chunks in flight.
  size_t fetchThreads = 8;       ///< Maximum number of chunk requests in flight.
  /** Maximum number of chunk requests in flight to one peer. With more, requests pile up at the
   * importers, which hold the rarest chunks, while other uplinks are idle. */
  size_t fetchesPerPeer = 1;
  size_t originConnections = 2;  ///< Maximum number of chunk requests in flight to the origin.
  size_t neighbours = 10;        ///< Peers of the VM's own region whose bitmaps are polled.
  size_t importersPerRegion = 8; ///< VMs of a region that import chunks from outside it.
  /** Importers of each other region whose bitmaps an importer polls. */
  size_t remoteNeighbours = 8;
  size_t uploadSlots = 3; ///< Maximum number of chunks sent concurrently; others wait.
  /** Longest uplink queue, as transmission time, before requests are refused. A longer queue would
   * keep requests waiting at few VMs. */
  base::Milliseconds maxUploadQueueTime{ 250 };
  /** Pause between two polls of a peer's bitmap; one answer then announces several new chunks. */
  base::Milliseconds announceInterval{ 20 };
  base::Milliseconds importerTimeout{ 3000 };
  base::Milliseconds stallTimeout{ 3000 }; ///< Maximum time between two reads of a chunk.
  base::Milliseconds avoidTime{ 30000 };   ///< How long the sender of a corrupt chunk is avoided.
  base::Milliseconds startJitter{ 200 };   ///< Maximum delay of the first request to the origin.
  base::Milliseconds backoffBase{ 100 };
  base::Milliseconds backoffCap{ 5000 };
  uint32_t maxOriginMismatches = 4; ///< Consecutive mismatches from the origin until OriginChanged.
};

/**
 * Fetches the wanted manifests into this VM's host, most urgent first, and serves the chunks that
 * it holds to peers. Thread-safe after start().
 */
class Distributor
{
public:
  class Builder
  {
  public:
    /** Required. The objects behind the pointers below must outlive the Distributor. */
    Builder& fleet(const control::FleetView* aFleet);
    Builder& origin(stores::WeightOrigin* aOrigin);
    Builder& objects(stores::ObjectClient* aObjects);
    Builder& host(WeightHost* aHost);
    Builder& metrics(telemetry::Registry* aRegistry);
    Builder& node(std::string aId, std::string aZone, std::string aRegion);
    Builder& originRegion(std::string aRegion);
    Builder& options(DistributorOptions aOptions);
    Builder& scheme(Scheme aScheme);
    Builder& links(LinkLimits aLinks);
    Builder& cacheBytes(size_t aBytes);
    Builder& seed(uint64_t aSeed);
    /** Called on a thread of the Distributor, without locks held, after held() or fetching()
     * changed. */
    Builder& onChange(std::function<void()> aCallback);
    /** Invalid when a required part is missing or an option is out of range. */
    base::Result<std::unique_ptr<Distributor>> build();

  private:
    friend class DistributorImpl;
    const control::FleetView* mFleet = nullptr;
    stores::WeightOrigin* mOrigin = nullptr;
    stores::ObjectClient* mObjects = nullptr;
    WeightHost* mHost = nullptr;
    telemetry::Registry* mMetrics = nullptr;
    std::string mId;
    std::string mZone;
    std::string mRegion;
    std::string mOriginRegion;
    DistributorOptions mOptions;
    uint64_t mSeed = 1;
    std::function<void()> mOnChange;
  };

  virtual ~Distributor() = default;
  /**
   * Replaces the set of wanted manifests. Unfinished manifests that are no longer in the set are
   * cancelled at once and released from the host; complete ones stay while there is room. The set
   * must include the manifests that the engine serves, because others may be released to make room.
   */
  virtual void setWanted(std::vector<TransferRequest> aWanted) = 0;
  virtual std::vector<TransferProgress> progress(base::TimePoint aNow) const = 0;
  /** Ids (hexadecimal) of manifests that are complete and verified in the host, sorted. */
  virtual std::vector<std::string> held() const = 0;
  /** Ids of wanted manifests that are not complete, sorted. */
  virtual std::vector<std::string> fetching() const = 0;
  /** Null when this VM does not have the manifest. */
  virtual std::shared_ptr<const Manifest> manifest(const ManifestId& aId) const = 0;
  /** Call when the host may have lost its content: all wanted manifests are verified and fetched
   * again. */
  virtual void invalidateHost() = 0;
  /** Adds the chunk server's routes (/w/...). Call before the server's start(); the server must be
   * stopped before the Distributor is destroyed. */
  virtual void attach(net::HttpServer& aServer) = 0;
  /** Counts request traffic against the link limits; weights use what remains. */
  virtual void noteRequestBytes(uint64_t aUp, uint64_t aDown, bool aCrossRegion) = 0;
  virtual void start() = 0;
  /** Cancels transfers in flight and joins all threads. Idempotent. */
  virtual void stop() = 0;
  virtual Json::Value dumpJson() const = 0;
};

} // namespace boragepitch::weights
