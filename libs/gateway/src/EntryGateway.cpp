#include "gateway/EntryGateway.h"

#include <stdexcept>

#include "EntryCore.h"
#include "RefreshLoop.h"

namespace boragepitch::gateway {

namespace {

class EntryGatewayImpl final : public EntryGateway
{
public:
  EntryGatewayImpl(EntryOptions aOptions,
                   telemetry::Registry& aMetrics,
                   std::unique_ptr<routing::EndpointChoice> aChoice)
    : mCore(std::make_shared<EntryCore>(std::move(aOptions), aMetrics, std::move(aChoice)))
    , mLoop([this] { mCore->refresh(); }, mCore->options.limits.refreshInterval)
  {
  }

  void attach(net::HttpServer& aServer) override
  {
    auto core = mCore;
    aServer.route("POST", "/v1/models/{model}/generate", [core](const net::HttpRequest& aRequest) {
      return generate(core, aRequest);
    });
    aServer.route("*",
                  "/v1/services/{service}/{path...}",
                  [core](const net::HttpRequest& aRequest) { return callService(core, aRequest); });
    aServer.route("GET",
                  "/v1/outcomes/{workspace}/{key}",
                  [core](const net::HttpRequest& aRequest) { return outcome(core, aRequest); });
  }

  void refresh() override { mCore->refresh(); }
  void learnSuspects(const std::vector<control::Suspect>& aSuspects) override
  {
    for (const control::Suspect& suspect : aSuspects) {
      mCore->learnSuspect(suspect);
    }
  }
  void startLeaving() override { mCore->setLeaving(); }
  size_t inFlight() const override { return mCore->inFlight(); }
  bool waitIdle(base::Milliseconds aTimeout) override
  {
    return mCore->waitIdle(std::chrono::steady_clock::now() + aTimeout);
  }
  Json::Value dump() const override { return mCore->dump(); }

private:
  std::shared_ptr<EntryCore> mCore;
  RefreshLoop mLoop;
};

} // namespace

EntryGateway::Builder& EntryGateway::Builder::fleet(control::FleetView& aFleet)
{
  mFleet = &aFleet;
  return *this;
}

EntryGateway::Builder& EntryGateway::Builder::table(stores::TableClient& aTable)
{
  mTable = &aTable;
  return *this;
}

EntryGateway::Builder& EntryGateway::Builder::metrics(telemetry::Registry& aMetrics)
{
  mMetrics = &aMetrics;
  return *this;
}

EntryGateway::Builder& EntryGateway::Builder::identity(std::string aNodeId,
                                                       std::string aZone,
                                                       std::string aRegion)
{
  mNodeId = std::move(aNodeId);
  mZone = std::move(aZone);
  mRegion = std::move(aRegion);
  return *this;
}

EntryGateway::Builder& EntryGateway::Builder::limits(EntryLimits aLimits)
{
  mLimits = aLimits;
  return *this;
}

EntryGateway::Builder& EntryGateway::Builder::choice(
  std::unique_ptr<routing::EndpointChoice> aChoice)
{
  mChoice = std::move(aChoice);
  return *this;
}

EntryGateway::Builder& EntryGateway::Builder::suspectNotice(SuspectNotice aNotice)
{
  mNotice = std::move(aNotice);
  return *this;
}

EntryGateway::Builder& EntryGateway::Builder::seed(uint64_t aSeed)
{
  mSeed = aSeed;
  return *this;
}

std::unique_ptr<EntryGateway> EntryGateway::Builder::build()
{
  if (mFleet == nullptr || mTable == nullptr || mMetrics == nullptr || mNodeId.empty()) {
    throw std::invalid_argument("EntryGateway needs fleet, table, metrics and identity");
  }
  EntryOptions options{ mFleet, mTable, mNodeId, mZone, mRegion, mLimits, mSeed, mNotice };
  return std::make_unique<EntryGatewayImpl>(std::move(options), *mMetrics, std::move(mChoice));
}

} // namespace boragepitch::gateway
