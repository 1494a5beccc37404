#include "Simulation.h"

#include <algorithm>
#include <functional>
#include <queue>

#include "EngineSim.h"

namespace boragepitch::overload {

namespace {

/** Interval of an agent's engine reports, and their age on arrival at an entry. */
constexpr double kReportPeriodMs = 150;
constexpr double kReportLagMs = 5;
/** An agent sends to the entries that seldom use its engine one report in this many periods. */
constexpr size_t kSparseReportPeriods = 4;
/** Delay until the entries see a change of the VM list. */
constexpr double kVmListDelayMs = 150;
/** Maximum length of an engine's queue. */
constexpr int kMaxQueueLength = 32;
constexpr double kLargestQuantile = 0.9;

class Simulation
{
public:
  Simulation(const serving::EngineProfile& aProfile,
             const Workload& aWorkload,
             const WorkloadOptions& aOptions,
             const PolicyFactory& aPolicy)
    : mWorkload(aWorkload)
    , mOptions(aOptions)
  {
    PolicyContext context{ .profile = aProfile,
                           .kinds = aWorkload.kinds,
                           .engines = aOptions.engines,
                           .entries = aOptions.entries,
                           .zones = aOptions.zones };
    for (size_t entry = 0; entry < aOptions.entries; ++entry) {
      context.entry = entry;
      context.seed = aOptions.seed + entry;
      mEntries.push_back(aPolicy.make(context));
    }
    for (size_t engine = 0; engine < aOptions.engines; ++engine) {
      mEngines.emplace_back(aProfile, kMaxQueueLength);
    }
    mInPass.resize(aOptions.engines);
    mPausedUntil.resize(aOptions.engines);
  }

  Result run()
  {
    std::vector<uint64_t> sizes;
    for (const Request& request : mWorkload.requests) {
      Caller& caller = mCallers[request.id];
      caller.request = &request;
      caller.triesLeft = request.retries;
      at(request.at, [this, &caller] { arrive(caller); });
      sizes.push_back(request.promptTokens);
    }
    std::sort(sizes.begin(), sizes.end());
    uint64_t large =
      sizes.empty()
        ? 0
        : sizes[static_cast<size_t>(kLargestQuantile * static_cast<double>(sizes.size()))];
    for (const Change& change : mWorkload.changes) {
      at(change.at, [this, &change] { apply(change); });
    }
    at(0, [this] { takeReports(); });
    while (!mEvents.empty()) {
      auto event = mEvents.top();
      mEvents.pop();
      mNow = event.at;
      event.run();
    }
    return summarize(large);
  }

private:
  enum class RequestState
  {
    Open,
    Whole,
    Refused,
    Left,
  };

  struct Caller
  {
    const Request* request = nullptr;
    int triesLeft = 0;
    std::optional<size_t> engine;
    double lastEventAt = 0;
    double firstEventAt = -1;
    double longestGap = 0;
    uint64_t silenceTimer = 0; ///< Number of the latest silence timer.
    RequestState state = RequestState::Open;
  };

  struct Event
  {
    double at = 0;
    uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return std::tie(at, number) > std::tie(aOther.at, aOther.number);
    }
  };

  void at(double aTime, std::function<void()> aRun)
  {
    mEvents.push({ aTime, ++mNumber, std::move(aRun) });
  }

  Policy& entryOf(const Caller& aCaller) { return *mEntries[aCaller.request->entry]; }
  double dueAt(const Caller& aCaller) const
  {
    return aCaller.request->at + mWorkload.kinds[aCaller.request->kind].targetMs;
  }

  void arrive(Caller& aCaller)
  {
    auto choice = entryOf(aCaller).choose(*aCaller.request, dueAt(aCaller), mNow);
    if (!choice.engine) {
      refused(aCaller, choice.retryAfterMs);
      return;
    }
    const Request& request = *aCaller.request;
    entryOf(aCaller).started(request.id, *choice.engine, mNow);
    bool taken =
      mNow >= mPausedUntil[*choice.engine] &&
      mEngines[*choice.engine].add({ request.id, request.promptTokens, request.answerTokens });
    if (!taken) {
      entryOf(aCaller).finished(request.id, serving::Outcome::Rejected, mNow);
      refused(aCaller, choice.retryAfterMs);
      return;
    }
    aCaller.engine = choice.engine;
    aCaller.lastEventAt = mNow;
    startSilenceTimer(aCaller);
    wake(*choice.engine);
  }

  void refused(Caller& aCaller, double aRetryAfterMs)
  {
    if (aCaller.triesLeft == 0) {
      aCaller.state = RequestState::Refused;
      return;
    }
    --aCaller.triesLeft;
    at(mNow + (aCaller.request->ignoresAdvice ? 1 : aRetryAfterMs),
       [this, &aCaller] { arrive(aCaller); });
  }

  /** The caller leaves when it gets no event within its patience. */
  void startSilenceTimer(Caller& aCaller)
  {
    uint64_t number = ++aCaller.silenceTimer;
    at(mNow + aCaller.request->patienceMs, [this, &aCaller, number] {
      if (aCaller.state == RequestState::Open && aCaller.silenceTimer == number) {
        aCaller.state = RequestState::Left;
        mEngines[*aCaller.engine].remove(aCaller.request->id);
        entryOf(aCaller).finished(aCaller.request->id, serving::Outcome::Abandoned, mNow);
      }
    });
  }

  void wake(size_t aEngine)
  {
    if (mInPass[aEngine] || mEngines[aEngine].isIdle()) {
      return;
    }
    mInPass[aEngine] = true;
    at(mNow + mEngines[aEngine].beginPass(), [this, aEngine] {
      for (const EngineEvent& event : mEngines[aEngine].endPass()) {
        take(event);
      }
      mInPass[aEngine] = false;
      wake(aEngine);
    });
  }

  void take(const EngineEvent& aEvent)
  {
    Caller& caller = mCallers.at(aEvent.id);
    if (caller.state != RequestState::Open) {
      return;
    }
    if (caller.firstEventAt < 0) {
      caller.firstEventAt = mNow;
      entryOf(caller).firstEvent(aEvent.id, mNow);
    } else {
      caller.longestGap = std::max(caller.longestGap, mNow - caller.lastEventAt);
    }
    caller.lastEventAt = mNow;
    if (aEvent.isLast) {
      caller.state = RequestState::Whole;
      entryOf(caller).finished(aEvent.id, serving::Outcome::Success, mNow);
    } else {
      startSilenceTimer(caller);
    }
  }

  void apply(const Change& aChange)
  {
    if (aChange.kind == Change::Kind::Pause) {
      mPausedUntil[aChange.engine] = mNow + aChange.forMs;
    }
    if (aChange.kind == Change::Kind::Return) {
      for (uint64_t id : mEngines[aChange.engine].removeAll()) {
        Caller& caller = mCallers.at(id);
        entryOf(caller).finished(id, serving::Outcome::Broken, mNow);
        caller.state = RequestState::Left;
      }
    }
    // The agent announces a pause at once; other changes reach the entries through the VM list.
    double delay = aChange.kind == Change::Kind::Pause ? 0 : kVmListDelayMs;
    at(mNow + delay, [this, &aChange] {
      for (auto& entry : mEntries) {
        entry->changed(aChange, mNow);
      }
    });
  }

  void takeReports()
  {
    for (size_t engine = 0; engine < mEngines.size(); ++engine) {
      int running = mEngines[engine].running();
      int queued = mEngines[engine].queued();
      if (queued == 0 && mReportPeriod % 2 == 1) {
        continue; // A quiet engine is read half as often.
      }
      // Even periods only, since quiet engines are not read in the others.
      bool toAll = mReportPeriod % kSparseReportPeriods == 2 * (engine % 2);
      at(mNow + kReportLagMs, [this, engine, running, queued, toAll] {
        for (auto& entry : mEntries) {
          if (toAll || entry->needsFrequentReports(engine)) {
            entry->report(engine, running, queued, mNow);
          }
        }
      });
    }
    ++mReportPeriod;
    if (mNow < mOptions.lengthMs) {
      at(mNow + kReportPeriodMs, [this] { takeReports(); });
    }
  }

  Result summarize(uint64_t aLarge) const
  {
    Result result;
    for (const auto& [id, caller] : mCallers) {
      const Request& request = *caller.request;
      const RequestKind& kind = mWorkload.kinds[request.kind];
      bool isWhole = caller.state == RequestState::Whole;
      bool inTime = isWhole && caller.firstEventAt - request.at <= kind.targetMs &&
                    caller.longestGap <= kind.gapMs;
      ++result.requests;
      result.worthOwed += request.worth;
      result.worthInTime += inTime ? request.worth : 0;
      result.inTime += inTime ? 1 : 0;
      result.late += isWhole && !inTime ? 1 : 0;
      result.refused += caller.state == RequestState::Refused ? 1 : 0;
      result.left += caller.state == RequestState::Left ? 1 : 0;
      KindResult& ofKind = result.kinds[kind.name];
      ++ofKind.requests;
      ofKind.inTime += inTime ? 1 : 0;
      if (request.promptTokens >= aLarge) {
        ++result.largest;
        result.largestInTime += inTime ? 1 : 0;
      }
    }
    return result;
  }

  const Workload& mWorkload;
  const WorkloadOptions& mOptions;
  std::vector<std::unique_ptr<Policy>> mEntries;
  std::vector<EngineSim> mEngines;
  std::vector<bool> mInPass;
  std::vector<double> mPausedUntil;
  std::map<uint64_t, Caller> mCallers;
  std::priority_queue<Event> mEvents;
  uint64_t mNumber = 0;
  size_t mReportPeriod = 0;
  double mNow = 0;
};

} // namespace

Result simulate(const serving::EngineProfile& aProfile,
                const Workload& aWorkload,
                const WorkloadOptions& aOptions,
                const PolicyFactory& aPolicy)
{
  return Simulation(aProfile, aWorkload, aOptions, aPolicy).run();
}

} // namespace boragepitch::overload
