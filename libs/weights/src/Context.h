#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

#include "ChunkMemory.h"
#include "Links.h"
#include "TransferCore.h"
#include "UploadGate.h"
#include "net/HttpClient.h"
#include "telemetry/Metrics.h"

namespace boragepitch::weights {

/** Request header with the region of the VM that requests a chunk. */
inline constexpr const char* kRegionHeader = "X-Region";
/** Request header with the number of chunks that the requesting VM lacks. */
inline constexpr const char* kMissingHeader = "X-Missing-Chunks";
/** Response header with the time in milliseconds after which a refused request may be retried. */
inline constexpr const char* kRetryAfterHeader = "X-Retry-After-Ms";

struct TransferMetrics
{
  explicit TransferMetrics(telemetry::Registry& aRegistry);

  telemetry::Counter& originBytes;
  telemetry::Counter& peerBytes;
  telemetry::Counter& interRegionBytes;
  telemetry::Counter& sentBytes;
  telemetry::Counter& corruptChunks;
  telemetry::Counter& refusedUploads;
  telemetry::Counter& failedFetches;
  telemetry::Counter& hostMismatches;
  telemetry::Counter& cacheMisses;
  telemetry::Gauge& memoryBytes;
  telemetry::LatencyHistogram& chunkSeconds;
};

/** State shared by the threads of one Distributor. `core` and `rng` are guarded by `mutex`. */
struct Context
{
  Context(DistributorOptions aOptions,
          const LocalVm& aLocalVm,
          uint64_t aSeed,
          telemetry::Registry& aMetrics);

  /** A peer's bitmap changed: wakes one fetch thread, which may find a chunk to request. */
  void notifyWork() { work.notify_one(); }
  /** This VM's bitmap changed: answers the long polls of peers. */
  void notifyOwnBitmap();
  /** The set of manifests, a state or `stopping` changed: wakes every thread. */
  void notifyAll();
  /** Waits for aTime or until `stopping`; false when stopping. */
  bool pause(base::Duration aTime);
  /** Waits up to aTime or until notifyAll(). Waits longer while isSettled(), because whatever ends
   * that state calls notifyAll(). */
  void idle(base::Duration aTime);
  /** True while every manifest is complete. `mutex` must be held. */
  bool isSettled() const;
  /** Address of a peer's chunk server; empty when it is not known. */
  std::optional<net::Address> addressOf(const std::string& aPeer) const;
  bool isCurrent(const ManifestId& aId, uint64_t aGeneration) const;

  const DistributorOptions options;
  const LocalVm localVm;
  const control::FleetView* fleet = nullptr;
  stores::WeightOrigin* origin = nullptr;
  stores::ObjectClient* objects = nullptr;
  WeightHost* host = nullptr;
  TransferMetrics metrics;

  mutable std::mutex mutex;
  // Separate condition variables, because bitmaps of peers change often and concern few threads.
  std::condition_variable work;      ///< Fetch threads.
  std::condition_variable announced; ///< Long polls of peers.
  std::condition_variable control;   ///< All other threads.
  TransferCore core;
  base::Rng rng;

  Links links;
  ChunkMemory memory;
  std::atomic<bool> stopping{ false };
  std::atomic<uint64_t> receivedBytes{ 0 };
};

/** Reads a chunk from the host and verifies it. Corrupt when the digest does not match. */
base::Result<std::shared_ptr<ChunkBlock>> readVerified(Context& aContext,
                                                       const Manifest& aManifest,
                                                       uint32_t aChunk);

} // namespace boragepitch::weights
