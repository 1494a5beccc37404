#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Policy.h"
#include "Workload.h"

namespace boragepitch::overload {

struct KindResult
{
  int requests = 0;
  int inTime = 0;
};

/** Outcome of the requests as seen by the callers. */
struct Result
{
  double worthOwed = 0;
  double worthInTime = 0;
  int requests = 0;
  int inTime = 0;
  int late = 0;
  int refused = 0; ///< For good, after the retries.
  int left = 0;    ///< Callers that left without the whole answer.
  int largest = 0; ///< Requests in the largest tenth.
  int largestInTime = 0;
  std::map<std::string, KindResult> kinds;
};

/** Plays the workload against one policy, with one instance of it for each entry. */
Result simulate(const serving::EngineProfile& aProfile,
                const Workload& aWorkload,
                const WorkloadOptions& aOptions,
                const PolicyFactory& aPolicy);

} // namespace boragepitch::overload
