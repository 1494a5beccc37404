#include "EndpointController.h"

#include <algorithm>

#include "resources/Validate.h"
#include "rollout/DesiredState.h"
#include "telemetry/Log.h"

namespace boragepitch::tools {

namespace {

using namespace std::chrono_literals;

// ActivationCore must be stepped at least every 100 ms.
constexpr auto kStepInterval = 50ms;

/** Sets the zones and endpoints of the Serving resource for aModel; their VMs take part in the
 * distribution of the weights. */
void setDistributionScope(const resources::Snapshot& aSnapshot,
                          weights::TransferRequest& aRequest,
                          const std::string& aModel)
{
  aSnapshot.each<resources::Serving>(
    [&](const resources::Resource&, const resources::Serving& aServing) {
      if (aServing.model == aModel) {
        aRequest.zones = aServing.zones;
        aRequest.endpoints = aServing.endpoints;
      }
    });
}

bool isSamePublishedState(const control::NodeState& aLeft, const control::NodeState& aRight)
{
  return aLeft.phase == aRight.phase && aLeft.held == aRight.held &&
         aLeft.fetching == aRight.fetching && aLeft.originChanged == aRight.originChanged &&
         aLeft.serving == aRight.serving && aLeft.instance == aRight.instance &&
         aLeft.cold == aRight.cold && aLeft.coldLimit == aRight.coldLimit &&
         aLeft.warmLimit == aRight.warmLimit && aLeft.suspects == aRight.suspects;
}

} // namespace

EndpointController::EndpointController(EndpointDependencies aDependencies,
                                       EndpointSettings aSettings,
                                       control::NodeState aSelf)
  : mDependencies(aDependencies)
  , mSettings(std::move(aSettings))
  , mEngine(mSettings.engine)
  , mCore(rollout::ActivationOptions{ .readInterval = mSettings.stateInterval })
  , mSelf(std::move(aSelf))
{
}

EndpointController::~EndpointController()
{
  stop();
}

void EndpointController::start()
{
  mThread = std::thread([this] { run(); });
}

void EndpointController::stop()
{
  {
    std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void EndpointController::wake()
{
  {
    std::lock_guard lock(mMutex);
    mWakeRequested = true;
  }
  mWake.notify_all();
}

void EndpointController::setSuspects(std::vector<control::Suspect> aSuspects)
{
  {
    std::lock_guard lock(mMutex);
    mSelf.suspects = std::move(aSuspects);
    mWakeRequested = true;
  }
  mWake.notify_all();
}

void EndpointController::startLeaving()
{
  control::NodeState self;
  {
    std::lock_guard lock(mMutex);
    mSelf.phase = control::Phase::Leaving;
    self = mSelf;
  }
  // Published by the caller's thread, since the controller's thread may be waiting for the engine.
  mDependencies.fleet.publish(self);
}

bool EndpointController::isServing() const
{
  std::lock_guard lock(mMutex);
  return mSelf.phase == control::Phase::Ready && !mSelf.serving.empty();
}

Json::Value EndpointController::dump() const
{
  std::lock_guard lock(mMutex);
  Json::Value dump;
  dump["endpoint"] = mSettings.name;
  dump["phase"] = std::string(rollout::toString(mCore.phase()));
  dump["instance"] = mSelf.instance;
  dump["cold"] = mSelf.cold;
  dump["serving"] = Json::arrayValue;
  for (const control::ServedModel& served : mSelf.serving) {
    dump["serving"].append(served.model + "/" + served.version);
  }
  return dump;
}

void EndpointController::run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mWakeRequested = false;
    lock.unlock();
    update(std::chrono::steady_clock::now());
    lock.lock();
    mWake.wait_for(lock, kStepInterval, [this] { return mWakeRequested || mStopping; });
  }
}

void EndpointController::update(base::TimePoint aNow)
{
  auto snapshot = mDependencies.fleet.config();
  auto desired = rollout::desiredState(*snapshot, mSettings.name);
  auto held = mDependencies.distributor.held();
  updateWantedManifests(*snapshot, desired, held);
  rollout::Action action;
  {
    std::lock_guard lock(mMutex);
    mCore.onDesired(std::move(desired));
    mCore.onHeld({ held.begin(), held.end() });
    int inFlight = mDependencies.gateway.running() + mDependencies.gateway.queued();
    action = mCore.step(aNow, static_cast<uint64_t>(inFlight));
  }
  // The gateway must refuse new requests before an order is sent, so apply admission first.
  applyAdmission(*snapshot);
  perform(action);
  applyAdmission(*snapshot);
  publishIfChanged(aNow);
}

void EndpointController::updateWantedManifests(const resources::Snapshot& aSnapshot,
                                               const rollout::DesiredState& aDesired,
                                               const std::vector<std::string>& aHeld)
{
  std::vector<rollout::WantedManifest> manifests;
  {
    std::lock_guard lock(mMutex);
    manifests = rollout::manifestsToHold(aDesired, mCore.loaded());
  }
  // Optional manifests (previous versions) are kept while the host has room, but never fetched.
  std::erase_if(manifests, [&](const rollout::WantedManifest& aManifest) {
    return !aManifest.required &&
           !std::binary_search(aHeld.begin(), aHeld.end(), aManifest.manifest);
  });
  if (manifests == mWantedManifests && aSnapshot.revision() == mWantedRevision) {
    return;
  }
  mWantedManifests = manifests;
  mWantedRevision = aSnapshot.revision();
  std::vector<weights::TransferRequest> transfers;
  for (const rollout::WantedManifest& manifest : manifests) {
    if (auto id = weights::ManifestId::parse(manifest.manifest)) {
      weights::TransferRequest transfer;
      transfer.manifest = *id;
      transfer.originName = manifest.origin;
      transfer.urgency = manifest.urgency;
      // Only the order of these times matters; revisions give the same order on every VM.
      transfer.since = base::TimePoint(base::Milliseconds(manifest.declaredAt));
      setDistributionScope(aSnapshot, transfer, manifest.model);
      transfers.push_back(std::move(transfer));
    }
  }
  mDependencies.distributor.setWanted(std::move(transfers));
}

void EndpointController::perform(const rollout::Action& aAction)
{
  switch (aAction.kind) {
    case rollout::ActionKind::None:
      return;
    case rollout::ActionKind::TakeEpoch:
      takeEpoch(aAction.minEpoch);
      return;
    case rollout::ActionKind::ReadEngine:
      readEngine();
      return;
    case rollout::ActionKind::SendOrder: {
      telemetry::logEvent(telemetry::Level::Info,
                          "order",
                          { { "model", aAction.order.modelVersion.model },
                            { "version", aAction.order.modelVersion.version },
                            { "fencing", std::to_string(aAction.order.fencing) } });
      base::Status status = mEngine.send(aAction.order);
      if (!status) {
        telemetry::logEvent(
          telemetry::Level::Warn, "order_failed", { { "error", status.error().describe() } });
      }
      std::lock_guard lock(mMutex);
      mCore.onOrderAnswered(status, std::chrono::steady_clock::now());
      return;
    }
  }
}

void EndpointController::readEngine()
{
  auto started = std::chrono::steady_clock::now();
  auto reported = mEngine.readState();
  std::string previousInstance = mReportedEngine.state.instance;
  if (!reported) {
    std::lock_guard lock(mMutex);
    mCore.onEngineUnreachable();
    return;
  }
  mReportedEngine = *reported;
  {
    std::lock_guard lock(mMutex);
    mCore.onEngineState(reported->state, started);
  }
  if (!previousInstance.empty() && previousInstance != reported->state.instance) {
    telemetry::logEvent(
      telemetry::Level::Warn,
      "engine_restarted",
      { { "instance", reported->state.instance }, { "before", previousInstance } });
    mDependencies.distributor.invalidateHost();
  }
}

void EndpointController::takeEpoch(uint64_t aMinEpoch)
{
  auto started = std::chrono::steady_clock::now();
  auto epoch = mDependencies.epochs.issue(mSettings.name, aMinEpoch);
  if (!epoch) {
    return;
  }
  std::lock_guard lock(mMutex);
  mCore.onEpoch({ *epoch, started + mSettings.maxEpochAge });
}

void EndpointController::applyAdmission(const resources::Snapshot& aSnapshot)
{
  gateway::EngineState state;
  bool draining = false;
  {
    std::lock_guard lock(mMutex);
    state.serving = mCore.served();
    state.instance = mCore.instance();
    state.cold = mCore.cold();
    draining = mCore.phase() == rollout::ActivationPhase::Draining ||
               mCore.phase() == rollout::ActivationPhase::Ordering ||
               mCore.phase() == rollout::ActivationPhase::Verifying;
  }
  state.coldLimit = mReportedEngine.coldLimit;
  state.warmLimit = mReportedEngine.warmLimit;
  if (const auto* declared = aSnapshot.spec<resources::Endpoint>("Endpoint", mSettings.name)) {
    state.coldLimit = std::min(state.coldLimit, declared->coldLimit);
    state.warmLimit = std::min(state.warmLimit, declared->warmLimit);
  }
  mDependencies.gateway.setServing(state);
  if (draining && !mDraining) {
    // Only makes the gateway refuse new requests; ActivationCore waits for those in flight.
    (void)mDependencies.gateway.drain(0ms);
  } else if (!draining && mDraining) {
    mDependencies.gateway.resume();
  }
  mDraining = draining;
  std::lock_guard lock(mMutex);
  mSelf.serving = draining ? std::vector<control::ServedModel>{} : state.serving;
  mSelf.instance = state.instance;
  mSelf.cold = state.cold;
  mSelf.coldLimit = state.coldLimit;
  mSelf.warmLimit = state.warmLimit;
  if (mSelf.phase != control::Phase::Leaving) {
    mSelf.phase = state.instance.empty() ? control::Phase::Starting : control::Phase::Ready;
  }
}

void EndpointController::publishIfChanged(base::TimePoint aNow)
{
  control::NodeState self;
  {
    std::lock_guard lock(mMutex);
    mSelf.held = mDependencies.distributor.held();
    mSelf.fetching = mDependencies.distributor.fetching();
    mSelf.originChanged.clear();
    for (const weights::TransferProgress& transfer : mDependencies.distributor.progress(aNow)) {
      if (transfer.state == weights::TransferState::OriginChanged) {
        mSelf.originChanged.push_back(transfer.manifest.toString());
      }
    }
    self = mSelf;
  }
  if (isSamePublishedState(self, mPublished)) {
    return;
  }
  if (self.serving != mPublished.serving) {
    std::string names;
    for (const control::ServedModel& served : self.serving) {
      names += (names.empty() ? "" : ",") + served.model + "/" + served.version;
    }
    telemetry::logEvent(telemetry::Level::Info, "serving", { { "versions", names } });
  }
  mPublished = self;
  mDependencies.fleet.publish(std::move(self));
}

} // namespace boragepitch::tools
