#define BOOST_TEST_MODULE routing_admission
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

#include "routing/AdaptiveLimit.h"
#include "routing/Admission.h"
#include "routing/FairShare.h"

using namespace boragepitch;
using namespace boragepitch::routing;
using namespace std::chrono_literals;

namespace {

/** Drives Admission with random steps and checks its decisions against a model. */
struct AdmissionModel
{
  AdmissionLimits limits{ .cold = true, .coldLimit = 2, .warmLimit = 5, .maxQueue = 4 };
  Admission admission{ limits };
  base::TimePoint now{ 1h };
  uint64_t last = 0;
  bool closed = false;
  std::set<uint64_t> running;
  std::set<uint64_t> queued;
  std::set<uint64_t> refused;
  std::set<uint64_t> exclusive;

  void start(uint64_t aId)
  {
    RC_ASSERT(!refused.contains(aId));
    RC_ASSERT(!closed);
    RC_ASSERT(running.insert(aId).second);
    RC_ASSERT(static_cast<int>(running.size()) <= admission.limit());
    bool anyExclusive = false;
    for (uint64_t id : running) {
      anyExclusive = anyExclusive || exclusive.contains(id);
    }
    RC_ASSERT(!anyExclusive || running.size() == 1);
  }

  void apply(const Admission::Changes& aChanges)
  {
    for (const auto& refusal : aChanges.refused) {
      RC_ASSERT(queued.erase(refusal.id) == 1);
      refused.insert(refusal.id);
    }
    for (uint64_t id : aChanges.started) {
      RC_ASSERT(queued.erase(id) == 1);
      start(id);
    }
  }

  void offer(uint8_t aDraw)
  {
    AdmissionRequest request{ .id = ++last,
                              .priority = aDraw % 10,
                              .deadline = now + std::chrono::milliseconds(aDraw * 4),
                              .exclusive = aDraw % 7 == 0 };
    if (request.exclusive) {
      exclusive.insert(request.id);
    }
    Decision decision = admission.offer(request, now);
    if (decision.verdict == Verdict::Run) {
      start(request.id);
    } else if (decision.verdict == Verdict::Queued) {
      RC_ASSERT(!closed);
      queued.insert(request.id);
    } else {
      RC_ASSERT(!decision.reason.empty() && decision.retryAfter > base::Duration::zero());
      refused.insert(request.id);
    }
  }

  void finishOne(uint8_t aDraw)
  {
    if (running.empty()) {
      return;
    }
    auto it = std::next(running.begin(), aDraw % running.size());
    uint64_t id = *it;
    running.erase(it);
    apply(admission.finish(id, std::chrono::milliseconds(1 + aDraw), now));
  }

  void step(uint8_t aKind, uint8_t aDraw)
  {
    now += std::chrono::milliseconds(aDraw % 50);
    switch (aKind % 8) {
      case 0:
      case 1:
      case 2:
        return offer(aDraw);
      case 3:
      case 4:
        return finishOne(aDraw);
      case 5:
        return apply(admission.tick(now));
      case 6:
        closed = aDraw % 2 == 0;
        return apply(admission.close(closed ? "leaving" : "", 100ms, now));
      default:
        // When the engine turns cold again, no further requests start; running ones continue.
        limits.cold = aDraw % 2 == 0;
        return apply(admission.setLimits(limits, now));
    }
  }
};

} // namespace

// Guards against more running requests than the limit, a suspect that does not run alone, a request
// that runs after it was refused, and a queued request that is neither run nor refused.
RC_BOOST_PROP(admissionNeverExceedsItsLimits,
              (const std::vector<std::pair<uint8_t, uint8_t>>& aSteps))
{
  AdmissionModel model;
  for (auto [kind, draw] : aSteps) {
    model.step(kind, draw);
    RC_ASSERT(model.queued.size() <= model.limits.maxQueue);
    RC_ASSERT(model.admission.queued() == static_cast<int>(model.queued.size()));
    RC_ASSERT(model.admission.running() == static_cast<int>(model.running.size()));
  }
  model.closed = false;
  model.apply(model.admission.close("", 0ms, model.now));
  for (int i = 0; i < 1000 && !model.running.empty(); ++i) {
    model.finishOne(0);
  }
  RC_ASSERT(model.queued.empty());
}

// Guards against queueing a request that cannot meet its deadline instead of refusing it at once.
BOOST_AUTO_TEST_CASE(refusesRequestsThatCannotFinishInTime)
{
  base::TimePoint now{ 1h };
  Admission admission({ .cold = false, .coldLimit = 1, .warmLimit = 1 });
  BOOST_TEST((admission.offer({ .id = 1 }, now).verdict == Verdict::Run));
  admission.finish(1, 1s, now);
  admission.offer({ .id = 2 }, now);
  auto decision = admission.offer({ .id = 3, .deadline = now + 1500ms }, now);
  BOOST_TEST((decision.verdict == Verdict::Refused));
  BOOST_TEST((decision.retryAfter >= 900ms));
  BOOST_TEST((admission.offer({ .id = 4, .deadline = now + 5s }, now).verdict == Verdict::Queued));
}

// Guards against a queue that ignores priority.
BOOST_AUTO_TEST_CASE(higherPriorityStartsFirst)
{
  base::TimePoint now{ 1h };
  Admission admission({ .cold = false, .coldLimit = 1, .warmLimit = 1 });
  admission.offer({ .id = 1 }, now);
  admission.offer({ .id = 2, .priority = 3 }, now);
  admission.offer({ .id = 3, .priority = 8 }, now);
  auto changes = admission.finish(1, 0s, now);
  BOOST_REQUIRE(changes.started.size() == 1);
  BOOST_TEST(changes.started[0] == 3);
}

// Guards against starting a request of lower worth before one of higher worth, and against a caller
// that overtakes higher worth by raising its priority.
BOOST_AUTO_TEST_CASE(greaterWorthStartsFirst)
{
  base::TimePoint now{ 1h };
  Admission admission({ .cold = false, .coldLimit = 1, .warmLimit = 1 });
  admission.offer({ .id = 1 }, now);
  admission.offer({ .id = 2, .worth = 1, .priority = 9 }, now);
  admission.offer({ .id = 3, .worth = 10, .priority = 0 }, now);
  auto changes = admission.finish(1, 0s, now);
  BOOST_REQUIRE(changes.started.size() == 1);
  BOOST_TEST(changes.started[0] == 3);
}

// Guards against starting a long response that its deadline will cut, and against an idle endpoint
// that keeps refusing because of an outdated estimate.
BOOST_AUTO_TEST_CASE(refusesLongResponsesThatCannotFinish)
{
  base::TimePoint now{ 1h };
  Admission admission({ .cold = false, .coldLimit = 1, .warmLimit = 4 });
  admission.offer({ .id = 1, .size = 10 }, now);
  admission.finish(1, 1s, now);
  AdmissionRequest lengthy{ .id = 2, .deadline = now + 2s, .size = 30 };
  BOOST_TEST((admission.offer(lengthy, now).verdict == Verdict::Run));
  lengthy.id = 3;
  BOOST_TEST((admission.offer(lengthy, now).verdict == Verdict::Refused));
  BOOST_TEST(
    (admission.offer({ .id = 4, .deadline = now + 2s, .size = 10 }, now).verdict == Verdict::Run));
}

// Guards against keeping an overtaken request in the queue after it can no longer finish in time.
BOOST_AUTO_TEST_CASE(refusesOvertakenRequestsEarly)
{
  base::TimePoint now{ 1h };
  Admission admission({ .cold = false, .coldLimit = 1, .warmLimit = 1, .maxQueueWait = 10s });
  admission.offer({ .id = 1 }, now);
  admission.finish(1, 1s, now);
  admission.offer({ .id = 2 }, now);
  BOOST_TEST(
    (admission.offer({ .id = 3, .deadline = now + 2500ms }, now).verdict == Verdict::Queued));
  BOOST_TEST(admission.tick(now).refused.empty());
  admission.offer({ .id = 4, .worth = 5 }, now);
  auto changes = admission.tick(now);
  BOOST_REQUIRE(changes.refused.size() == 1);
  BOOST_TEST(changes.refused[0].id == 3);
}

// Guards against shares that are not proportional to weight under contention, and against a large
// workspace that crowds out a small one.
RC_BOOST_PROP(sharesFollowWeights, ())
{
  int largeWeight = *rc::gen::inRange(1, 50);
  int smallWeight = *rc::gen::inRange(1, 50);
  FairShare share;
  base::TimePoint now{ 1h };
  const int limit = 100;
  int large = 0;
  for (int i = 0; i < 1000; ++i) {
    large += share.tryStart("large", { largeWeight, 1 }, limit, now) ? 1 : 0;
  }
  RC_ASSERT(large == limit);
  // The small workspace arrives at the limit; it gets its share while the large one shrinks.
  for (int i = 0; i < 10'000; ++i) {
    share.tryStart("small", { smallWeight, 1 }, limit, now);
    if (share.inFlight() > limit || i % 3 == 0) {
      share.finish("large", now);
    }
    share.tryStart("large", { largeWeight, 1 }, limit, now);
  }
  int expected = limit * smallWeight / (largeWeight + smallWeight);
  RC_ASSERT(share.inFlight("small") >= std::max(1, expected - 1));
  RC_ASSERT(share.inFlight("large") >= limit - expected - 2);
  RC_ASSERT(share.inFlight() <= limit + std::max(1, expected) + 1);
}

// Guards against an idle workspace whose weight still reserves capacity.
BOOST_AUTO_TEST_CASE(idleWorkspacesReserveNothing)
{
  FairShare share(2s);
  base::TimePoint now{ 1h };
  share.tryStart("idle", { 1000, 1000 }, 10, now);
  share.finish("idle", now);
  now += 3s;
  share.tryStart("busy", { 1, 1 }, 10, now);
  BOOST_TEST(share.guaranteedRequests("busy", 10) == 10);
}

// Guards against a limit outside its bounds or one that collapses on a single burst of refusals.
RC_BOOST_PROP(adaptiveLimitStaysWithinBounds, (const std::vector<bool>& aResults))
{
  AdaptiveLimit limit({ .initial = 50, .minimum = 5, .maximum = 80 });
  base::TimePoint now{ 1h };
  for (bool good : aResults) {
    now += 1ms;
    int before = limit.limit();
    good ? limit.onSuccess(limit.limit()) : limit.onOverload(now);
    RC_ASSERT(limit.limit() >= 5 && limit.limit() <= 80);
    RC_ASSERT(limit.limit() >= before * 8 / 10 - 1);
  }
}
