#include "gateway/AgentGateway.h"

#include <stdexcept>

#include "AgentCore.h"
#include "RefreshLoop.h"
#include "base/Json.h"

namespace boragepitch::gateway {

namespace {

class AgentGatewayImpl final : public AgentGateway
{
public:
  AgentGatewayImpl(AgentOptions aOptions, telemetry::Registry& aMetrics)
    : mCore(std::make_shared<AgentCore>(std::move(aOptions), aMetrics))
    , mLoop([this] { mCore->refresh(); }, mCore->options.limits.refreshInterval)
  {
  }

  void attach(net::HttpServer& aServer) override
  {
    auto core = mCore;
    aServer.route("POST", "/run/generate", [core](const net::HttpRequest& aRequest) {
      return runGenerate(core, aRequest);
    });
    aServer.route("*", "/run/service/{path...}", [core](const net::HttpRequest& aRequest) {
      return runService(core, aRequest);
    });
    aServer.route("GET", "/run/{id}", [core](const net::HttpRequest& aRequest) {
      return describe(core->runs.find(aRequest.pathParameters.at("id")));
    });
    aServer.route("DELETE", "/run/{id}", [core](const net::HttpRequest& aRequest) {
      return cancel(*core, aRequest.pathParameters.at("id"));
    });
  }

  void setServing(EngineState aState) override { mCore->setServing(std::move(aState)); }
  void refresh() override { mCore->refresh(); }

  base::Status drain(base::Milliseconds aTimeout) override
  {
    mCore->setDraining(true);
    if (mCore->gate.waitIdle(std::chrono::steady_clock::now() + aTimeout)) {
      return {};
    }
    return base::fail(base::ErrorKind::Timeout,
                      mCore->options.endpoint,
                      "requests are still in flight",
                      "wait longer, or resume to serve as before");
  }

  void resume() override { mCore->setDraining(false); }
  void startLeaving() override { mCore->setLeaving(); }
  int running() const override { return mCore->gate.running(); }
  int queued() const override { return mCore->gate.queued(); }

  Json::Value dump() const override
  {
    Json::Value value;
    value["running"] = running();
    value["queued"] = queued();
    value["cold"] = mCore->gate.isCold();
    value["closed"] = mCore->closedReason();
    return value;
  }

private:
  static net::HttpResponse describe(const std::shared_ptr<Run>& aRun)
  {
    Json::Value value;
    value["state"] = "unknown";
    net::HttpResponse response;
    response.body = base::writeJson(aRun ? aRun->describe() : value);
    return response;
  }

  /**
   * The state "neverRan" guarantees that the id has not run and will be refused if it arrives
   * later. It holds only for attempts that began at most knownForMs ago: an earlier one may have
   * run in a previous process, or its run may have been evicted.
   */
  static net::HttpResponse cancel(AgentCore& aCore, const std::string& aId)
  {
    auto now = std::chrono::steady_clock::now();
    bool remembered = aCore.runs.cancel(aId, now);
    if (auto run = aCore.runs.find(aId)) {
      return describe(run);
    }
    Json::Value value;
    value["state"] = remembered ? "neverRan" : "unknown";
    value["knownForMs"] = Json::Int64(base::toMilliseconds(now - aCore.runs.completeSince()));
    net::HttpResponse response;
    response.body = base::writeJson(value);
    return response;
  }

  std::shared_ptr<AgentCore> mCore;
  RefreshLoop mLoop;
};

} // namespace

AgentGateway::Builder& AgentGateway::Builder::fleet(control::FleetView& aFleet)
{
  mFleet = &aFleet;
  return *this;
}

AgentGateway::Builder& AgentGateway::Builder::metrics(telemetry::Registry& aMetrics)
{
  mMetrics = &aMetrics;
  return *this;
}

AgentGateway::Builder& AgentGateway::Builder::identity(std::string aNodeId,
                                                       std::string aZone,
                                                       std::string aEndpoint)
{
  mNodeId = std::move(aNodeId);
  mZone = std::move(aZone);
  mEndpoint = std::move(aEndpoint);
  return *this;
}

AgentGateway::Builder& AgentGateway::Builder::target(net::Address aAddress)
{
  mTarget = std::move(aAddress);
  return *this;
}

AgentGateway::Builder& AgentGateway::Builder::limits(AgentLimits aLimits)
{
  mLimits = aLimits;
  return *this;
}

AgentGateway::Builder& AgentGateway::Builder::onSuspects(SuspectsHandler aHandler)
{
  mOnSuspects = std::move(aHandler);
  return *this;
}

AgentGateway::Builder& AgentGateway::Builder::onCrash(CrashHandler aHandler)
{
  mOnCrash = std::move(aHandler);
  return *this;
}

std::unique_ptr<AgentGateway> AgentGateway::Builder::build()
{
  if (mFleet == nullptr || mMetrics == nullptr || mEndpoint.empty() || mTarget.port == 0) {
    throw std::invalid_argument("AgentGateway needs fleet, metrics, identity and target");
  }
  AgentOptions options{
    mFleet, mNodeId, mZone, mEndpoint, mTarget, mLimits, mOnSuspects, mOnCrash
  };
  return std::make_unique<AgentGatewayImpl>(std::move(options), *mMetrics);
}

} // namespace boragepitch::gateway
