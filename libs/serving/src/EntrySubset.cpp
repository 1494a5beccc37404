#include "serving/EntrySubset.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "base/Digest.h"

namespace boragepitch::serving {

namespace {

/** Maps a hash to the open interval (0, 1). */
double unitInterval(uint64_t aHash)
{
  constexpr int kMantissaBits = 53;
  return (static_cast<double>(aHash >> (64 - kMantissaBits)) + 0.5) / (1ULL << kMantissaBits);
}

} // namespace

EntrySubset::EntrySubset(SubsetOptions aOptions)
  : mOptions(aOptions)
{
}

void EntrySubset::setEntries(std::span<const EntryIdentity> aEntries)
{
  mEntries.clear();
  for (const EntryIdentity& entry : aEntries) {
    mEntries.push_back({ entry.name, entry.region, base::fastHash(base::asBytes(entry.name)) });
  }
}

size_t EntrySubset::entriesOfEndpoint() const
{
  return std::min(mOptions.entriesPerEndpoint, mEntries.size());
}

double EntrySubset::scoreOf(const Entry& aEntry,
                            uint64_t aEndpointHash,
                            std::string_view aRegion) const
{
  std::array<uint64_t, 2> pair{ aEntry.hash, aEndpointHash };
  double weight = aEntry.region == aRegion ? mOptions.sameRegionWeight : 1;
  return -weight / std::log(unitInterval(base::fastHash(std::as_bytes(std::span(pair)))));
}

std::set<std::string, std::less<>> EntrySubset::entriesUsing(std::string_view aEndpoint,
                                                             std::string_view aRegion) const
{
  uint64_t endpoint = base::fastHash(base::asBytes(aEndpoint));
  std::vector<std::pair<double, const Entry*>> ranked;
  for (const Entry& entry : mEntries) {
    ranked.emplace_back(-scoreOf(entry, endpoint, aRegion), &entry);
  }
  auto end = ranked.begin() + static_cast<std::ptrdiff_t>(entriesOfEndpoint());
  std::partial_sort(ranked.begin(), end, ranked.end());
  std::set<std::string, std::less<>> names;
  for (auto best = ranked.begin(); best != end; ++best) {
    names.insert(best->second->name);
  }
  return names;
}

size_t EntrySubset::rankOf(std::string_view aEntry,
                           std::string_view aEndpoint,
                           std::string_view aRegion) const
{
  auto entry = std::find_if(mEntries.begin(), mEntries.end(), [&](const Entry& aCandidate) {
    return aCandidate.name == aEntry;
  });
  if (entry == mEntries.end()) {
    return mEntries.size();
  }
  uint64_t endpoint = base::fastHash(base::asBytes(aEndpoint));
  double score = scoreOf(*entry, endpoint, aRegion);
  auto ahead = std::count_if(mEntries.begin(), mEntries.end(), [&](const Entry& aOther) {
    return scoreOf(aOther, endpoint, aRegion) > score;
  });
  return static_cast<size_t>(ahead);
}

bool EntrySubset::usesEndpoint(std::string_view aEntry,
                               std::string_view aEndpoint,
                               std::string_view aRegion) const
{
  return rankOf(aEntry, aEndpoint, aRegion) < entriesOfEndpoint();
}

} // namespace boragepitch::serving
