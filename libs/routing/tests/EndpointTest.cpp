#define BOOST_TEST_MODULE routing_endpoint
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "routing/EndpointChoice.h"
#include "support/FakeFleet.h"

using namespace boragepitch;
using namespace boragepitch::routing;
using namespace std::chrono_literals;

namespace {

const std::string kOld(64, 'a');
const std::string kNew(64, 'b');

std::shared_ptr<const EndpointTable> build(const test::FakeFleet& aFleet,
                                           const EndpointTable* aPrevious = nullptr)
{
  return EndpointTable::build(*aFleet.config(), *aFleet.nodes(), aPrevious);
}

std::vector<std::unique_ptr<EndpointChoice>> allChoices()
{
  std::vector<std::unique_ptr<EndpointChoice>> choices;
  choices.push_back(std::make_unique<PowerOfTwoChoice>(nullptr));
  choices.push_back(std::make_unique<RoundRobin>());
  choices.push_back(std::make_unique<LeastLoaded>());
  return choices;
}

} // namespace

// Guards against new work for an endpoint whose zone or VM is out of service, that is leaving or
// dead, that has another role, or that serves another version than a resumed stream needs.
RC_BOOST_PROP(choosesOnlyEndpointsThatQualify, (uint32_t aSeed))
{
  base::Rng rng(aSeed);
  test::FakeFleet fleet;
  fleet.declare("Serving", "m", resources::Serving{ .model = "m", .version = "2" });
  std::set<std::string> qualifying;
  for (int i = 0; i < 12; ++i) {
    std::string name = "e" + std::to_string(i);
    std::string zone = "z" + std::to_string(i % 3);
    bool isNew = base::uniformBelow(rng, 2) == 0;
    auto state =
      test::addModelEndpoint(fleet, name, zone, { "m", isNew ? "2" : "1", isNew ? kNew : kOld });
    bool qualifies = isNew;
    switch (base::uniformBelow(rng, 6)) {
      case 0:
        state.phase = control::Phase::Leaving;
        fleet.setNode(state);
        qualifies = false;
        break;
      case 1:
        fleet.setNode(state, control::Liveness::Dead);
        qualifies = false;
        break;
      case 2:
        fleet.declare("Vm", "vm-" + name, resources::Vm{ .zone = zone, .inService = false });
        qualifies = false;
        break;
      case 3:
        fleet.declare("Endpoint",
                      name,
                      resources::Endpoint{ .vm = "vm-" + name, .role = resources::Role::Prefill });
        qualifies = false;
        break;
      default:
        break;
    }
    if (qualifies && i % 3 != 2) {
      qualifying.insert(name);
    }
  }
  fleet.declare("Zone", "z2", resources::Zone{ .region = "z2", .inService = false });
  auto table = build(fleet);
  for (const auto& choice : allChoices()) {
    for (int i = 0; i < 20; ++i) {
      auto* chosen = choice->choose(
        *table, { .model = "m", .manifest = kNew, .zone = "z0" }, base::TimePoint(1h), rng);
      RC_ASSERT((chosen == nullptr) == qualifying.empty());
      bool qualifies = chosen == nullptr || qualifying.contains(chosen->name);
      RC_ASSERT(qualifies);
    }
  }
}

// Guards against load concentration: with accurate counts every endpoint stays near the average.
RC_BOOST_PROP(powerOfTwoBalances, (uint32_t aSeed))
{
  base::Rng rng(aSeed);
  test::FakeFleet fleet;
  fleet.declare("Serving", "m", resources::Serving{ .model = "m", .version = "2" });
  for (int i = 0; i < 10; ++i) {
    test::addModelEndpoint(fleet, "e" + std::to_string(i), "z", { "m", "2", kNew }, {}, 1, 100);
  }
  auto table = build(fleet);
  PowerOfTwoChoice choice(nullptr);
  for (int i = 0; i < 500; ++i) {
    ++choice.choose(*table, { .model = "m", .zone = "z" }, base::TimePoint(1h), rng)
        ->load->inFlight;
  }
  for (const EndpointInfo* endpoint : table->forModel("m")) {
    RC_ASSERT(endpoint->load->inFlight >= 40 && endpoint->load->inFlight <= 60);
  }
}

// Guards against sending work to another zone while the local zone has capacity, and against
// keeping it in the local zone when that is full.
BOOST_AUTO_TEST_CASE(prefersNearEndpointsBelowTheirLimit)
{
  base::Rng rng(1);
  test::FakeFleet fleet;
  fleet.declare("Serving", "m", resources::Serving{ .model = "m", .version = "2" });
  test::addModelEndpoint(fleet, "near", "a", { "m", "2", kNew });
  test::addModelEndpoint(fleet, "far", "b", { "m", "2", kNew });
  auto table = build(fleet);
  PowerOfTwoChoice choice(nullptr);
  ChoiceRequest request{ .model = "m", .zone = "a", .region = "a" };
  BOOST_TEST(choice.choose(*table, request, base::TimePoint(1h), rng)->name == "near");
  table->find("near")->load->inFlight = 8;
  BOOST_TEST(choice.choose(*table, request, base::TimePoint(1h), rng)->name == "far");
}

// Guards against load counters that are lost when the table is rebuilt.
BOOST_AUTO_TEST_CASE(rebuildingKeepsLoad)
{
  test::FakeFleet fleet;
  test::addModelEndpoint(fleet, "e", "a", { "m", "2", kNew });
  auto first = build(fleet);
  first->find("e")->load->inFlight = 3;
  BOOST_TEST(build(fleet, first.get())->find("e")->load->inFlight.load() == 3);
}

// Guards against listing endpoints that no Serving resource of the model covers, and against
// adapters that are not listed.
BOOST_AUTO_TEST_CASE(followsServingDeclarations)
{
  test::FakeFleet fleet;
  fleet.declare("ModelVersion",
                "ad-1",
                resources::ModelVersion{ .model = "ad", .version = "1", .adapterOf = "m" });
  fleet.declare(
    "Serving",
    "m",
    resources::Serving{ .model = "m", .version = "2", .zones = { "a" }, .adapters = { "ad-1" } });
  auto state = test::addModelEndpoint(fleet, "inside", "a", { "m", "2", kNew });
  state.serving.push_back({ "ad", "1", kOld });
  fleet.setNode(state);
  test::addModelEndpoint(fleet, "outside", "b", { "m", "2", kNew });
  auto table = build(fleet);
  BOOST_TEST(table->forModel("m").size() == 1);
  BOOST_TEST(table->forModel("ad").size() == 1);
  BOOST_TEST(table->isDeclared("ad"));
  BOOST_TEST(!table->isDeclared("x"));
}

// Guards against affinity to an endpoint whose engine restarted or whose events had a gap, and
// against an unbounded number of hints.
RC_BOOST_PROP(cacheHintsAreBoundedAndInvalidAfterAGap, (const std::vector<uint8_t>& aPrefixes))
{
  base::TimePoint now{ 1h };
  CacheHints hints(16, 1min);
  uint64_t sequence = 0;
  for (uint8_t prefix : aPrefixes) {
    hints.apply({ "e", "boot", ++sequence, prefix + 1ULL, prefix % 5 == 0 }, now);
    RC_ASSERT(hints.size() <= 16);
    RC_ASSERT(hints.find(prefix + 1ULL, now) == (prefix % 5 == 0 ? "" : "e"));
  }
  hints.apply({ "e", "boot", sequence + 2, 999, false }, now);
  for (uint8_t prefix : aPrefixes) {
    RC_ASSERT(sequence == 0 || hints.find(prefix + 1ULL, now).empty());
  }
  RC_ASSERT(hints.find(999, now) == "e");
  hints.apply({ "e", "boot-2", 1, 998, false }, now);
  RC_ASSERT(hints.find(999, now).empty());
  RC_ASSERT(hints.find(998, now + 2min).empty());
}

// Guards against prefix affinity that overloads the endpoint with the cached prefix.
BOOST_AUTO_TEST_CASE(prefixHolderWinsUnlessBusier)
{
  base::Rng rng(1);
  base::TimePoint now{ 1h };
  test::FakeFleet fleet;
  fleet.declare("Serving", "m", resources::Serving{ .model = "m", .version = "2" });
  for (int i = 0; i < 8; ++i) {
    test::addModelEndpoint(fleet, "e" + std::to_string(i), "a", { "m", "2", kNew });
  }
  auto table = build(fleet);
  CacheHints hints;
  hints.apply({ "e5", "boot-1", 0, 77, false }, now);
  PowerOfTwoChoice choice(&hints);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(choice.choose(*table, { .model = "m", .prefix = 77 }, now, rng)->name == "e5");
  }
  table->find("e5")->load->inFlight = 7;
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(choice.choose(*table, { .model = "m", .prefix = 77 }, now, rng)->name != "e5");
  }
}
