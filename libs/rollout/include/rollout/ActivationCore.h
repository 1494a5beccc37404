#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"
#include "control/NodeState.h"
#include "rollout/DesiredState.h"

namespace boragepitch::rollout {

/** State reported by the engine. */
struct EngineState
{
  std::string instance; ///< Boot id; changes with each engine start.
  bool cold = true;
  std::vector<control::ServedModel> loaded;
  uint64_t fencing = 0; ///< Highest fencing number that it has accepted.
  resources::Role role = resources::Role::General;
};

enum class OrderKind
{
  Load,
  Unload,
  Role,
};

struct Order
{
  OrderKind kind = OrderKind::Load;
  control::ServedModel modelVersion; ///< Empty for Role.
  resources::Role role = resources::Role::General;
  uint64_t fencing = 0;
};

/**
 * Lease to send orders to one endpoint's engine. The fencing number of an order is epoch * 2^20
 * plus a counter of orders, so a delayed order also loses against later orders of the same agent.
 */
struct Epoch
{
  uint64_t number = 0;
  base::TimePoint validUntil{}; ///< No order is sent at or after this time.
};

enum class ActionKind
{
  None,
  TakeEpoch,  ///< Obtain an epoch greater than minEpoch and report it with onEpoch().
  ReadEngine, ///< Read the engine's state and report it with onEngineState().
  SendOrder,  ///< Send `order` and report the answer with onOrderAnswered().
};

struct Action
{
  ActionKind kind = ActionKind::None;
  uint64_t minEpoch = 0;
  Order order;
};

enum class ActivationPhase
{
  Unknown,   ///< The engine's state is not known.
  Steady,    ///< No order in progress; verified models are served.
  Draining,  ///< Refuses new work until requests in flight have ended.
  Ordering,  ///< An order was sent and is not answered yet.
  Verifying, ///< Waiting to read the engine state back after an order.
};

std::string_view toString(ActivationPhase aPhase);

struct ActivationOptions
{
  base::Milliseconds readInterval{ 1000 };      ///< Interval between reads of the engine state.
  base::Milliseconds orderRetryBase{ 500 };     ///< Initial backoff after a failed order; doubles.
  base::Milliseconds orderRetryCap{ 10'000 };   ///< Maximum backoff after a failed order.
  base::Milliseconds epochRetryInterval{ 500 }; ///< Interval between attempts to obtain an epoch.
};

/**
 * State machine that switches the models of one endpoint: wait for permission, drain, send an order
 * with a fencing number, verify, serve. No I/O; the agent calls step() on every change and at least
 * every 100 ms. Not thread-safe.
 */
class ActivationCore
{
public:
  explicit ActivationCore(ActivationOptions aOptions = {});

  void onDesired(DesiredState aDesired);
  /** Sets the manifests that are complete on this VM with verified digests. */
  void onHeld(std::set<std::string> aHeld);
  void onEpoch(const Epoch& aEpoch);
  /** Reports a state whose read began at aStarted. While an order is being verified, states whose
   * read began before its answer are ignored. */
  void onEngineState(const EngineState& aState, base::TimePoint aStarted);
  /** The engine does not answer; nothing is served until its state is read again. */
  void onEngineUnreachable();
  /** Reports the answer to the order, also a failure; the state is read back in any case. */
  void onOrderAnswered(const base::Status& aStatus, base::TimePoint aNow);

  /** Returns the next action. At most one order is in flight. */
  Action step(base::TimePoint aNow, uint64_t aRequestsInFlight);

  /** True if new work for this model may start: its manifest is verified and the
   * endpoint is not draining. */
  bool admits(std::string_view aModel) const;
  /** Verified models being served, for the node record and for checking responses. */
  std::vector<control::ServedModel> served() const;
  ActivationPhase phase() const { return mPhase; }
  /** True while the cold limit applies: the engine is cold or its state is unknown. */
  bool cold() const { return !mEngine || mEngine->cold; }
  /** Models last reported by the engine, verified or not; empty if its state is unknown. */
  std::vector<control::ServedModel> loaded() const;
  const std::string& instance() const { return mInstance; }

private:
  std::optional<Order> nextOrder() const;
  std::optional<Order> nextOrderFor(const Target& aTarget) const;
  std::vector<control::ServedModel> versionsToLoad(const Target& aTarget) const;
  bool isHeld(const control::ServedModel& aServed) const;
  bool isLoaded(const control::ServedModel& aWanted) const;
  bool isServable(const control::ServedModel& aLoaded) const;
  bool hasTakenEffect(const Order& aOrder) const;
  bool mayOrder(base::TimePoint aNow) const;
  bool needsDrain(const Order& aOrder) const { return aOrder.kind != OrderKind::Role; }
  uint64_t lastFencing() const;
  void scheduleRetry(base::TimePoint aNow);
  Action readEngine(base::TimePoint aNow);
  Action takeEpoch(base::TimePoint aNow);
  Action send(Order aOrder);

  ActivationOptions mOptions;
  ActivationPhase mPhase = ActivationPhase::Unknown;
  DesiredState mDesired;
  std::set<std::string> mHeld;
  std::optional<EngineState> mEngine;
  std::string mInstance;
  Epoch mEpoch;
  uint64_t mOrderCount = 0;
  uint64_t mMinEpoch = 1;
  Order mLastOrder;
  uint32_t mFailures = 0;
  bool mRefusing = false; ///< Refuses new work, from draining until the state is read back.
  base::TimePoint mRetryAt{};
  base::TimePoint mLastReadAt{};
  base::TimePoint mEpochRequestedAt{};
  base::TimePoint mOrderAnsweredAt{};
};

} // namespace boragepitch::rollout
