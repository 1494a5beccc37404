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
constexpr size_t kMaxAgentsQueried = 128;
constexpr size_t kMaxThreads = 16;
constexpr auto kAgentTimeout = 500ms;

struct AgentProgress
{
  const control::NodeState* node = nullptr;
  Json::Value transfers;
};

void queryAgent(AgentProgress& aAgent)
{
  net::HttpClient client(aAgent.node->controlAddress,
                         { .connectTimeout = kAgentTimeout, .readTimeout = kAgentTimeout });
  auto response = client.send({ .target = "/progress", .totalTimeout = kAgentTimeout }, 1 << 20);
  if (response && response->status == 200) {
    aAgent.transfers = base::parseJson(response->body).value_or(Json::Value());
  }
}

std::vector<AgentProgress> queryFetchingAgents(const control::NodeTable& aNodes)
{
  std::vector<AgentProgress> agents;
  for (const auto& [id, entry] : aNodes) {
    bool fetches = !entry.state.fetching.empty() && entry.liveness == control::Liveness::Alive;
    if (fetches && agents.size() < kMaxAgentsQueried) {
      agents.push_back({ &entry.state, {} });
    }
  }
  std::atomic<size_t> next{ 0 };
  std::vector<std::thread> threads;
  for (size_t i = 0; i < std::min(kMaxThreads, agents.size()); ++i) {
    threads.emplace_back([&] {
      for (size_t index = next++; index < agents.size(); index = next++) {
        queryAgent(agents[index]);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return agents;
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
  for (const AgentProgress& agent : queryFetchingAgents(*nodes)) {
    for (Json::Value row : agent.transfers) {
      if (base::stringOr(row, "state") == "whole") {
        continue;
      }
      totals[base::stringOr(row, "manifest")].partialBytes +=
        static_cast<uint64_t>(base::intOr(row, "bytesHeld", 0));
      row["node"] = agent.node->id;
      row["endpoint"] = agent.node->endpoint;
      row["zone"] = agent.node->zone;
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
