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

/** Ways to spread a manifest over the fleet (docs/design.md, section 7). */
enum class Scheme
{
  Origin, ///< Every VM reads every chunk from the origin; the baseline.
  Chain,  ///< Each VM reads from the one before it.
  Trees,  ///< Chunks are striped over trees that share few inner VMs.
  Swarm,  ///< Rarest chunk first, with designated importers.
};

std::string_view toString(Scheme aScheme);
base::Result<Scheme> schemeFromText(std::string_view aText);

/** Live VMs that want or hold one manifest, by region; ids sorted and unique. */
using Members = std::map<std::string, std::vector<std::string>>;

/** This VM's place in the fleet. */
struct Place
{
  std::string id;
  std::string region;
  std::string originRegion;
  uint64_t manifestSeed = 0; ///< The same in every VM for one manifest.
  size_t neighbours = 10;
  size_t importersPerRegion = 8;
  base::Duration importerTimeout{ 0 };
};

/** What this VM knows of a peer whose bitmap it follows. */
struct PeerView
{
  std::string id;
  std::string region;
  Bitmap have;                  ///< Latest bitmap; empty until one was received.
  base::TimePoint lastProgress; ///< Last change of the bitmap, or when the peer became known.
  uint32_t load = 0;            ///< Chunks that the peer was sending or queueing.
  uint32_t inFlight = 0;        ///< Requests of this VM to the peer.
  bool usable = true;           ///< Not avoided, not told to come back later, not at its limit.
  bool trusted = true;          ///< Not avoided.
};

struct SelectionInput
{
  const Place& place;
  const Members& members;
  const Bitmap& own;
  const Bitmap& inFlight;
  const std::vector<PeerView>& peers;
  bool mayImport = true;        ///< False until the peers of the region were asked what they hold.
  bool originUsable = true;     ///< The origin may be asked now.
  bool originFailed = false;    ///< The origin will not deliver (OriginChanged).
  base::TimePoint started;      ///< When this VM began to fetch the manifest.
  base::TimePoint lastProgress; ///< When this VM last completed a chunk, or started.
  base::TimePoint now;
};

/** The chunk to ask next; an empty peer means the origin. */
struct Choice
{
  uint32_t chunk = 0;
  std::string peer;

  bool operator==(const Choice&) const = default;
};

/**
 * Decides which chunk to ask from whom next. Stateless and free of I/O. A choice names a chunk that
 * is neither in `own` nor in `inFlight`, and a usable peer that has announced it, or the origin.
 */
class PieceSelection
{
public:
  virtual ~PieceSelection() = default;
  /** Empty when nothing can be asked now. */
  virtual std::optional<Choice> next(const SelectionInput& aInput, base::Rng& aRng) const = 0;
  /** Peers whose bitmaps this VM follows, sorted and unique, without itself. */
  virtual std::vector<std::string> neighbours(const Place& aPlace,
                                              const Members& aMembers,
                                              uint32_t aChunkCount) const = 0;
};

std::unique_ptr<PieceSelection> makePieceSelection(Scheme aScheme);

/** Ids ordered by rendezvous hash for aKey: the first is designated, the next takes over. */
std::vector<std::string> rendezvousOrder(const std::vector<std::string>& aIds, uint64_t aKey);

} // namespace boragepitch::weights
