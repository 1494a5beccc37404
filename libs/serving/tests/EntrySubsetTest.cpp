#define BOOST_TEST_MODULE serving_entry_subset
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>

#include "base/Rng.h"
#include "serving/EndpointSet.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

namespace {

std::vector<EntryIdentity> entries(size_t aCount)
{
  std::vector<EntryIdentity> list;
  for (size_t i = 0; i < aCount; ++i) {
    list.push_back({ "entry-" + std::to_string(i), "region-" + std::to_string(i % 3) });
  }
  return list;
}

std::string endpointName(size_t aNumber)
{
  return "10.0.0." + std::to_string(aNumber) + ":80";
}

std::vector<std::string> usersOf(const EntrySubset& aSubset,
                                 std::span<const EntryIdentity> aEntries,
                                 size_t aEndpoint)
{
  std::vector<std::string> users;
  for (const EntryIdentity& entry : aEntries) {
    if (aSubset.usesEndpoint(
          entry.name, endpointName(aEndpoint), "region-" + std::to_string(aEndpoint % 3))) {
      users.push_back(entry.name);
    }
  }
  return users;
}

} // namespace

// Guards against endpoints that no entry uses, and against entries with far too many of them.
BOOST_AUTO_TEST_CASE(everyEndpointIsUsedByTheSameNumberOfEntries)
{
  constexpr size_t kEndpoints = 600;
  for (size_t count : { 1U, 4U, 21U, 60U, 330U }) {
    auto list = entries(count);
    EntrySubset subset{ SubsetOptions() };
    subset.setEntries(list);
    std::map<std::string, size_t> load;
    size_t expected = std::min<size_t>(SubsetOptions().entriesPerEndpoint, count);
    for (size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
      auto users = usersOf(subset, list, endpoint);
      BOOST_REQUIRE(users.size() == expected);
      auto ranked =
        subset.entriesUsing(endpointName(endpoint), "region-" + std::to_string(endpoint % 3));
      BOOST_REQUIRE((ranked == std::set<std::string, std::less<>>(users.begin(), users.end())));
      for (const std::string& user : users) {
        ++load[user];
      }
    }
    BOOST_TEST(load.size() == count);
    auto most =
      std::max_element(load.begin(), load.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    double mean = static_cast<double>(kEndpoints * expected) / static_cast<double>(count);
    // Six standard deviations of an independent draw.
    BOOST_TEST(static_cast<double>(most->second) <= mean + 6 * std::sqrt(mean));
  }
}

// Guards against subsets that change as a whole whenever an entry joins.
BOOST_AUTO_TEST_CASE(anEntryThatJoinsTakesOnlyItsOwnEndpoints)
{
  auto before = entries(21);
  auto after = entries(22);
  EntrySubset subset{ SubsetOptions() };
  for (size_t endpoint = 0; endpoint < 138; ++endpoint) {
    subset.setEntries(before);
    auto usersBefore = usersOf(subset, before, endpoint);
    subset.setEntries(after);
    auto usersAfter = usersOf(subset, after, endpoint);
    auto lost =
      std::count_if(usersBefore.begin(), usersBefore.end(), [&](const std::string& aUser) {
        return std::find(usersAfter.begin(), usersAfter.end(), aUser) == usersAfter.end();
      });
    bool isTaken =
      std::find(usersAfter.begin(), usersAfter.end(), after.back().name) != usersAfter.end();
    BOOST_TEST(lost == (isTaken ? 1 : 0));
  }
}

// Guards against traffic between regions that entries of the endpoint's region could avoid.
BOOST_AUTO_TEST_CASE(prefersEntriesOfTheSameRegion)
{
  auto list = entries(21);
  EntrySubset subset{ SubsetOptions() };
  subset.setEntries(list);
  size_t same = 0;
  size_t all = 0;
  for (size_t endpoint = 0; endpoint < 138; ++endpoint) {
    for (const std::string& user : usersOf(subset, list, endpoint)) {
      size_t number = std::stoul(user.substr(user.find('-') + 1));
      same += number % 3 == endpoint % 3 ? 1 : 0;
      ++all;
    }
  }
  BOOST_TEST(same > all / 2);
  BOOST_TEST(same < all);
}

// Guards against crashes of an endpoint in cold start: however many entries there are, they
// together stay within its rate, also while some of them do not know of the others yet.
BOOST_AUTO_TEST_CASE(coldRateHoldsForTheSumOfManyEntries)
{
  Service drafter;
  drafter.name = "drafter";
  drafter.engine = EngineProfile{};
  drafter.engine->slots = 8;
  drafter.coldRequestsPerSecond = 14;
  drafter.coldTime = 3s;
  Route route;
  route.kind = CallKind::Streaming;
  EndpointRecord record;
  record.id = "cold";
  record.service = "drafter";
  record.address = { "10.0.0.1", 80 };
  record.region = "region-0";
  record.startTimeMs = 5;
  record.slots = 8;
  record.coldFor = 3s;
  record.weightVersion = 1;
  base::Rng rng{ 7 };
  base::TimePoint now{ 1h };
  for (size_t count : { 21U, 27U, 330U }) {
    auto list = entries(count);
    int sent = 0;
    for (size_t i = 0; i < count; ++i) {
      PlacementOptions options;
      options.node = list[i].name;
      options.region = list[i].region;
      EndpointSet set{ options };
      // A tenth of the entries is known only to some of the others.
      std::vector<EntryIdentity> known;
      for (size_t other = 0; other < count; ++other) {
        if (other != i && (other % 10 != 0 || base::uniformBelow(rng, 2) == 0)) {
          known.push_back(list[other]);
        }
      }
      set.setOtherEntries(known);
      set.apply(record, &drafter, now);
      PlacementRequest request;
      request.route = &route;
      request.service = &drafter;
      request.promptTokens = 100;
      for (int attempt = 0; attempt < 100; ++attempt) {
        auto placement = set.choose(request, now, rng);
        if (!placement.endpoint) {
          break;
        }
        auto occupancy = set.started(placement, request, now);
        set.finished(*placement.endpoint, occupancy, Outcome::Abandoned, now);
        ++sent;
      }
    }
    BOOST_TEST(sent > 0);
    BOOST_TEST(sent <= drafter.coldRequestsPerSecond * 1.5 + 5, count << " entries");
  }
}
