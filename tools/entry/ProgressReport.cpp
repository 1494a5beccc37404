#include "ProgressReport.h"

#include <atomic>
#include <map>
#include <set>
#include <thread>

#include "base/Json.h"
#include "net/HttpClient.h"

namespace boragepitch::tools {

namespace {

using namespace std::chrono_literals;

// Bounds the work of one report. Agents beyond the limit count as having fetched no bytes.
constexpr size_t kMostAgentsAsked = 128;
constexpr size_t kThreads = 16;
constexpr auto kAgentTimeout = 500ms;

struct Asked
{
  const control::NodeState* node = nullptr;
  Json::Value answer;
};

void ask(Asked& aAsked)
{
  net::HttpClient client(aAsked.node->controlAddress,
                         { .connectTimeout = kAgentTimeout, .readTimeout = kAgentTimeout });
  auto response = client.send({ .target = "/progress", .totalTimeout = kAgentTimeout }, 1 << 20);
  if (response && response->status == 200) {
    aAsked.answer = base::parseJson(response->body).value_or(Json::Value());
  }
}

std::vector<Asked> askFetchingAgents(const control::NodeTable& aNodes)
{
  std::vector<Asked> asked;
  for (const auto& [id, entry] : aNodes) {
    bool fetches = !entry.state.fetching.empty() && entry.liveness == control::Liveness::Alive;
    if (fetches && asked.size() < kMostAgentsAsked) {
      asked.push_back({ &entry.state, {} });
    }
  }
  std::atomic<size_t> next{ 0 };
  std::vector<std::thread> threads;
  for (size_t i = 0; i < std::min(kThreads, asked.size()); ++i) {
    threads.emplace_back([&] {
      for (size_t at = next++; at < asked.size(); at = next++) {
        ask(asked[at]);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return asked;
}

struct Totals
{
  uint64_t vmsDone = 0;
  uint64_t vmsTotal = 0;
  uint64_t partialBytes = 0;
};

std::map<std::string, Totals> countVms(const control::NodeTable& aNodes)
{
  std::map<std::string, Totals> totals;
  for (const auto& [id, entry] : aNodes) {
    if (entry.liveness != control::Liveness::Alive) {
      continue;
    }
    for (const std::string& manifest : entry.state.held) {
      ++totals[manifest].vmsDone;
      ++totals[manifest].vmsTotal;
    }
    for (const std::string& manifest : entry.state.fetching) {
      ++totals[manifest].vmsTotal;
    }
  }
  return totals;
}

} // namespace

Json::Value progressReport(const control::FleetView& aFleet)
{
  auto nodes = aFleet.nodes();
  auto totals = countVms(*nodes);
  Json::Value report;
  report["manifests"] = Json::arrayValue;
  report["vms"] = Json::arrayValue;
  for (const Asked& one : askFetchingAgents(*nodes)) {
    for (Json::Value row : one.answer) {
      if (base::stringOr(row, "state") == "whole") {
        continue;
      }
      totals[base::stringOr(row, "manifest")].partialBytes +=
        static_cast<uint64_t>(base::intOr(row, "bytesHeld", 0));
      row["node"] = one.node->id;
      row["endpoint"] = one.node->endpoint;
      row["zone"] = one.node->zone;
      report["vms"].append(row);
    }
  }
  aFleet.config()->each<resources::ModelVersion>(
    [&](const resources::Resource&, const resources::ModelVersion& aModel) {
      const Totals& total = totals[aModel.manifest];
      Json::Value row;
      row["model"] = aModel.model;
      row["version"] = aModel.version;
      row["manifest"] = aModel.manifest;
      row["vmsDone"] = Json::UInt64{ total.vmsDone };
      row["vmsTotal"] = Json::UInt64{ total.vmsTotal };
      row["bytesDone"] = Json::UInt64{ total.vmsDone * aModel.size + total.partialBytes };
      row["bytesTotal"] = Json::UInt64{ total.vmsTotal * aModel.size };
      report["manifests"].append(row);
    });
  return report;
}

} // namespace boragepitch::tools
