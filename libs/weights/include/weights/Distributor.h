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
#include "weights/PieceSelection.h"
#include "weights/WeightHost.h"

namespace boragepitch::weights {

/** A manifest that this VM should hold. */
struct Wanted
{
  ManifestId manifest;
  std::string originName;             ///< "name/version" at the weight store.
  int urgency = 0;                    ///< 0 to 9, 9 first.
  base::TimePoint since;              ///< Age: among equal urgencies the oldest comes first.
  std::vector<std::string> zones;     ///< Zones that want it; empty means all.
  std::vector<std::string> endpoints; ///< Endpoint name prefixes that want it; empty means all.
};

enum class TransferState
{
  NeedsManifest, ///< The manifest has not been read yet.
  Preparing,     ///< Room is made in the host and chunks that it holds already are verified.
  Fetching,
  Verifying, ///< All chunks are there; the digest of the whole is computed.
  Whole,
  OriginChanged, ///< The origin's bytes repeatedly differ from the manifest; peers are still asked.
  NoRoom,        ///< The host has no room; retried.
  Failed,        ///< The manifest contradicts itself; it is never whole.
};

std::string_view toString(TransferState aState);

struct Progress
{
  ManifestId manifest;
  TransferState state = TransferState::NeedsManifest;
  uint32_t chunksHeld = 0;
  uint32_t chunks = 0; ///< 0 until the manifest is known.
  uint64_t bytesHeld = 0;
  uint64_t bytes = 0;
  uint64_t fromOrigin = 0;          ///< Bytes received from the origin, failed ones included.
  uint64_t fromPeers = 0;           ///< Bytes received from peers, failed ones included.
  uint64_t fromOtherRegions = 0;    ///< The part of fromPeers that crossed regions.
  base::Duration age{ 0 };          ///< Since want() first named it.
  std::optional<base::Error> error; ///< Latest failure that still stands.
};

/** Rates in bytes a second; 0 means no limit. */
struct LinkLimits
{
  double uplink = 0;
  double downlink = 0;
  /** Each direction of the link between this region and the others, shared by the region's
   * importers; a VM uses its share. */
  double interRegion = 0;
};

struct DistributorOptions
{
  Scheme scheme = Scheme::Swarm;
  LinkLimits links;
  size_t cacheBytes = 64U << 20; ///< Chunk cache, chunks in flight included.
  size_t fetchThreads = 8;       ///< Most chunk requests in flight.
  /** Most chunk requests in flight to one peer. With more, requests gather at the importers, which
   * hold the rarest chunks, while other uplinks idle. */
  size_t fetchesPerPeer = 1;
  size_t originConnections = 2;  ///< Most chunk requests in flight to the origin.
  size_t neighbours = 10;        ///< Peers of the own region whose bitmaps are followed.
  size_t importersPerRegion = 8; ///< VMs of a region among which imported chunks are spread.
  size_t uploadSlots = 3;        ///< Chunks sent at once; more wait.
  /** Longest uplink queue before requests are refused. A long queue keeps requests at few VMs. */
  base::Milliseconds uploadQueue{ 250 };
  /** Shortest time between two answers of a peer about its chunks; several new chunks are then
   * announced together. */
  base::Milliseconds announceInterval{ 20 };
  base::Milliseconds importerTimeout{ 3000 };
  base::Milliseconds stallTimeout{ 3000 }; ///< Longest silence of a peer during a chunk.
  base::Milliseconds avoidTime{ 30000 };   ///< How long the sender of a corrupt chunk is avoided.
  base::Milliseconds startJitter{ 200 };   ///< First contact with the origin is delayed up to this.
  base::Milliseconds backoffBase{ 100 };
  base::Milliseconds backoffCap{ 5000 };
  uint32_t originMismatches = 4; ///< Consecutive mismatches from the origin until OriginChanged.
};

/**
 * Brings this VM's host to the wanted manifests, most urgent first, and serves the chunks that it
 * holds to peers. Thread-safe after start().
 */
class Distributor
{
public:
  class Builder
  {
  public:
    /** Required; the pointers below must outlive the Distributor. */
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
   * Replaces the earlier set. What is gone is cancelled at once: unfinished manifests are released
   * from the host, whole ones stay while there is room. The set must include what the engine
   * serves, since other manifests may be released to make room.
   */
  virtual void want(std::vector<Wanted> aWanted) = 0;
  virtual std::vector<Progress> progress(base::TimePoint aNow) const = 0;
  /** Ids (hexadecimal) of manifests that are whole and verified in the host, sorted. */
  virtual std::vector<std::string> held() const = 0;
  /** Ids of wanted manifests that are not whole, sorted. */
  virtual std::vector<std::string> fetching() const = 0;
  /** The manifest when it is known here; null otherwise. */
  virtual std::shared_ptr<const Manifest> manifest(const ManifestId& aId) const = 0;
  /** The engine lost its memory: everything is verified and fetched again. */
  virtual void hostLost() = 0;
  /** Adds the chunk server's routes (/w/...). Call before the server's start(); the server must be
   * stopped before the Distributor is destroyed. */
  virtual void attach(net::HttpServer& aServer) = 0;
  /** Counts request traffic against the link limits; weights use what remains. */
  virtual void noteRequestBytes(uint64_t aUp, uint64_t aDown, bool aCrossRegion) = 0;
  virtual void start() = 0;
  /** Ends transfers in flight and joins all threads. Idempotent. */
  virtual void stop() = 0;
  virtual Json::Value dumpJson() const = 0;
};

} // namespace boragepitch::weights
