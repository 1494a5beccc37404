#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Workload.h"
#include "base/Time.h"
#include "serving/EndpointSet.h"

namespace boragepitch::overload {

/** Converts simulated milliseconds to a time point. */
inline base::TimePoint timeOf(double aMs)
{
  return base::TimePoint{} +
         std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(aMs));
}

struct Choice
{
  std::optional<size_t> engine; ///< Empty: refused.
  double retryAfterMs = 0;      ///< When refused.
};

/** Routing and admission of one entry, from its own state only. */
class Policy
{
public:
  virtual ~Policy() = default;
  /** @param aDueMs simulated time at which the first event is due. */
  virtual Choice choose(const Request& aRequest, double aDueMs, double aNow) = 0;
  virtual void started(uint64_t aId, size_t aEngine, double aNow) = 0;
  virtual void firstEvent(uint64_t aId, double aNow) = 0;
  virtual void finished(uint64_t aId, serving::Outcome aOutcome, double aNow) = 0;
  /** Whether the entry gets each report of the engine; else it gets one in several. */
  virtual bool needsFrequentReports(size_t /*aEngine*/) const { return true; }
  virtual void report(size_t aEngine, int aRunning, int aQueued, double aNow) = 0;
  /** The VM list says that the engine leaves, is in cold start, or pauses admission. */
  virtual void changed(const Change& aChange, double aNow) = 0;
};

struct PolicyContext
{
  serving::EngineProfile profile;
  std::vector<RequestKind> kinds;
  size_t engines = 0;
  size_t entries = 0;
  size_t entry = 0; ///< Number of the entry, from 0.
  size_t zones = 1; ///< Entries and engines are assigned to zones in turn.
  uint64_t seed = 1;
};

class PolicyFactory
{
public:
  virtual ~PolicyFactory() = default;
  virtual std::string name() const = 0;
  virtual std::unique_ptr<Policy> make(const PolicyContext& aContext) const = 0;
};

/** Round robin and least loaded, which refuse nothing; the module with the settings of its first
 * release; the module as it is. */
std::vector<std::unique_ptr<PolicyFactory>> allPolicies();
std::unique_ptr<PolicyFactory> currentPolicy();
/** The module as it is, but with every entry using every engine. */
std::unique_ptr<PolicyFactory> policyWithoutSubsets();

} // namespace boragepitch::overload
