#pragma once

#include <memory>

#include "base/Time.h"
#include "control/NodeState.h"
#include "resources/Snapshot.h"

namespace boragepitch::control {

/**
 * This process's view of the fleet. Thread-safe. Reads take no lock; a returned object is immutable
 * and stays valid as long as the pointer is held.
 */
class FleetView
{
public:
  virtual ~FleetView() = default;
  /** Never null; at revision 0 until a configuration is known. */
  virtual std::shared_ptr<const resources::Snapshot> config() const = 0;
  /** Never null; includes this process. */
  virtual std::shared_ptr<const NodeTable> nodes() const = 0;
  /** False if the last evidence of contact with the fleet is older than the isolation limit
   * (docs/design.md, section 6.4), or if no configuration is known. */
  virtual bool mayStartNewWork(base::TimePoint aNow) const = 0;
  /** Replaces this process's record; assigns its incarnation and sequence. */
  virtual void publish(NodeState aSelf) = 0;
};

} // namespace boragepitch::control
