#include <algorithm>

#include "Selection.h"

namespace boragepitch::weights {

namespace {

class OriginSelection final : public ChunkSelection
{
public:
  std::optional<Choice> next(const SelectionInput& aInput, base::Rng& /*aRng*/) const override
  {
    return chooseFromLineage(aInput, {}, [](uint32_t) { return true; });
  }

  std::vector<std::string> neighbours(const LocalVm& /*aLocalVm*/,
                                      const Members& /*aMembers*/,
                                      uint32_t /*aChunkCount*/) const override
  {
    return {};
  }
};

class ChainSelection final : public ChunkSelection
{
public:
  std::optional<Choice> next(const SelectionInput& aInput, base::Rng& /*aRng*/) const override
  {
    return chooseFromLineage(
      aInput, lineage(aInput.localVm, aInput.members), [](uint32_t) { return true; });
  }

  std::vector<std::string> neighbours(const LocalVm& aLocalVm,
                                      const Members& aMembers,
                                      uint32_t /*aChunkCount*/) const override
  {
    auto ids = lineage(aLocalVm, aMembers);
    sortUnique(ids, aLocalVm.id);
    return ids;
  }

private:
  /** Predecessors tried before the origin; stalled ones are skipped. */
  static constexpr size_t kPredecessors = 3;

  static std::vector<std::string> lineage(const LocalVm& aLocalVm, const Members& aMembers)
  {
    std::vector<std::string> chain;
    for (const std::string& region : regionOrder(aLocalVm, aMembers, aLocalVm.manifestSeed)) {
      const auto& ids = membersOf(aMembers, region);
      chain.insert(chain.end(), ids.begin(), ids.end());
    }
    auto self = std::find(chain.begin(), chain.end(), aLocalVm.id);
    auto count = std::min<size_t>(kPredecessors, self - chain.begin());
    std::vector<std::string> predecessors(self - static_cast<ptrdiff_t>(count), self);
    std::reverse(predecessors.begin(), predecessors.end());
    return predecessors;
  }
};

/**
 * One tree for each stripe and region. The members of a region are rotated for each stripe, so that
 * the stripes have different inner VMs. A root outside the origin's region reads from the root of
 * the same stripe in the origin's region.
 */
class TreesSelection final : public ChunkSelection
{
public:
  std::optional<Choice> next(const SelectionInput& aInput, base::Rng& aRng) const override
  {
    uint32_t first = base::uniformBelow(aRng, kStripes);
    for (uint32_t i = 0; i < kStripes; ++i) {
      uint32_t stripe = (first + i) % kStripes;
      auto choice =
        chooseFromLineage(aInput,
                          lineage(aInput.localVm, aInput.members, stripe),
                          [stripe](uint32_t aChunk) { return aChunk % kStripes == stripe; });
      if (choice) {
        return choice;
      }
    }
    return std::nullopt;
  }

  std::vector<std::string> neighbours(const LocalVm& aLocalVm,
                                      const Members& aMembers,
                                      uint32_t /*aChunkCount*/) const override
  {
    std::vector<std::string> ids;
    for (uint32_t stripe = 0; stripe < kStripes; ++stripe) {
      auto ancestors = lineage(aLocalVm, aMembers, stripe);
      ids.insert(ids.end(), ancestors.begin(), ancestors.end());
    }
    sortUnique(ids, aLocalVm.id);
    return ids;
  }

private:
  /** Number of stripes, and of children of an inner VM; with equal numbers each VM sends about one
   * copy. */
  static constexpr uint32_t kStripes = 4;
  static constexpr size_t kAncestors = 2;

  static std::vector<std::string> stripeOrder(const LocalVm& aLocalVm,
                                              const std::vector<std::string>& aIds,
                                              uint32_t aStripe)
  {
    auto ids = rendezvousOrder(aIds, aLocalVm.manifestSeed);
    if (!ids.empty()) {
      std::rotate(ids.begin(),
                  ids.begin() + static_cast<ptrdiff_t>(ids.size() * aStripe / kStripes),
                  ids.end());
    }
    return ids;
  }

  static std::vector<std::string> lineage(const LocalVm& aLocalVm,
                                          const Members& aMembers,
                                          uint32_t aStripe)
  {
    auto ids = stripeOrder(aLocalVm, membersOf(aMembers, aLocalVm.region), aStripe);
    auto position =
      static_cast<size_t>(std::find(ids.begin(), ids.end(), aLocalVm.id) - ids.begin());
    std::vector<std::string> ancestors;
    while (position > 0 && ancestors.size() < kAncestors) {
      position = (position - 1) / kStripes;
      ancestors.push_back(ids[position]);
    }
    auto regions = regionOrder(aLocalVm, aMembers, aLocalVm.manifestSeed);
    if (position == 0 && !regions.empty() && regions.front() != aLocalVm.region) {
      auto first = stripeOrder(aLocalVm, membersOf(aMembers, regions.front()), aStripe);
      ancestors.push_back(first.front());
    }
    return ancestors;
  }
};

} // namespace

std::unique_ptr<ChunkSelection> makeOriginSelection()
{
  return std::make_unique<OriginSelection>();
}

std::unique_ptr<ChunkSelection> makeChainSelection()
{
  return std::make_unique<ChainSelection>();
}

std::unique_ptr<ChunkSelection> makeTreesSelection()
{
  return std::make_unique<TreesSelection>();
}

} // namespace boragepitch::weights
