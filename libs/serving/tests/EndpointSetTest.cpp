#define BOOST_TEST_MODULE serving_endpoints
#include <boost/test/unit_test.hpp>

#include <set>

#include "serving/EndpointSet.h"
#include "serving/EngineModel.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

namespace {

/** Endpoints with and without engines in two regions, as seen by an entry in zone north-a. */
struct Fixture
{
  Fixture()
  {
    EngineProfile profile;
    profile.slots = 16;
    profile.stepMs = 7.4;
    profile.perSequenceMs = 0.0387;
    profile.promptTokensPerSecond = 31900;
    profile.stepsPerPass = 6;
    profile.meanPromptTokens = 973;
    profile.meanAnswerTokens = 106;
    drafter.name = "drafter";
    drafter.engine = profile;
    drafter.coldRequestsPerSecond = 36;
    drafter.coldTime = 3s;
    millbook.name = "millbook";
    route.kind = CallKind::Streaming;
    route.isResumable = true;
  }

  void list(const std::string& aId,
            const std::string& aRegion,
            const Service& aService,
            uint64_t aWeights = 1,
            base::Milliseconds aCold = 0ms,
            bool aDraining = false)
  {
    EndpointRecord record;
    record.id = aId;
    record.service = aService.name;
    record.address = { "10.0.0.1", 8000 + static_cast<int>(set.all().size()) };
    record.zone = aRegion + "-a";
    record.region = aRegion;
    record.startTimeMs = 5;
    record.slots = aService.engine ? 16 : 6;
    record.coldFor = aCold;
    record.isDraining = aDraining;
    record.weightVersion = aWeights;
    set.apply(record, &aService, now);
  }

  PlacementRequest request(const Service& aService)
  {
    PlacementRequest created;
    created.route = &route;
    created.service = &aService;
    created.promptTokens = 973;
    created.firstEventBudget = 400ms;
    return created;
  }

  /** Sets the number of entries, this one included. */
  void setEntryCount(int aCount)
  {
    std::vector<EntryIdentity> others;
    for (int i = 1; i < aCount; ++i) {
      others.push_back({ "entry-" + std::to_string(i), "north" });
    }
    set.setOtherEntries(others);
  }

  /** Places a request and keeps it in flight. Returns the id of its endpoint; empty if refused. */
  std::string place(const PlacementRequest& aRequest)
  {
    auto placement = set.choose(aRequest, now, rng);
    if (!placement.endpoint) {
      return "";
    }
    placed.push_back({ placement.endpoint, set.started(placement, aRequest, now) });
    return placement.endpoint->record.id;
  }

  void beginAll()
  {
    for (auto& [endpoint, occupancy] : placed) {
      set.firstEvent(*endpoint, occupancy, base::Milliseconds(100));
    }
  }

  LoadReport report(const std::string& aId, int aRunning, int aQueued)
  {
    LoadReport created;
    created.address = set.all().at(aId)->record.address.toString();
    created.startTimeMs = 5;
    created.running = aRunning;
    created.queued = aQueued;
    created.weightVersion = 1;
    return created;
  }

  PlacementOptions options{ .zone = "north-a",
                            .region = "north",
                            .budgetFactor = 1.0,
                            .minBudget = 0ms };
  EndpointSet set{ options };
  Service drafter;
  Service millbook;
  Route route;
  base::Rng rng{ 1 };
  base::TimePoint now{ 1h };
  std::vector<std::pair<EndpointPtr, Occupancy>> placed;
};

} // namespace

// Guards against requests to endpoints that are draining, in an evacuated zone or without weights.
BOOST_FIXTURE_TEST_CASE(skipsEndpointsThatMayNotServe, Fixture)
{
  list("draining", "north", drafter, 1, 0ms, true);
  list("empty", "north", drafter, 0);
  list("other", "north", millbook);
  list("far", "south", drafter);
  BOOST_TEST(place(request(drafter)) == "far");
  set.setEvacuated({ "south-a" });
  auto placement = set.choose(request(drafter), now, rng);
  BOOST_TEST(!placement.endpoint);
  BOOST_TEST((placement.refusal == Refusal::NoEndpoint));
}

// Guards against requests to regions that their route or their workspace does not allow.
BOOST_FIXTURE_TEST_CASE(regionsOfRouteAndWorkspaceBothApply, Fixture)
{
  list("n", "north", drafter);
  list("s", "south", drafter);
  route.regions = { "south" };
  BOOST_TEST(place(request(drafter)) == "s");
  Workspace workspace{ .name = "w", .regions = { "north" } };
  auto both = request(drafter);
  both.workspace = &workspace;
  BOOST_TEST(place(both).empty());
}

// Guards against a burst that grows the engine's queue until every first event is late.
BOOST_FIXTURE_TEST_CASE(refusesABurstThatWouldBeLate, Fixture)
{
  list("n", "north", drafter);
  int admitted = 0;
  while (admitted < 100 && !place(request(drafter)).empty()) {
    ++admitted;
  }
  // Of the 400 ms, the first event takes a pass of 46 ms, and each prompt 31 ms.
  BOOST_TEST(admitted >= 3);
  BOOST_TEST(admitted <= 12);
  BOOST_TEST((set.choose(request(drafter), now, rng).refusal == Refusal::Full));
}

// Guards against refusing a request whose first endpoint did not answer until the latency target
// had passed. A request that was sent before is served late instead.
BOOST_FIXTURE_TEST_CASE(retriedRequestIsServedLate, Fixture)
{
  list("n", "north", drafter);
  auto late = request(drafter);
  late.firstEventBudget = -40ms;
  BOOST_TEST(place(late).empty());
  late.urgency = Urgency::Late;
  BOOST_TEST(place(late) == "n");
}

// Guards against requests to an endpoint that left while this process had no connection to the
// list. Until its grace has passed, a lapsed endpoint is used only when there is no other.
BOOST_FIXTURE_TEST_CASE(lapsedEndpointIsUsedOnlyWithoutOthers, Fixture)
{
  list("gone", "north", millbook);
  list("there", "south", millbook);
  set.lapse("gone", now);
  for (int i = 0; i < 9; ++i) {
    BOOST_TEST(place(request(millbook)) == "there");
  }
  BOOST_TEST(place(request(millbook)).empty());
  set.remove("there", now);
  BOOST_TEST(place(request(millbook)) == "gone");
  list("there", "south", millbook);
  list("gone", "north", millbook);
  BOOST_TEST(place(request(millbook)) == "gone");
}

// Guards against a stale row that shows an endpoint as ready after it announced its leave.
BOOST_FIXTURE_TEST_CASE(staleRowDoesNotRevokeAnAnnouncedLeave, Fixture)
{
  list("n", "north", millbook, 1, 0ms, true);
  list("n", "north", millbook);
  BOOST_TEST(place(request(millbook)).empty());
  set.remove("n", now);
  list("n", "north", millbook);
  BOOST_TEST(place(request(millbook)).empty());
  EndpointRecord restarted = set.all().at("n")->record;
  restarted.startTimeMs = 6;
  set.apply(restarted, &millbook, now);
  BOOST_TEST(place(request(millbook)) == "n");
}

// Guards against memory that grows with the number of endpoints that ever left.
BOOST_FIXTURE_TEST_CASE(forgetsEndpointsThatLeftLongAgo, Fixture)
{
  for (int i = 0; i < 100; ++i) {
    std::string id = "n" + std::to_string(i);
    list(id, "north", millbook);
    set.remove(id, now);
    now += 2s;
  }
  BOOST_TEST(set.listedCount() == 0U);
  BOOST_TEST(set.all().size() <= 31U);
}

// Guards against several entries that overload one endpoint: its report counts the requests of the
// other entries.
BOOST_FIXTURE_TEST_CASE(reportsCountRequestsOfOtherEntries, Fixture)
{
  list("busy", "north", drafter);
  list("free", "north", drafter);
  set.recordReport(report("busy", 16, 4), now);
  set.recordReport(report("free", 2, 0), now);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(place(request(drafter)) == "free");
  }
}

// Guards against placement by a stale report: requests sent since the report are added to it.
BOOST_FIXTURE_TEST_CASE(ownRequestsCountBeforeTheNextReport, Fixture)
{
  list("a", "north", drafter);
  list("b", "north", drafter);
  set.recordReport(report("a", 0, 0), now);
  set.recordReport(report("b", 0, 0), now);
  std::multiset<std::string> places;
  for (int i = 0; i < 8; ++i) {
    places.insert(place(request(drafter)));
  }
  BOOST_TEST(places.count("a") == 4U);
  BOOST_TEST(places.count("b") == 4U);
}

// Guards against several entries that send to one engine between two reports: each entry assumes
// that the others send as it does, until the next report shows the actual load.
BOOST_FIXTURE_TEST_CASE(assumesThatOtherEntriesSendAsMuch, Fixture)
{
  list("n", "north", drafter);
  auto admittedBy = [&](int aSenders) {
    setEntryCount(aSenders);
    set.recordReport(report("n", 0, 0), now);
    int admitted = 0;
    while (admitted < 100 && !place(request(drafter)).empty()) {
      ++admitted;
    }
    for (auto& [endpoint, occupancy] : placed) {
      set.finished(*endpoint, occupancy, Outcome::Abandoned, now);
    }
    placed.clear();
    return admitted;
  };
  int alone = admittedBy(1);
  int withSixSenders = admittedBy(6);
  BOOST_TEST(withSixSenders < alone);
  BOOST_TEST(withSixSenders >= 1);
  BOOST_TEST(admittedBy(1) == alone);
}

// Guards against refusals by a busy entry while engines that only others use are idle, and against
// sends to such an engine when it is not known to be idle.
BOOST_FIXTURE_TEST_CASE(takesSpareSlotsOfEnginesThatOthersUse, Fixture)
{
  setEntryCount(21);
  int used = 0;
  for (int i = 0; i < 40; ++i) {
    list("n" + std::to_string(i), "north", drafter);
    used += set.all().at("n" + std::to_string(i))->isInSubset ? 1 : 0;
  }
  BOOST_REQUIRE(used > 0);
  BOOST_REQUIRE(used < 40);
  auto reportOthers = [&](int aRunning) {
    for (const auto& [id, endpoint] : set.all()) {
      set.recordReport(endpoint->isInSubset ? report(id, 16, 20) : report(id, aRunning, 0), now);
    }
  };
  BOOST_TEST(set.all().at(place(request(drafter)))->isInSubset);
  reportOthers(15);
  BOOST_TEST(place(request(drafter)).empty());
  reportOthers(2);
  std::string spare = place(request(drafter));
  BOOST_REQUIRE(!spare.empty());
  BOOST_TEST(!set.all().at(spare)->isInSubset);
  now += 2s; // The reports are stale.
  std::string afterwards = place(request(drafter));
  BOOST_TEST((afterwards.empty() || set.all().at(afterwards)->isInSubset));
}

// Guards against requests that no endpoint gets because all of the entry's own ones have left.
BOOST_FIXTURE_TEST_CASE(usesOtherEndpointsWhenItsOwnAreGone, Fixture)
{
  setEntryCount(21);
  for (int i = 0; i < 40; ++i) {
    list("n" + std::to_string(i), "north", drafter);
  }
  std::vector<std::string> own;
  for (const auto& [id, endpoint] : set.all()) {
    if (endpoint->isInSubset) {
      own.push_back(id);
    }
  }
  for (const std::string& id : own) {
    set.remove(id, now);
  }
  BOOST_TEST(!place(request(drafter)).empty());
}

// Guards against a report that is taken for one of an endpoint's predecessor at the same address.
BOOST_FIXTURE_TEST_CASE(reportsFollowTheLatestEndpointOfAnAddress, Fixture)
{
  list("first", "north", drafter);
  EndpointRecord next = set.all().at("first")->record;
  next.id = "second";
  next.startTimeMs = 6;
  set.apply(next, &drafter, now);
  auto old = report("first", 3, 0);
  set.recordReport(old, now);
  BOOST_TEST(!set.all().at("second")->report.has_value());
  // A list that is read whole may name the predecessor last.
  set.apply(set.all().at("first")->record, &drafter, now);
  old.startTimeMs = 6;
  set.recordReport(old, now);
  BOOST_TEST(set.all().at("second")->report.has_value());
}

// Guards against reports that reach the previous start of an endpoint that keeps its id, and
// against instances that are kept for each restart.
BOOST_FIXTURE_TEST_CASE(reportsOfAPreviousStartAreIgnored, Fixture)
{
  list("n", "north", drafter);
  EndpointPtr previous = set.all().at("n");
  EndpointRecord next = previous->record;
  next.startTimeMs = 6;
  set.apply(next, &drafter, now);
  auto late = report("n", 3, 0);
  set.recordReport(late, now);
  BOOST_TEST(!set.all().at("n")->report.has_value());
  BOOST_TEST(previous.use_count() == 1);
}

// Guards against counts that drift when a report arrives between a send and its first event.
BOOST_FIXTURE_TEST_CASE(reportResetsUnreportedRequests, Fixture)
{
  list("n", "north", drafter);
  place(request(drafter));
  BOOST_TEST(set.all().at("n")->unreported.total().requests == 1);
  set.recordReport(report("n", 0, 1), now);
  BOOST_TEST(set.all().at("n")->unreported.total().requests == 0);
  place(request(drafter));
  beginAll();
  BOOST_TEST(set.all().at("n")->unreported.total().requests == 0);
  BOOST_TEST(std::abs(set.all().at("n")->unreported.total().promptMs) < 1e-6);
}

// Guards against refusing a stream that a rollout broke: it resumes at once, even at an endpoint
// that is full for new requests, and prefers one that holds the newest weights.
BOOST_FIXTURE_TEST_CASE(resumedStreamIsNotRefused, Fixture)
{
  list("old", "north", drafter, 1);
  while (!place(request(drafter)).empty()) {
  }
  auto moved = request(drafter);
  moved.urgency = Urgency::Continued;
  moved.firstEventBudget = -200ms;
  moved.newestWeightVersion = 2;
  BOOST_TEST(place(moved) == "old");
  BOOST_TEST(set.all().at("old")->continued.requests == 1);
  beginAll();
  BOOST_TEST(set.all().at("old")->continued.requests == 0);
  list("new", "south", drafter, 2);
  BOOST_TEST(place(moved) == "new");
}

// Guards against requests that begin on outdated weights because they were sent just before the
// version is enforced: late and resumed requests may wait longer than the margin.
BOOST_FIXTURE_TEST_CASE(skipsEnginesThatWouldBeginTooLateForTheirVersion, Fixture)
{
  list("old", "north", drafter, 1);
  set.recordReport(report("old", 16, 10), now);
  auto late = request(drafter);
  late.urgency = Urgency::Late;
  late.dueVersion = DueVersion{ 2, now + 100ms };
  BOOST_TEST(place(late).empty());
  late.dueVersion = DueVersion{ 2, now + 10s };
  BOOST_TEST(place(late) == "old");
  late.dueVersion = DueVersion{ 1, now };
  BOOST_TEST(place(late) == "old");
}

// During a rollout, an endpoint that switches weights soon gets a new request only when the others
// are busier.
BOOST_FIXTURE_TEST_CASE(endpointThatSwitchesSoonIsAvoided, Fixture)
{
  list("soon", "north", drafter);
  list("later", "north", drafter);
  auto soon = report("soon", 0, 0);
  soon.switchesSoon = true;
  set.recordReport(soon, now);
  set.recordReport(report("later", 2, 0), now);
  BOOST_TEST(place(request(drafter)) == "later");
  set.recordReport(report("later", 16, 3), now);
  BOOST_TEST(place(request(drafter)) == "soon");
}

// Guards against crashes of an endpoint in cold start, which occur when the sends of all entries
// together exceed its rate limit.
BOOST_FIXTURE_TEST_CASE(coldRateLimitIsSharedByAllEntries, Fixture)
{
  list("cold", "north", drafter, 1, 3000ms);
  setEntryCount(4);
  int sent = 0;
  for (int i = 0; i < 200; ++i, now += 5ms) {
    if (!place(request(drafter)).empty()) {
      ++sent;
      beginAll();
      auto [endpoint, occupancy] = placed.back();
      placed.pop_back();
      set.finished(*endpoint, occupancy, Outcome::Success, now);
    }
  }
  BOOST_TEST(sent <= 9); // 36 requests a second, shared by four entries.
  BOOST_TEST(sent >= 8);
}

// A silent endpoint gets no request during its backoff, then one probe request, and serves normally
// after an answer.
BOOST_FIXTURE_TEST_CASE(silentEndpointIsProbedByOneRequest, Fixture)
{
  list("dark", "north", drafter);
  place(request(drafter));
  auto [endpoint, occupancy] = placed.back();
  placed.clear();
  set.finished(*endpoint, occupancy, Outcome::Silent, now);
  BOOST_TEST(place(request(drafter)).empty());
  now += 1s;
  BOOST_TEST(place(request(drafter)) == "dark");
  BOOST_TEST(place(request(drafter)).empty());
  auto [sameEndpoint, probe] = placed.back();
  placed.clear();
  set.finished(*sameEndpoint, probe, Outcome::Success, now);
  BOOST_TEST(place(request(drafter)) == "dark");
}

// Guards against an endpoint that is not probed while a silent request is kept there: on another
// connection it may serve. And against a silence that counts twice, or for ever.
BOOST_FIXTURE_TEST_CASE(keptSilentRequestDoesNotPreventAProbe, Fixture)
{
  list("m", "north", millbook);
  auto placement = set.choose(request(millbook), now, rng);
  auto occupancy = set.started(placement, request(millbook), now);
  auto endpoint = placement.endpoint;
  EndpointSet::recordSilence(*endpoint, occupancy, now);
  EndpointSet::recordSilence(*endpoint, occupancy, now);
  BOOST_TEST(endpoint->consecutiveSilences == 1U);
  BOOST_TEST(place(request(millbook)) == "");
  now += 450ms;
  BOOST_TEST(place(request(millbook)) == "m");
  BOOST_TEST(place(request(millbook)) == ""); // One at a time.
  set.finished(*endpoint, occupancy, Outcome::Silent, now);
  BOOST_TEST(endpoint->consecutiveSilences == 1U);
  BOOST_TEST(endpoint->silentInFlight == 0);

  auto other = set.started(placement, request(millbook), now);
  EndpointSet::recordSilence(*endpoint, other, now);
  EndpointSet::endSilence(*endpoint, other);
  BOOST_TEST(endpoint->consecutiveSilences == 0U);
  BOOST_TEST(endpoint->silentInFlight == 0);
}

// Guards against an endpoint that fails some requests although it is listed as healthy.
BOOST_FIXTURE_TEST_CASE(failingEndpointIsAvoidedWhereAnotherIsFree, Fixture)
{
  list("grey", "north", millbook);
  list("good", "south", millbook);
  route.kind = CallKind::Idempotent;
  for (int i = 0; i < 20; ++i) {
    place(request(millbook));
    auto [endpoint, occupancy] = placed.back();
    placed.clear();
    bool grey = endpoint->record.id == "grey";
    set.finished(*endpoint, occupancy, grey ? Outcome::Failure : Outcome::Success, now);
  }
  BOOST_TEST(place(request(millbook)) == "good");
}

// Guards against requests that start on weights older than the required version.
BOOST_FIXTURE_TEST_CASE(oldWeightsGetNoRequests, Fixture)
{
  list("old", "north", drafter, 1);
  list("new", "south", drafter, 3);
  auto created = request(drafter);
  created.minWeightVersion = 2;
  BOOST_TEST(place(created) == "new");
}

// Guards against an entry that takes the whole cold rate before it knows the other entries.
BOOST_FIXTURE_TEST_CASE(anEntryThatKnowsNoOthersTakesAPartOfTheColdRate, Fixture)
{
  list("cold", "north", drafter, 1, 3000ms);
  int sent = 0;
  while (sent < 100 && !place(request(drafter)).empty()) {
    ++sent;
    beginAll();
  }
  BOOST_TEST(sent > 0);
  BOOST_TEST(sent <= drafter.coldRequestsPerSecond / 4);
}

// An endpoint that restarts under the same id starts cold and without load; requests at the
// previous instance do not count for the new one.
BOOST_FIXTURE_TEST_CASE(restartUnderTheSameIdIsColdAndWithoutLoad, Fixture)
{
  list("n", "north", drafter);
  place(request(drafter));
  EndpointRecord record = set.all().at("n")->record;
  record.startTimeMs = 6;
  set.apply(record, &drafter, now);
  BOOST_TEST(set.all().at("n")->inFlight == 0);
  BOOST_TEST(set.all().at("n")->isCold(now + 2s));
  auto [endpoint, occupancy] = placed.back();
  set.finished(*endpoint, occupancy, Outcome::Broken, now);
  BOOST_TEST(set.all().at("n")->inFlight == 0);
}

// Guards against counts that drift: a request that ended does not count in the load.
BOOST_FIXTURE_TEST_CASE(loadReturnsToZero, Fixture)
{
  list("n", "north", drafter);
  for (int i = 0; i < 4; ++i) {
    place(request(drafter));
  }
  set.firstEvent(*placed[0].first, placed[0].second, 100ms);
  for (auto& [endpoint, occupancy] : placed) {
    set.finished(*endpoint, occupancy, Outcome::Abandoned, now);
  }
  const Endpoint& endpoint = *set.all().at("n");
  BOOST_TEST(endpoint.inFlight == 0);
  BOOST_TEST(endpoint.ordinary.total().requests == 0);
  BOOST_TEST(endpoint.late.requests == 0);
  BOOST_TEST(std::abs(endpoint.ordinary.total().promptMs) < 1e-6);
}

// Guards against an engine model that predicts an earlier first event for more load.
BOOST_FIXTURE_TEST_CASE(predictionGrowsWithLoad, Fixture)
{
  EngineModel model(*drafter.engine);
  double before = 0;
  for (int running = 0; running <= 16; ++running) {
    double ms = model.firstEventMs({ .running = running }, 973);
    BOOST_TEST(ms >= before);
    before = ms;
  }
  BOOST_TEST(model.firstEventMs({ .running = 16, .waiting = 2 }, 973) >
             before + model.slotIntervalMs());
  BOOST_TEST(model.promptMs(31900) == 1000, boost::test_tools::tolerance(1e-6));
}

// Load: an endpoint goes down and up in turns. It cuts off each request that it gets and therefore
// looks idle, which attracts more requests than a sound endpoint gets.
BOOST_FIXTURE_TEST_CASE(anEndpointThatCutsOffOneRequestAfterTheOtherIsAvoided, Fixture)
{
  list("sound", "south", drafter);
  for (int i = 0; i < 3; ++i) { // It is busy and remote, so that it costs more.
    BOOST_TEST(place(request(drafter)) == "sound");
  }
  auto others = std::move(placed);
  placed.clear();
  list("flapping", "north", drafter);
  auto end = [&](Outcome aOutcome) {
    now += 10ms;
    for (auto& [endpoint, occupancy] : placed) {
      set.finished(*endpoint, occupancy, aOutcome, now);
    }
    placed.clear();
  };
  auto next = [&] { return set.choose(request(drafter), now, rng).endpoint->record.id; };
  // Requests that one failure cuts off count once: a connection reset is no reason to avoid it.
  BOOST_TEST(place(request(drafter)) == "flapping");
  end(Outcome::Broken);
  BOOST_TEST(place(request(drafter)) == "flapping");
  end(Outcome::Broken);
  BOOST_TEST(next() == "sound");
  now += 200ms;
  BOOST_TEST(place(request(drafter)) == "flapping");
  end(Outcome::Broken);
  now += 200ms;
  BOOST_TEST(next() == "sound"); // The backoff doubles.
  now += 200ms;
  BOOST_TEST(place(request(drafter)) == "flapping");
  end(Outcome::Success);
  BOOST_TEST(place(request(drafter)) == "flapping");
  end(Outcome::Broken);
  BOOST_TEST(next() == "flapping");
}

// Guards against refusals by an entry that avoids all endpoints of a small service at once, where a
// request that crashes endpoints is repeated at each of them.
BOOST_FIXTURE_TEST_CASE(endpointsThatAllBreakAreNotAllAvoided, Fixture)
{
  list("n", "north", drafter);
  list("m", "north", drafter);
  for (int i = 0; i < 6; ++i) {
    auto placement = set.choose(request(drafter), now, rng);
    BOOST_REQUIRE(placement.endpoint);
    BOOST_TEST(!place(request(drafter)).empty());
    now += 10ms;
    set.finished(*placed.back().first, placed.back().second, Outcome::Broken, now);
    placed.clear();
  }
}

// Guards against refusals by an entry that avoids the only endpoint of a service.
BOOST_FIXTURE_TEST_CASE(aSoleEndpointIsNotAvoidedForItsBreaks, Fixture)
{
  list("n", "north", drafter);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(place(request(drafter)) == "n");
    now += 10ms;
    set.finished(*placed.back().first, placed.back().second, Outcome::Broken, now);
    placed.clear();
  }
}

// Guards against an endpoint whose requests are overtaken by others time and again, but which still
// gets its part of them because it never fails; and against one that gets none for ever after.
BOOST_FIXTURE_TEST_CASE(avoidsEndpointsThatAreOftenOvertaken, Fixture)
{
  list("slow", "north", millbook);
  list("other", "north", millbook);
  auto shareOfSlow = [&](Outcome aOutcomeOfSlow) {
    int slow = 0;
    for (int i = 0; i < 200; ++i) {
      auto placement = set.choose(request(millbook), now, rng);
      bool isSlow = placement.endpoint->record.id == "slow";
      slow += isSlow ? 1 : 0;
      auto occupancy = set.started(placement, request(millbook), now);
      now += 5ms;
      set.finished(*placement.endpoint, occupancy, isSlow ? aOutcomeOfSlow : Outcome::Success, now);
    }
    return slow;
  };
  BOOST_TEST(shareOfSlow(Outcome::Abandoned) > 60);
  BOOST_TEST(shareOfSlow(Outcome::Overtaken) < 10);
  now += 60s;
  BOOST_TEST(shareOfSlow(Outcome::Success) > 60);
}

// Guards against urgent requests that are refused because less urgent ones wait at the engines,
// which admit the urgent ones first: a surge of the least urgent kind then takes the room of the
// others.
BOOST_FIXTURE_TEST_CASE(urgentRequestsDoNotWaitForLessUrgentOnes, Fixture)
{
  list("n", "north", drafter);
  set.setOtherEntries({});
  auto urgent = request(drafter);
  urgent.priority = 1;
  auto deferrable = request(drafter);
  deferrable.priority = 4;
  deferrable.firstEventBudget = 5000ms;
  for (int i = 0; i < drafter.engine->slots; ++i) {
    place(deferrable);
  }
  beginAll();
  placed.clear();
  while (!place(deferrable).empty()) {
  }
  BOOST_TEST(set.all().at("n")->inFlight > drafter.engine->slots);
  BOOST_TEST(place(urgent) == "n");
  // The least urgent ones are behind both kinds.
  BOOST_TEST(place(deferrable).empty());
}

// Guards against a queue at an engine that grows without bound while requests of many priorities
// arrive, each of which sees only a part of it.
BOOST_FIXTURE_TEST_CASE(queueOfAllPrioritiesIsBounded, Fixture)
{
  list("n", "north", drafter);
  set.setOtherEntries({});
  for (int priority = kPriorityCount - 1; priority >= 0; --priority) {
    auto asked = request(drafter);
    asked.priority = priority;
    asked.firstEventBudget = 60000ms;
    while (!place(asked).empty()) {
    }
  }
  BOOST_TEST(set.all().at("n")->inFlight <= drafter.engine->slots + 18);
}

// Guards against urgent requests that are predicted to be late because less urgent ones, which they
// overtake, were.
BOOST_FIXTURE_TEST_CASE(delaysOfLessUrgentRequestsAreTheirOwn, Fixture)
{
  list("n", "north", drafter);
  auto deferrable = request(drafter);
  deferrable.priority = 4;
  auto urgent = request(drafter);
  urgent.priority = 1;
  double before = set.choose(urgent, now, rng).predictedMs;
  for (int i = 0; i < 30; ++i) {
    auto placement = set.choose(deferrable, now, rng);
    BOOST_REQUIRE(placement.endpoint);
    auto occupancy = set.started(placement, deferrable, now);
    set.firstEvent(*placement.endpoint,
                   occupancy,
                   base::Milliseconds(static_cast<int64_t>(placement.predictedMs) + 100));
    set.finished(*placement.endpoint, occupancy, Outcome::Success, now);
  }
  BOOST_TEST(std::abs(set.choose(urgent, now, rng).predictedMs - before) < 1);
  BOOST_TEST(set.choose(deferrable, now, rng).predictedMs > before + 50);
}
