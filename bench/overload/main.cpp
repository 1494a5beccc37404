#include <iostream>

#include <docopt/docopt.h>
#include <json/writer.h>

#include "Simulation.h"
#include "base/Json.h"

namespace {

using namespace boragepitch;
using namespace boragepitch::overload;

constexpr const char* kUsage =
  R"(Plays load patterns in simulated time against ways to place requests.

Usage:
  bp-overload [--load=L] [--length=MS] [--engines=N] [--entries=N] [--seeds=N] [--pattern=NAME]
  bp-overload (-h | --help)

Prints one JSON object: for each pattern and policy the worth answered in time, as a part of the
offline bound, and what became of the requests.

Options:
  --load=L        Load relative to what the engines can do [default: 1.2].
  --length=MS     Simulated time of the arrivals, milliseconds [default: 40000].
  --engines=N     Engines, in three zones [default: 14].
  --entries=N     Entries that place requests without shared memory [default: 4].
  --seeds=N       Workloads drawn for each pattern [default: 3].
  --pattern=NAME  One pattern only [default: all].
  -h --help       Show this text.
)";

Json::Value toJson(const Result& aResult, double aBound)
{
  auto part = [](int aPart, int aWhole) {
    return aWhole > 0 ? static_cast<double>(aPart) / aWhole : 0.0;
  };
  Json::Value json;
  json["ofBound"] = aBound > 0 ? aResult.worthInTime / aBound : 0.0;
  json["ofOwed"] = aResult.worthOwed > 0 ? aResult.worthInTime / aResult.worthOwed : 0.0;
  json["inTime"] = part(aResult.inTime, aResult.requests);
  json["late"] = part(aResult.late, aResult.requests);
  json["refused"] = part(aResult.refused, aResult.requests);
  json["left"] = part(aResult.left, aResult.requests);
  json["largestInTime"] = part(aResult.largestInTime, aResult.largest);
  for (const auto& [name, kind] : aResult.kinds) {
    json["kinds"][name] = part(kind.inTime, kind.requests);
  }
  return json;
}

void add(Result& aSum, const Result& aResult)
{
  aSum.worthOwed += aResult.worthOwed;
  aSum.worthInTime += aResult.worthInTime;
  aSum.requests += aResult.requests;
  aSum.inTime += aResult.inTime;
  aSum.late += aResult.late;
  aSum.refused += aResult.refused;
  aSum.left += aResult.left;
  aSum.largest += aResult.largest;
  aSum.largestInTime += aResult.largestInTime;
  for (const auto& [name, kind] : aResult.kinds) {
    aSum.kinds[name].requests += kind.requests;
    aSum.kinds[name].inTime += kind.inTime;
  }
}

Json::Value play(WorkloadOptions aOptions, uint64_t aSeeds)
{
  auto profile = usualEngine();
  auto policies = allPolicies();
  policies.push_back(policyWithoutSubsets());
  std::map<std::string, Result> sums;
  double bound = 0;
  for (aOptions.seed = 1; aOptions.seed <= aSeeds; ++aOptions.seed) {
    auto workload = makeWorkload(profile, aOptions);
    bound += offlineBound(profile, workload, aOptions);
    for (const auto& policy : policies) {
      add(sums[policy->name()], simulate(profile, workload, aOptions, *policy));
    }
  }
  Json::Value json;
  for (const auto& [name, sum] : sums) {
    json[name] = toJson(sum, bound);
  }
  return json;
}

} // namespace

int main(int aCount, char** aValues)
{
  try {
    auto arguments = docopt::docopt_parse(kUsage, { aValues + 1, aValues + aCount }, true);
    WorkloadOptions options;
    options.load = std::stod(arguments.at("--load").asString());
    options.lengthMs = std::stod(arguments.at("--length").asString());
    options.engines = std::stoul(arguments.at("--engines").asString());
    options.entries = std::stoul(arguments.at("--entries").asString());
    uint64_t seeds = std::stoul(arguments.at("--seeds").asString());
    std::string wanted = arguments.at("--pattern").asString();
    Json::Value json;
    for (Pattern pattern : allPatterns()) {
      if (wanted == "all" || wanted == toString(pattern)) {
        options.pattern = pattern;
        json[std::string(toString(pattern))] = play(options, seeds);
      }
    }
    std::cout << base::writeJson(json) << "\n";
    return json.isNull() ? 2 : 0;
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "bp-overload: " << error.what() << "\nsee bp-overload --help\n";
    return 2;
  }
}
