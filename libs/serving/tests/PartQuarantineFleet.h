#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/Rng.h"
#include "serving/CrashSuspects.h"
#include "serving/PartQuarantine.h"
#include "serving/PeerMessage.h"

namespace boragepitch::serving::test {

using namespace std::chrono_literals;

inline constexpr size_t kEndpoints = 40;
inline constexpr PromptPart kFirst = 1; ///< First part of all requests of the route.
inline constexpr std::array<PromptPart, 2> kCrashing{ 2, 3 };
inline constexpr PromptPart kRare = 1000;
inline const base::TimePoint kStart{ 1h };

struct Plan
{
  uint64_t seed = 1;
  size_t entries = 6;
  uint64_t lossPercent = 1;
  uint64_t soundPerSecond = 60;
  base::Duration soundFrom{ 0 };
  uint64_t crashingPerSecond = 4; ///< For each crashing part.
  uint64_t rareParts = 100;       ///< Each sound request holds one of them.
  std::array<base::Duration, 2> crashingFrom{ 10s, 30s };
  bool hasKills = false;     ///< Kills 60 of 100 endpoints at a time.
  bool hasResets = false;    ///< 15 of 100 endpoints reset one request in three.
  bool hasRestarts = false;  ///< Entries start again, knowing nothing.
  bool isRareBeside = false; ///< Crashing requests hold a rare part, too, in place of the first.
  base::Duration duration = 60s;
};

struct Result
{
  std::array<size_t, 2> crashes{};
  std::array<size_t, 2> sentLate{}; ///< Later than 3 s after the fifth crash.
  std::set<PromptPart> wrong;       ///< Sound parts quarantined anywhere at any time.
  size_t firstStopped = 0;          ///< Sound requests stopped because of the first part.
  size_t rareStopped = 0;           ///< Sound requests stopped because of a rare part.
  size_t sound = 0;
  size_t records = 0; ///< Largest number at an entry.
};

/** Entries with all that they exchange, and endpoints, in simulated time. */
class Fleet
{
public:
  explicit Fleet(const Plan& aPlan)
    : mPlan(aPlan)
    , mRng(aPlan.seed)
    , mEntries(aPlan.entries)
    , mEndpoints(kEndpoints)
  {
  }

  Result run()
  {
    for (size_t entry = 0; entry < mPlan.entries; ++entry) {
      mEntries[entry].quarantine.setTrialDelay(entry * 1s);
    }
    scheduleRequests();
    for (auto at = 500ms; at < mPlan.duration; at += 1s) {
      for (size_t entry = 0; entry < mPlan.entries; ++entry) {
        schedule(kStart + at + entry * 130ms, [this, entry] { spread(entry); });
      }
    }
    for (auto at = 5s; mPlan.hasKills && at < mPlan.duration; at += 8s) {
      schedule(kStart + at, [this] { killMany(); });
    }
    for (auto at = 12s; mPlan.hasRestarts && at < mPlan.duration; at += 3s) {
      schedule(kStart + at, [this] { restart(below(mPlan.entries)); });
    }
    while (!mEvents.empty()) {
      auto event = mEvents.top();
      mEvents.pop();
      mNow = event.at;
      event.run();
    }
    return mResult;
  }

private:
  /** The entry knows nothing and asks another one for its quarantine. */
  void restart(size_t aEntry)
  {
    mEntries[aEntry] = Entry();
    mEntries[aEntry].quarantine.setTrialDelay(aEntry * 1s);
    auto told = mEntries[(aEntry + 1) % mPlan.entries].quarantine.quarantined(
      kMaxQuarantinedPartsOfNotice, mNow);
    for (const QuarantinedParts& part : told) {
      mEntries[aEntry].quarantine.adopt(part, mNow);
    }
  }

  struct Entry
  {
    CrashSuspects suspects;
    PartQuarantine quarantine;
  };
  struct Endpoint
  {
    uint64_t start = 1;
    base::TimePoint upFrom;
  };
  struct Request
  {
    uint64_t id = 0;
    size_t entry = 0;
    std::vector<PromptPart> parts;
    size_t crashing = 2; ///< Index of the crashing part; 2 is none.
    int sends = 0;
  };
  struct Event
  {
    base::TimePoint at;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return std::pair(at, order) > std::pair(aOther.at, aOther.order);
    }
  };

  uint64_t below(uint64_t aLimit) { return base::uniformBelow(mRng, aLimit); }
  void schedule(base::TimePoint aAt, std::function<void()> aRun)
  {
    mEvents.push({ aAt, ++mOrder, std::move(aRun) });
  }

  void scheduleRequests()
  {
    auto each = [&](uint64_t aPerSecond, base::Duration aFrom, size_t aCrashing) {
      for (auto at = aFrom; aPerSecond > 0 && at < mPlan.duration;
           at += 2 * 1ms * below(1000 / aPerSecond + 1)) {
        at += 100us;
        Request request{ ++mRequests, below(mPlan.entries), { kFirst }, aCrashing };
        if (aCrashing < 2 && mPlan.isRareBeside) {
          request.parts = { kCrashing[aCrashing], kRare + below(mPlan.rareParts) };
        } else {
          request.parts.push_back(aCrashing < 2 ? kCrashing[aCrashing]
                                                : kRare + below(mPlan.rareParts));
        }
        mResult.sound += aCrashing < 2 ? 0 : 1;
        schedule(kStart + at, [this, request] { arrive(request); });
      }
    };
    each(mPlan.soundPerSecond, mPlan.soundFrom, 2);
    each(mPlan.crashingPerSecond, mPlan.crashingFrom[0], 0);
    each(mPlan.crashingPerSecond, mPlan.crashingFrom[1], 1);
  }

  void arrive(const Request& aRequest)
  {
    if (mEntries[aRequest.entry].quarantine.admit(aRequest.parts, mNow)) {
      send(aRequest);
    } else {
      noteStopped(aRequest);
    }
  }

  bool isStopped(const Request& aRequest)
  {
    Entry& entry = mEntries[aRequest.entry];
    if (!entry.quarantine.isQuarantined(aRequest.parts, mNow)) {
      return entry.suspects.isQuarantined(aRequest.id, mNow);
    }
    noteStopped(aRequest);
    return true;
  }

  void noteStopped(const Request& aRequest)
  {
    if (aRequest.crashing == 2) {
      auto& quarantine = mEntries[aRequest.entry].quarantine;
      bool isFirst = quarantine.isQuarantined({ &kFirst, 1 }, mNow);
      ++(isFirst ? mResult.firstStopped : mResult.rareStopped);
    }
  }

  void send(Request aRequest)
  {
    if (isStopped(aRequest) || aRequest.sends >= 2) {
      return;
    }
    size_t target = below(kEndpoints);
    for (size_t i = 0; mEndpoints[target].upFrom > mNow; ++i) {
      if (i == kEndpoints) {
        return;
      }
      target = (target + 1) % kEndpoints;
    }
    ++aRequest.sends;
    if (aRequest.crashing < 2) {
      size_t crashing = aRequest.crashing;
      bool isLate = mResult.crashes[crashing] >= 5 && mNow > mFifthCrash[crashing] + 3s;
      mResult.sentLate[crashing] += isLate ? 1 : 0;
    }
    uint64_t start = mEndpoints[target].start;
    schedule(mNow + 20ms + below(400) * 1ms,
             [this, aRequest, target, start] { begin(aRequest, target, start); });
  }

  void begin(const Request& aRequest, size_t aTarget, uint64_t aStart)
  {
    if (mEndpoints[aTarget].start != aStart) {
      cut(aRequest, aTarget, aStart); // The endpoint crashed while the request waited.
      return;
    }
    if (aRequest.crashing < 2) {
      if (isStopped(aRequest)) {
        return; // Withdrawn.
      }
      if (++mResult.crashes[aRequest.crashing] == 5) {
        mFifthCrash[aRequest.crashing] = mNow;
      }
      crash(aTarget);
      cut(aRequest, aTarget, aStart);
      return;
    }
    if (mPlan.hasResets && aTarget * 100 < kEndpoints * 15 && below(3) == 0) {
      cut(aRequest, aTarget, aStart);
      return;
    }
    schedule(mNow + 60ms, [this, aRequest, aTarget, aStart, begun = mNow] {
      if (mEndpoints[aTarget].start != aStart) {
        cut(aRequest, aTarget, aStart);
        return;
      }
      Entry& entry = mEntries[aRequest.entry];
      tellProof(aRequest.entry, entry.quarantine.recordProof(aRequest.parts, begun));
      entry.suspects.recordCompletion(aRequest.id, mNow);
    });
  }

  void crash(size_t aTarget)
  {
    ++mEndpoints[aTarget].start;
    mEndpoints[aTarget].upFrom = mNow + 4s;
  }

  void killMany()
  {
    for (size_t target = 0; target < kEndpoints; ++target) {
      if (below(100) < 60) {
        crash(target);
      }
    }
  }

  void cut(const Request& aRequest, size_t aTarget, uint64_t aStart)
  {
    Entry& entry = mEntries[aRequest.entry];
    CrashEvidence evidence{ aRequest.id,
                            std::to_string(aTarget) + "/" + std::to_string(aStart),
                            entry.quarantine.unproved(aRequest.parts, mNow) };
    if (record(aRequest.entry, evidence)) {
      broadcast(aRequest.entry, [this, evidence](size_t aTo) { record(aTo, evidence); });
    }
    send(aRequest);
  }

  bool record(size_t aEntry, const CrashEvidence& aEvidence)
  {
    Entry& entry = mEntries[aEntry];
    if (!entry.suspects.record(aEvidence, mNow)) {
      return false;
    }
    auto convicted = entry.quarantine.recordCrash(aEvidence, mNow);
    noteWrong(convicted);
    if (!convicted.empty()) {
      spread(aEntry);
    }
    mResult.records = std::max(mResult.records, entry.quarantine.size());
    return true;
  }

  void noteWrong(std::span<const PromptPart> aParts)
  {
    for (PromptPart part : aParts) {
      if (part == kFirst || part >= kRare) {
        mResult.wrong.insert(part);
      }
    }
  }

  void deliver(size_t aTo, const std::function<void(size_t)>& aReceive)
  {
    if (below(100) >= mPlan.lossPercent) {
      schedule(mNow + 1ms + below(100) * 1ms, [aTo, aReceive] { aReceive(aTo); });
    }
  }

  void broadcast(size_t aFrom, const std::function<void(size_t)>& aReceive)
  {
    for (size_t to = 0; to < mPlan.entries; ++to) {
      for (int copy = 0; to != aFrom && copy < 3; ++copy) {
        deliver(to, aReceive);
      }
    }
  }

  void spread(size_t aFrom)
  {
    auto parts = mEntries[aFrom].quarantine.quarantined(kMaxQuarantinedPartsOfNotice, mNow);
    for (int i = 0; i < 3 && !parts.empty(); ++i) {
      size_t to = (aFrom + 1 + below(mPlan.entries - 1)) % mPlan.entries;
      deliver(to, [this, parts](size_t aTo) { adopt(aTo, parts); });
    }
  }

  void adopt(size_t aEntry, const std::vector<QuarantinedParts>& aTold)
  {
    std::vector<PromptPart> proved;
    for (const auto& told : aTold) {
      auto contradicted = mEntries[aEntry].quarantine.adopt(told, mNow);
      proved.insert(proved.end(), contradicted.begin(), contradicted.end());
    }
    tellProof(aEntry, proved);
  }

  void tellProof(size_t aFrom, const std::vector<PromptPart>& aProved)
  {
    if (!aProved.empty()) {
      broadcast(aFrom, [this, aProved](size_t aTo) {
        mEntries[aTo].quarantine.recordProof(aProved, mNow);
      });
    }
  }

  const Plan mPlan;
  base::Rng mRng;
  std::vector<Entry> mEntries;
  std::vector<Endpoint> mEndpoints;
  std::priority_queue<Event> mEvents;
  uint64_t mOrder = 0;
  uint64_t mRequests = 0;
  base::TimePoint mNow = kStart;
  std::array<base::TimePoint, 2> mFifthCrash{};
  Result mResult;
};

/** Runs the plan with several seeds. Crashing parts must be stopped; the first part must not be. */
inline void check(Plan aPlan)
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (uint64_t loss : { 1, 10 }) {
      aPlan.seed = seed;
      aPlan.lossPercent = loss;
      Result result = Fleet(aPlan).run();
      BOOST_TEST_MESSAGE("seed " << seed << ", loss " << loss << ": crashes " << result.crashes[0]
                                 << "/" << result.crashes[1] << ", sent late " << result.sentLate[0]
                                 << "/" << result.sentLate[1] << ", stopped for the first part "
                                 << result.firstStopped << ", for rare parts " << result.rareStopped
                                 << " of " << result.sound << " (" << result.wrong.size()
                                 << " parts), records " << result.records);
      BOOST_TEST(result.sentLate[0] <= 3U);
      BOOST_TEST(result.sentLate[1] <= 3U);
      BOOST_TEST(result.firstStopped * 20 <= result.sound);
      BOOST_TEST(result.rareStopped * 20 <= result.sound);
      BOOST_TEST(result.records <= PartQuarantineOptions().maxParts);
    }
  }
}

} // namespace boragepitch::serving::test
