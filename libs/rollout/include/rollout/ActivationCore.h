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

/** What the engine reports of itself. */
struct EngineState
{
  std::string instance; ///< Changes with each start of the engine.
  bool cold = true;
  std::vector<control::Served> loaded;
  uint64_t fencing = 0; ///< Highest number it has accepted.
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
  control::Served what; ///< Empty for Role.
  resources::Role role = resources::Role::General;
  uint64_t fencing = 0;
};

/**
 * The right to order one endpoint. Order fencing numbers are epoch * 2^20 + a count of orders, so
 * that an order which arrives late is older than every later order of the same agent too.
 */
struct Epoch
{
  uint64_t number = 0;
  base::TimePoint validUntil{}; ///< No order is sent at or after this time.
};

enum class ActionKind
{
  None,
  TakeEpoch,  ///< Take an epoch greater than minEpoch and report it with onEpoch().
  ReadEngine, ///< Read the engine's state and report it with onEngineState().
  SendOrder,  ///< Send `order` and report with onOrderAnswered().
};

struct Action
{
  ActionKind kind = ActionKind::None;
  uint64_t minEpoch = 0;
  Order order;
};

enum class ActivationPhase
{
  Unknown,   ///< The engine's state was not read yet.
  Steady,    ///< Nothing to switch; what is verified is served.
  Draining,  ///< New work is refused until requests in flight have ended.
  Ordering,  ///< An order is under way.
  Verifying, ///< Waiting for the state read back after an order.
};

std::string_view toString(ActivationPhase aPhase);

struct ActivationOptions
{
  base::Milliseconds readInterval{ 1000 };    ///< Period of reading the engine's state.
  base::Milliseconds orderRetryBase{ 500 };   ///< First delay after a failed order; doubles.
  base::Milliseconds orderRetryCap{ 10'000 }; ///< Longest delay after a failed order.
  base::Milliseconds epochRetry{ 500 };       ///< Between attempts to take an epoch.
};

/**
 * Order state of one endpoint: allowed, drain, order with fencing, verify, serve. No I/O; the agent
 * calls step() whenever something changed and at least every 100 ms. Not thread-safe.
 */
class ActivationCore
{
public:
  explicit ActivationCore(ActivationOptions aOptions = {});

  void onDesired(DesiredState aDesired);
  /** Manifests that are whole on this VM and whose digests were checked. */
  void onHeld(std::set<std::string> aHeld);
  void onEpoch(const Epoch& aEpoch);
  /** A state that was read after aStarted; states whose read began before an order are ignored for
   * verification. */
  void onEngineState(const EngineState& aState, base::TimePoint aStarted);
  /** The engine does not answer; it is not served until it is read again. */
  void onEngineUnreachable();
  /** The order's answer, also when it failed; the state is read back in any case. */
  void onOrderAnswered(const base::Status& aStatus, base::TimePoint aNow);

  /** What to do next. At most one order is under way. */
  Action step(base::TimePoint aNow, uint64_t aRequestsInFlight);

  /** True when new work for this model may start: its manifest is verified and nothing drains. */
  bool admits(std::string_view aModel) const;
  /** What is served and verified, for the node record and for checking responses. */
  std::vector<control::Served> served() const;
  ActivationPhase phase() const { return mPhase; }
  /** True while the engine's warm limit must not be used. */
  bool cold() const { return !mEngine || mEngine->cold; }
  /** What the engine reported last, verified or not; empty when it was not read. */
  std::vector<control::Served> loaded() const;
  const std::string& instance() const { return mInstance; }

private:
  std::optional<Order> nextOrder() const;
  std::optional<Order> nextOrderFor(const Target& aTarget) const;
  std::vector<control::Served> goalOf(const Target& aTarget) const;
  bool isHeld(const control::Served& aServed) const;
  bool isLoaded(const control::Served& aWanted) const;
  bool isServable(const control::Served& aLoaded) const;
  bool hasTakenEffect(const Order& aOrder) const;
  bool mayOrder(base::TimePoint aNow) const;
  bool drains(const Order& aOrder) const { return aOrder.kind != OrderKind::Role; }
  uint64_t lastFencing() const;
  void noteFailure(base::TimePoint aNow);
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
  bool mRefusing = false; ///< New work is refused: from draining until the state is read back.
  base::TimePoint mRetryAt{};
  base::TimePoint mReadAt{};
  base::TimePoint mEpochAskedAt{};
  base::TimePoint mOrderEnded{};
};

} // namespace boragepitch::rollout
