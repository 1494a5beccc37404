#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Rng.h"
#include "base/Time.h"
#include "weights/Bitmap.h"

namespace boragepitch::weights {

/** Schemes for distributing a manifest over the fleet (docs/design.md, section 7). */
enum class Scheme
{
  Origin, ///< Every VM reads every chunk from the origin; the baseline.
  Chain,  ///< Each VM reads from its predecessor.
  Trees,  ///< Chunks are striped over trees that have few inner VMs in common.
  Swarm,  ///< Rarest chunk first, with designated importers.
};

std::string_view toString(Scheme aScheme);
base::Result<Scheme> schemeFromText(std::string_view aText);

/** Live VMs that want or hold one manifest, by region; ids sorted and unique. */
using Members = std::map<std::string, std::vector<std::string>>;

/** This VM's identity and the parameters of its selection. */
struct LocalVm
{
  std::string id;
  std::string region;
  std::string originRegion;
  uint64_t manifestSeed = 0; ///< Derived from the manifest id, so equal on all VMs.
  size_t neighbours = 10;
  size_t importersPerRegion = 8;
  base::Duration importerTimeout{ 0 };
  size_t remoteNeighbours = 8; ///< Importers of each other region that an importer polls.
};

/** Known state of a peer whose bitmap this VM polls. */
struct PeerView
{
  std::string id;
  std::string region;
  Bitmap have;                  ///< Latest bitmap; empty until one is received.
  base::TimePoint lastProgress; ///< When it last received data, or became known.
  uint32_t load = 0;            ///< Active and queued uploads that the peer reported.
  uint32_t inFlight = 0;        ///< Requests in flight from this VM to the peer.
  bool usable = true;           ///< Not avoided, not in backoff, below its request limits.
  bool trusted = true;          ///< False while avoided after a corrupt chunk.
};

struct SelectionInput
{
  const LocalVm& localVm;
  const Members& members;
  const Bitmap& own;
  const Bitmap& inFlight;
  const std::vector<PeerView>& peers;
  bool mayImport = true;        ///< False until the region's peers have reported their chunks.
  bool originUsable = true;     ///< The origin may be read now.
  bool originBusy = false;      ///< It answers, and this VM reads as much as it may at a time.
  bool originFailed = false;    ///< The origin will not deliver (OriginChanged).
  base::TimePoint started;      ///< When this VM began to fetch the manifest.
  base::TimePoint lastProgress; ///< When this VM last completed a chunk, or `started`.
  base::TimePoint now;
};

/** The chunk to request next and its source; an empty peer means the origin. */
struct Choice
{
  uint32_t chunk = 0;
  std::string peer;

  bool operator==(const Choice&) const = default;
};

/**
 * Decides which chunk to request next and from which source. Stateless and without I/O. A choice
 * names a chunk that is neither in `own` nor in `inFlight`, and a usable peer that has announced
 * it, or the origin.
 */
class ChunkSelection
{
public:
  virtual ~ChunkSelection() = default;
  /** Empty when nothing can be requested now. */
  virtual std::optional<Choice> next(const SelectionInput& aInput, base::Rng& aRng) const = 0;
  /** Peers whose bitmaps this VM polls, sorted and unique, without itself. */
  virtual std::vector<std::string> neighbours(const LocalVm& aLocalVm,
                                              const Members& aMembers,
                                              uint32_t aChunkCount) const = 0;
};

std::unique_ptr<ChunkSelection> makeChunkSelection(Scheme aScheme);

/** Ids in the order of their rendezvous hashes for aKey: the first is designated, the next ones are
 * its fallbacks. */
std::vector<std::string> rendezvousOrder(const std::vector<std::string>& aIds, uint64_t aKey);

} // namespace boragepitch::weights
