#include "rollout/ActivationCore.h"

#include <algorithm>

namespace boragepitch::rollout {

namespace {

// The low bits of a fencing number count the orders within an epoch.
constexpr uint64_t kOrderCountBits = 20;
constexpr uint64_t kMaxOrdersPerEpoch = (uint64_t{ 1 } << kOrderCountBits) - 1;

bool includesModel(const Target& aTarget, const std::string& aModel)
{
  return aTarget.wanted.model == aModel ||
         std::any_of(aTarget.adapters.begin(), aTarget.adapters.end(), [&](const auto& aAdapter) {
           return aAdapter.model == aModel;
         });
}

} // namespace

std::string_view toString(ActivationPhase aPhase)
{
  switch (aPhase) {
    case ActivationPhase::Unknown:
      return "unknown";
    case ActivationPhase::Steady:
      return "steady";
    case ActivationPhase::Draining:
      return "draining";
    case ActivationPhase::Ordering:
      return "ordering";
    case ActivationPhase::Verifying:
      return "verifying";
  }
  return "unknown";
}

ActivationCore::ActivationCore(ActivationOptions aOptions)
  : mOptions(aOptions)
{
}

void ActivationCore::onDesired(DesiredState aDesired)
{
  mDesired = std::move(aDesired);
}

void ActivationCore::onHeld(std::set<std::string> aHeld)
{
  mHeld = std::move(aHeld);
}

void ActivationCore::onEpoch(const Epoch& aEpoch)
{
  if (aEpoch.number < mMinEpoch || aEpoch.number < mEpoch.number) {
    return; // Orders with an older epoch would be refused, or would undo a newer agent's orders.
  }
  if (aEpoch.number != mEpoch.number) {
    mOrderCount = 0;
  }
  mEpoch = aEpoch;
}

void ActivationCore::onEngineState(const EngineState& aState, base::TimePoint aStarted)
{
  bool isStale = mPhase == ActivationPhase::Ordering ||
                 (mPhase == ActivationPhase::Verifying && aStarted < mOrderAnsweredAt);
  if (isStale) {
    return;
  }
  mEngine = aState;
  mInstance = aState.instance;
  if (aState.fencing > lastFencing()) {
    mMinEpoch = std::max(mMinEpoch, (aState.fencing >> kOrderCountBits) + 1);
  }
  if (mPhase == ActivationPhase::Verifying) {
    mRefusing = false;
    if (hasTakenEffect(mLastOrder)) {
      mFailures = 0;
      mRetryAt = {};
    } else {
      scheduleRetry(aStarted);
    }
  }
  if (mPhase != ActivationPhase::Draining) {
    mPhase = ActivationPhase::Steady;
  }
}

void ActivationCore::onEngineUnreachable()
{
  mEngine.reset();
  if (mPhase == ActivationPhase::Ordering || mPhase == ActivationPhase::Verifying) {
    return; // The effect of the order must still be read back.
  }
  mPhase = ActivationPhase::Unknown;
  mRefusing = false;
}

void ActivationCore::onOrderAnswered(const base::Status& aStatus, base::TimePoint aNow)
{
  if (mPhase != ActivationPhase::Ordering) {
    return;
  }
  mPhase = ActivationPhase::Verifying;
  mOrderAnsweredAt = aNow;
  mLastReadAt = {};
  if (!aStatus && aStatus.error().kind == base::ErrorKind::Conflict) {
    mMinEpoch = std::max(mMinEpoch, mEpoch.number + 1);
  }
}

Action ActivationCore::step(base::TimePoint aNow, uint64_t aRequestsInFlight)
{
  if (mPhase == ActivationPhase::Ordering) {
    return {};
  }
  if (!mEngine || mPhase == ActivationPhase::Verifying ||
      aNow - mLastReadAt >= mOptions.readInterval) {
    Action read = readEngine(aNow);
    if (read.kind != ActionKind::None || !mEngine || mPhase == ActivationPhase::Verifying) {
      return read;
    }
  }
  std::optional<Order> order = nextOrder();
  bool mayProceed = order && aNow >= mRetryAt && mayOrder(aNow);
  if (!mayProceed) {
    // Serves the loaded models instead of staying drained until a permission or epoch arrives.
    mPhase = ActivationPhase::Steady;
    mRefusing = false;
    // Obtaining an epoch takes a write to the table service, so it waits until an order is due.
    bool isDue = order && aNow >= mRetryAt;
    return isDue && !mayOrder(aNow) ? takeEpoch(aNow) : Action{};
  }
  if (needsDrain(*order)) {
    mPhase = ActivationPhase::Draining;
    mRefusing = true;
    if (aRequestsInFlight > 0) {
      return {};
    }
  }
  return send(*order);
}

Action ActivationCore::readEngine(base::TimePoint aNow)
{
  // Limits reads of an unresponsive engine to ten per interval.
  if (mLastReadAt != base::TimePoint{} && aNow - mLastReadAt < mOptions.readInterval / 10) {
    return {};
  }
  mLastReadAt = aNow;
  return { ActionKind::ReadEngine, 0, {} };
}

Action ActivationCore::takeEpoch(base::TimePoint aNow)
{
  if (mEpochRequestedAt != base::TimePoint{} &&
      aNow - mEpochRequestedAt < mOptions.epochRetryInterval) {
    return {};
  }
  mEpochRequestedAt = aNow;
  return { ActionKind::TakeEpoch, std::max(mMinEpoch, mEpoch.number), {} };
}

Action ActivationCore::send(Order aOrder)
{
  ++mOrderCount;
  aOrder.fencing = lastFencing();
  mLastOrder = aOrder;
  mPhase = ActivationPhase::Ordering;
  return { ActionKind::SendOrder, 0, std::move(aOrder) };
}

uint64_t ActivationCore::lastFencing() const
{
  return (mEpoch.number << kOrderCountBits) + mOrderCount;
}

bool ActivationCore::mayOrder(base::TimePoint aNow) const
{
  return mEpoch.number >= mMinEpoch && mOrderCount < kMaxOrdersPerEpoch && aNow < mEpoch.validUntil;
}

void ActivationCore::scheduleRetry(base::TimePoint aNow)
{
  constexpr uint32_t kMaxShift = 16;
  auto delay = mOptions.orderRetryBase * (int64_t{ 1 } << std::min(mFailures, kMaxShift));
  mRetryAt = aNow + std::min<base::Milliseconds>(delay, mOptions.orderRetryCap);
  ++mFailures;
}

bool ActivationCore::isHeld(const control::ServedModel& aServed) const
{
  return mHeld.contains(aServed.manifest);
}

bool ActivationCore::isLoaded(const control::ServedModel& aWanted) const
{
  return mEngine && std::find(mEngine->loaded.begin(), mEngine->loaded.end(), aWanted) !=
                      mEngine->loaded.end();
}

bool ActivationCore::hasTakenEffect(const Order& aOrder) const
{
  switch (aOrder.kind) {
    case OrderKind::Load:
      return isLoaded(aOrder.modelVersion);
    case OrderKind::Unload:
      return !isLoaded(aOrder.modelVersion);
    case OrderKind::Role:
      return mEngine->role == aOrder.role;
  }
  return false;
}

std::vector<control::ServedModel> ActivationCore::versionsToLoad(const Target& aTarget) const
{
  std::vector<control::ServedModel> wanted{ aTarget.wanted };
  wanted.insert(wanted.end(), aTarget.adapters.begin(), aTarget.adapters.end());
  bool isComplete =
    std::all_of(wanted.begin(), wanted.end(), [&](const auto& aOne) { return isHeld(aOne); });
  // Loading into an empty engine takes nothing out of service, so it need not wait for the planner,
  // which may be cut off from the store.
  bool isEmpty = mEngine->loaded.empty();
  if (isComplete && (aTarget.allowed || isEmpty)) {
    return wanted;
  }
  if (isEmpty && !aTarget.fallback.model.empty() && isHeld(aTarget.fallback)) {
    return { aTarget.fallback };
  }
  return {};
}

std::optional<Order> ActivationCore::nextOrderFor(const Target& aTarget) const
{
  for (const control::ServedModel& wanted : versionsToLoad(aTarget)) {
    if (!isLoaded(wanted)) {
      return Order{ OrderKind::Load, wanted };
    }
    for (const control::ServedModel& loaded : mEngine->loaded) {
      if (loaded.model == wanted.model && loaded != wanted) {
        return Order{ OrderKind::Unload, loaded };
      }
    }
  }
  return std::nullopt;
}

std::optional<Order> ActivationCore::nextOrder() const
{
  if (!mEngine) {
    return std::nullopt;
  }
  for (const Target& target : mDesired.targets) {
    if (std::optional<Order> order = nextOrderFor(target)) {
      return order;
    }
  }
  if (!mDesired.targets.empty() && mEngine->role != mDesired.role) {
    return Order{ OrderKind::Role, {}, mDesired.role };
  }
  return std::nullopt;
}

bool ActivationCore::isServable(const control::ServedModel& aLoaded) const
{
  bool isDeclared =
    std::any_of(mDesired.targets.begin(), mDesired.targets.end(), [&](const Target& aTarget) {
      return includesModel(aTarget, aLoaded.model);
    });
  bool isContradicted =
    std::any_of(mDesired.manifests.begin(), mDesired.manifests.end(), [&](const auto& aKnown) {
      return aKnown.model == aLoaded.model && aKnown.version == aLoaded.version &&
             aKnown.manifest != aLoaded.manifest;
    });
  // Engines select by model name, so requests cannot distinguish two versions of one model.
  auto versions = std::count_if(mEngine->loaded.begin(), mEngine->loaded.end(), [&](auto& aOther) {
    return aOther.model == aLoaded.model;
  });
  return isDeclared && !isContradicted && versions == 1 && isHeld(aLoaded);
}

bool ActivationCore::admits(std::string_view aModel) const
{
  std::vector<control::ServedModel> all = served();
  return std::any_of(all.begin(), all.end(), [&](const control::ServedModel& aServed) {
    return aServed.model == aModel;
  });
}

std::vector<control::ServedModel> ActivationCore::served() const
{
  std::vector<control::ServedModel> result;
  if (!mEngine || mRefusing) {
    return result;
  }
  for (const control::ServedModel& loaded : mEngine->loaded) {
    if (isServable(loaded)) {
      result.push_back(loaded);
    }
  }
  return result;
}

std::vector<control::ServedModel> ActivationCore::loaded() const
{
  return mEngine ? mEngine->loaded : std::vector<control::ServedModel>{};
}

} // namespace boragepitch::rollout
