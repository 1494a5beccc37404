#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace boragepitch::serving {

/** Identity of one entry process, as far as the choice of subsets depends on it. */
struct EntryIdentity
{
  std::string name; ///< Unique in the fleet.
  std::string region;

  bool operator==(const EntryIdentity&) const = default;
};

struct SubsetOptions
{
  /** Number of entries that use one endpoint. Fewer entries know its load better; with too few, the
   * endpoints of a busy entry are full while others are idle. */
  size_t entriesPerEndpoint = 4;
  /** How much more often an entry of the endpoint's own region is chosen than another one. */
  double sameRegionWeight = 4;
};

/**
 * Assigns to each endpoint the entries that use it, by weighted rendezvous hashing: every process
 * that knows the same entries computes the same assignment, and an entry that joins or leaves moves
 * only the assignments that it takes or gives up. Not thread-safe.
 */
class EntrySubset
{
public:
  explicit EntrySubset(SubsetOptions aOptions);

  void setEntries(std::span<const EntryIdentity> aEntries);
  /** Whether the entry is among those that use the endpoint, whose address and region are given.
   * False for an unknown entry. */
  bool usesEndpoint(std::string_view aEntry,
                    std::string_view aEndpoint,
                    std::string_view aRegion) const;
  /** Number of entries that take precedence over the entry at the endpoint; the number of entries
   * for an unknown entry. */
  size_t rankOf(std::string_view aEntry,
                std::string_view aEndpoint,
                std::string_view aRegion) const;
  /** Names of the entries that use the endpoint. */
  std::set<std::string, std::less<>> entriesUsing(std::string_view aEndpoint,
                                                  std::string_view aRegion) const;
  /** Number of entries that use one endpoint. */
  size_t entriesOfEndpoint() const;
  size_t entryCount() const { return mEntries.size(); }

private:
  struct Entry
  {
    std::string name;
    std::string region;
    uint64_t hash = 0; ///< Hash of the name.
  };

  double scoreOf(const Entry& aEntry, uint64_t aEndpointHash, std::string_view aRegion) const;

  const SubsetOptions mOptions;
  std::vector<Entry> mEntries;
};

} // namespace boragepitch::serving
