#define BOOST_TEST_MODULE serving_request_limit
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <vector>

#include "base/Rng.h"
#include "serving/EndpointSet.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

namespace {

/** The platform counts in this time; tolerated are this factor on the limit and further requests.
 */
constexpr auto kWindow = 4s;
constexpr double kToleratedFactor = 1.5;
constexpr double kTolerance = 5;
/** Time from the first answer with a limit until the platform counts. */
constexpr auto kStart = 3s;

struct Result
{
  double mostInWindow = 0;
  double perSecond = 0; ///< Mean over all of the counted time.
  /** Refusals that are not due to the limit or name no time. Counted, since a check for each of the
   * millions of refusals takes minutes with the thread sanitizer. */
  size_t wrongRefusals = 0;
};

/** Entries that would send far more than the limit to one endpoint; each learns of the limit from
 * the answers to its own requests. */
Result play(size_t aEntries, double aLimit, bool aIsEngine, base::Duration aLength, uint64_t aSeed)
{
  std::vector<EntryIdentity> identities;
  for (size_t i = 0; i < aEntries; ++i) {
    identities.push_back({ "e" + std::to_string(i), "r" });
  }
  Route route;
  Service service;
  service.name = "s";
  if (aIsEngine) {
    service.engine = EngineProfile();
  }
  EndpointRecord record;
  record.id = "n";
  record.service = "s";
  record.address = { "10.0.0.1", 80 };
  record.region = "r";
  record.slots = 1000;
  record.weightVersion = 1;
  base::TimePoint start{ 1h };
  std::vector<EndpointSet> sets;
  for (size_t i = 0; i < aEntries; ++i) {
    PlacementOptions options;
    options.node = identities[i].name;
    options.region = "r";
    sets.emplace_back(options);
    auto others = identities;
    others.erase(others.begin() + static_cast<ptrdiff_t>(i));
    sets.back().setOtherEntries(others);
    sets.back().apply(record, &service, start);
  }
  base::Rng rng(aSeed);
  Result result;
  std::deque<base::TimePoint> arrivals;
  size_t count = 0;
  PlacementRequest request;
  request.route = &route;
  request.service = &service;
  for (auto now = start; now < start + aLength; now += 10ms) {
    for (EndpointSet& set : sets) {
      if (base::uniformBelow(rng, 4) != 0) {
        continue;
      }
      auto placement = set.choose(request, now, rng);
      if (!placement.endpoint) {
        bool isRight = placement.refusal == Refusal::Limited && placement.unavailableFor > 0s;
        result.wrongRefusals += isRight ? 0 : 1;
        continue;
      }
      auto occupancy = set.started(placement, request, now);
      set.finished(*placement.endpoint, occupancy, Outcome::Success, now);
      placement.endpoint->limit.record(aLimit, now, now);
      if (now < start + kStart) {
        continue;
      }
      arrivals.push_back(now);
      ++count;
      while (arrivals.front() < now - kWindow) {
        arrivals.pop_front();
      }
      result.mostInWindow = std::max(result.mostInWindow, static_cast<double>(arrivals.size()));
    }
  }
  result.perSecond =
    static_cast<double>(count) / std::chrono::duration<double>(aLength - kStart).count();
  return result;
}

} // namespace

// Guards against entries that obey a limit each for itself and exceed it together (LIMIT).
BOOST_AUTO_TEST_CASE(entriesTogetherKeepTheLimit)
{
  BOOST_TEST(toString(Refusal::Limited) == "limited");
  for (size_t entries : { 1, 2, 4, 6, 8, 21, 60 }) {
    for (double limit : { 0.0, 0.3, 1.0, 1.9, 2.0, 5.5, 20.0 }) {
      for (bool isEngine : { false, true }) {
        for (uint64_t seed = 1; seed <= 3; ++seed) {
          Result result = play(entries, limit, isEngine, 60s, seed);
          BOOST_TEST_CONTEXT(entries << " entries, limit " << limit << ", engine " << isEngine)
          {
            double window = std::chrono::duration<double>(kWindow).count();
            BOOST_TEST(result.mostInWindow <= kToleratedFactor * window * limit + kTolerance);
            if (limit >= 1) {
              BOOST_TEST(result.perSecond >= 0.8 * limit);
            }
            // Somebody asks whether the limit still holds.
            BOOST_TEST(result.perSecond > 0);
            BOOST_TEST(result.wrongRefusals == 0U);
          }
        }
      }
    }
  }
}

// Guards against entries outside the division that all ask at once whether the limit still holds.
BOOST_AUTO_TEST_CASE(entriesOutsideTheDivisionAskInTurn)
{
  Result result = play(21, 0, false, 1200s, 1);
  BOOST_TEST(result.mostInWindow <= kTolerance);
  BOOST_TEST(result.wrongRefusals == 0U);
}

// Guards against callers that are told to wait minutes for one entry while others serve requests.
BOOST_AUTO_TEST_CASE(callersAreToldWhenAnyEntryTakesThem)
{
  base::TimePoint now{ 1h };
  for (size_t rank : { 0U, 5U, 6U, 20U }) {
    LimitSharers sharers{ 21, 21, rank };
    RequestLimit limit;
    limit.recordSend(sharers, now);
    limit.record(2, now, now + 5ms);
    BOOST_TEST_CONTEXT("rank " << rank)
    {
      bool isOutside = rank >= 6;
      BOOST_TEST((limit.waitTime(sharers, now + 10ms) > 10s) == isOutside);
      // Six entries share two requests a second.
      BOOST_TEST((limit.retryTime(sharers, now + 10ms) <= 3s));
      BOOST_TEST((limit.retryTime(sharers, now + 10ms) > 0s));
      limit.record(std::nullopt, now + 20ms, now + 25ms);
      BOOST_TEST((limit.retryTime(sharers, now + 30ms) == 0s));
    }
  }
}

// Guards against an entry that takes the whole limit before it knows the other entries.
BOOST_AUTO_TEST_CASE(anEntryThatKnowsNoOthersTakesAPart)
{
  base::TimePoint now{ 1h };
  PlacementOptions options;
  EndpointSet set(options);
  Route route;
  Service service;
  service.name = "s";
  EndpointRecord record;
  record.id = "n";
  record.service = "s";
  set.apply(record, &service, now);
  PlacementRequest request;
  request.route = &route;
  request.service = &service;
  base::Rng rng(1);
  auto placement = set.choose(request, now, rng);
  BOOST_REQUIRE(placement.endpoint);
  set.started(placement, request, now);
  placement.endpoint->limit.record(2, now, now);
  BOOST_TEST(!set.choose(request, now + 600ms, rng).endpoint);
  BOOST_TEST(set.choose(request, now + 2s, rng).endpoint);
  set.setOtherEntries({});
  BOOST_TEST(set.choose(request, now + 600ms, rng).endpoint);
}

// Guards against answers that overtake each other: one written before the limit was named does not
// end it, and a former limit does not replace a newer one.
BOOST_AUTO_TEST_CASE(answersOvertakeEachOther)
{
  RequestLimit limit;
  base::TimePoint now{ 1h };
  BOOST_TEST(!limit.record(std::nullopt, now, now + 5ms));
  BOOST_TEST(limit.record(3.0, now + 10ms, now + 50ms));
  BOOST_TEST(!limit.record(std::nullopt, now + 20ms, now + 60ms));
  BOOST_TEST(limit.record(2.0, now + 70ms, now + 80ms));
  BOOST_TEST(!limit.record(3.0, now + 65ms, now + 90ms));
  BOOST_TEST(*limit.perSecond() == 2.0);
  BOOST_TEST(limit.record(4.0, now + 100ms, now + 110ms));
  BOOST_TEST(*limit.perSecond() == 4.0);
  BOOST_TEST(limit.record(std::nullopt, now + 120ms, now + 130ms));
  BOOST_TEST(!limit.perSecond());
}
