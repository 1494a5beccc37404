#include "Policy.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

#include "serving/RetryAdvice.h"

namespace boragepitch::overload {

namespace {

/** Retry delay that the baselines advise. */
constexpr double kRetryAfterMs = 120;
constexpr const char* kService = "engines";
constexpr double kColdRequestsPerSecond = 36;
constexpr base::Milliseconds kColdTime{ 3000 };

/** Common part of the two baselines. */
class SimplePolicy : public Policy
{
public:
  explicit SimplePolicy(const PolicyContext& aContext)
    : mUnavailableUntil(aContext.engines, 0)
    , mLoad(aContext.engines, 0)
  {
  }
  void started(uint64_t, size_t aEngine, double) override { ++mLoad[aEngine]; }
  void firstEvent(uint64_t, double) override {}
  void finished(uint64_t, serving::Outcome, double) override {}
  void report(size_t aEngine, int aRunning, int aQueued, double) override
  {
    mLoad[aEngine] = aRunning + aQueued;
  }
  void changed(const Change& aChange, double aNow) override
  {
    if (aChange.kind == Change::Kind::Drain) {
      mUnavailableUntil[aChange.engine] = std::numeric_limits<double>::infinity();
    } else if (aChange.kind == Change::Kind::Pause) {
      mUnavailableUntil[aChange.engine] = aNow + aChange.forMs;
    }
  }

protected:
  bool isUnavailable(size_t aEngine, double aNow) const
  {
    return aNow < mUnavailableUntil[aEngine];
  }
  std::vector<double> mUnavailableUntil; ///< Time until which each engine is unavailable.
  std::vector<int> mLoad;                ///< Last reported load plus requests sent since.
};

class RoundRobin final : public SimplePolicy
{
public:
  using SimplePolicy::SimplePolicy;
  Choice choose(const Request&, double, double aNow) override
  {
    for (size_t tries = 0; tries < mUnavailableUntil.size(); ++tries) {
      mNext = (mNext + 1) % mUnavailableUntil.size();
      if (!isUnavailable(mNext, aNow)) {
        return { mNext };
      }
    }
    return { std::nullopt, kRetryAfterMs };
  }

private:
  size_t mNext = 0;
};

class LeastLoaded final : public SimplePolicy
{
public:
  using SimplePolicy::SimplePolicy;
  Choice choose(const Request&, double, double aNow) override
  {
    Choice best{ std::nullopt, kRetryAfterMs };
    for (size_t engine = 0; engine < mLoad.size(); ++engine) {
      if (!isUnavailable(engine, aNow) && (!best.engine || mLoad[engine] < mLoad[*best.engine])) {
        best.engine = engine;
      }
    }
    return best;
  }
};

std::string entryName(size_t aEntry)
{
  return "entry-" + std::to_string(aEntry);
}

std::string regionName(size_t aZone)
{
  return "region-" + std::to_string(aZone);
}

serving::PlacementOptions withIdentity(serving::PlacementOptions aOptions,
                                       const PolicyContext& aContext)
{
  aOptions.node = entryName(aContext.entry);
  aOptions.region = regionName(aContext.entry % aContext.zones);
  return aOptions;
}

/** The module that the product runs, one instance for each entry. */
class Module final : public Policy
{
public:
  Module(const PolicyContext& aContext, serving::PlacementOptions aOptions)
    : mKinds(aContext.kinds)
    , mRng(aContext.seed)
    , mEndpoints(withIdentity(std::move(aOptions), aContext))
  {
    mService.name = kService;
    mService.engine = aContext.profile;
    mService.coldRequestsPerSecond = kColdRequestsPerSecond;
    mService.coldTime = kColdTime;
    mRoute.kind = serving::CallKind::Streaming;
    mRoute.isResumable = true;
    std::vector<serving::EntryIdentity> others;
    for (size_t entry = 0; entry < aContext.entries; ++entry) {
      if (entry != aContext.entry) {
        others.push_back({ entryName(entry), regionName(entry % aContext.zones) });
      }
    }
    mEndpoints.setOtherEntries(others);
    for (size_t engine = 0; engine < aContext.engines; ++engine) {
      serving::EndpointRecord record;
      record.id = std::to_string(engine);
      record.service = kService;
      record.address = { "10.0.0.1", static_cast<int>(engine) + 1 };
      record.region = regionName(engine % aContext.zones);
      record.startTimeMs = 1;
      record.slots = aContext.profile.slots;
      record.weightVersion = 1;
      mRecords.push_back(record);
      mEndpoints.apply(record, &mService, timeOf(0));
    }
  }

  Choice choose(const Request& aRequest, double aDueMs, double aNow) override
  {
    auto request = placementRequest(aRequest, aDueMs, aNow);
    mPlacement = mEndpoints.choose(request, timeOf(aNow), mRng);
    if (!mPlacement.endpoint) {
      return { std::nullopt, static_cast<double>(serving::retryAfterFull(mRng).count()) };
    }
    mRequest = request;
    return { static_cast<size_t>(std::stoul(mPlacement.endpoint->record.id)) };
  }

  void started(uint64_t aId, size_t, double aNow) override
  {
    mInFlight[aId] = { mPlacement.endpoint,
                       mEndpoints.started(mPlacement, mRequest, timeOf(aNow)),
                       aNow };
  }

  void firstEvent(uint64_t aId, double aNow) override
  {
    InFlight& inFlight = mInFlight.at(aId);
    mEndpoints.firstEvent(
      *inFlight.endpoint, inFlight.occupancy, timeOf(aNow) - timeOf(inFlight.sentAt));
  }

  void finished(uint64_t aId, serving::Outcome aOutcome, double aNow) override
  {
    InFlight& inFlight = mInFlight.at(aId);
    mEndpoints.finished(*inFlight.endpoint, inFlight.occupancy, aOutcome, timeOf(aNow));
    mInFlight.erase(aId);
  }

  bool needsFrequentReports(size_t aEngine) const override
  {
    return mEndpoints.all().at(std::to_string(aEngine))->isInSubset;
  }

  void report(size_t aEngine, int aRunning, int aQueued, double aNow) override
  {
    serving::LoadReport report;
    report.address = mRecords[aEngine].address.toString();
    report.startTimeMs = mRecords[aEngine].startTimeMs;
    report.running = aRunning;
    report.queued = aQueued;
    report.weightVersion = 1;
    report.isSwitching = aNow < mPausedUntil[aEngine];
    mEndpoints.recordReport(report, timeOf(aNow));
  }

  void changed(const Change& aChange, double aNow) override
  {
    serving::EndpointRecord& record = mRecords[aChange.engine];
    switch (aChange.kind) {
      case Change::Kind::Drain:
        record.isDraining = true;
        break;
      case Change::Kind::Return:
        record.coldFor = kColdTime;
        ++record.startTimeMs;
        break;
      case Change::Kind::Pause:
        mPausedUntil[aChange.engine] = aNow + aChange.forMs;
        report(aChange.engine, 0, 0, aNow);
        return;
    }
    mEndpoints.apply(record, &mService, timeOf(aNow));
  }

private:
  struct InFlight
  {
    serving::EndpointPtr endpoint;
    serving::Occupancy occupancy;
    double sentAt = 0;
  };

  serving::PlacementRequest placementRequest(const Request& aRequest, double aDueMs, double aNow)
  {
    serving::PlacementRequest request;
    request.route = &mRoute;
    request.service = &mService;
    request.promptTokens = aRequest.promptTokens;
    request.firstEventBudget = timeOf(aDueMs) - timeOf(aNow);
    return request;
  }

  std::vector<RequestKind> mKinds;
  base::Rng mRng;
  serving::Service mService;
  serving::Route mRoute;
  serving::EndpointSet mEndpoints;
  std::vector<serving::EndpointRecord> mRecords;
  std::map<size_t, double> mPausedUntil;
  serving::Placement mPlacement; ///< Result of the latest choose().
  serving::PlacementRequest mRequest;
  std::map<uint64_t, InFlight> mInFlight;
};

template<typename Made>
class SimpleFactory final : public PolicyFactory
{
public:
  explicit SimpleFactory(std::string aName)
    : mName(std::move(aName))
  {
  }
  std::string name() const override { return mName; }
  std::unique_ptr<Policy> make(const PolicyContext& aContext) const override
  {
    return std::make_unique<Made>(aContext);
  }

private:
  std::string mName;
};

class ModuleFactory final : public PolicyFactory
{
public:
  ModuleFactory(std::string aName, serving::PlacementOptions aOptions)
    : mName(std::move(aName))
    , mOptions(std::move(aOptions))
  {
  }
  std::string name() const override { return mName; }
  std::unique_ptr<Policy> make(const PolicyContext& aContext) const override
  {
    return std::make_unique<Module>(aContext, mOptions);
  }

private:
  std::string mName;
  serving::PlacementOptions mOptions;
};

/** The module with the settings of its first release. */
serving::PlacementOptions firstOptions()
{
  serving::PlacementOptions options;
  options.budgetFactor = 1.0;
  options.minBudget = base::Milliseconds(0);
  return options;
}

/** The module with every entry using every engine. */
serving::PlacementOptions optionsWithoutSubsets()
{
  serving::PlacementOptions options;
  options.subset.entriesPerEndpoint = std::numeric_limits<size_t>::max();
  return options;
}

} // namespace

std::unique_ptr<PolicyFactory> currentPolicy()
{
  return std::make_unique<ModuleFactory>("module", serving::PlacementOptions());
}

std::unique_ptr<PolicyFactory> policyWithoutSubsets()
{
  return std::make_unique<ModuleFactory>("withoutSubsets", optionsWithoutSubsets());
}

std::vector<std::unique_ptr<PolicyFactory>> allPolicies()
{
  std::vector<std::unique_ptr<PolicyFactory>> policies;
  policies.push_back(std::make_unique<SimpleFactory<RoundRobin>>("roundRobin"));
  policies.push_back(std::make_unique<SimpleFactory<LeastLoaded>>("leastLoaded"));
  policies.push_back(std::make_unique<ModuleFactory>("firstRelease", firstOptions()));
  policies.push_back(currentPolicy());
  return policies;
}

} // namespace boragepitch::overload
