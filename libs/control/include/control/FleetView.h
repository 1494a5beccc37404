#pragma once

#include <memory>

#include "base/Time.h"
#include "control/NodeState.h"
#include "resources/Snapshot.h"

namespace boragepitch::control {

/**
 * What a process knows of the fleet. Safe from any thread. Reads take no lock; a returned pointer
 * stays valid and unchanged for as long as it is held.
 */
class FleetView
{
public:
  virtual ~FleetView() = default;
  /** Never null; revision 0 when nothing is known yet. */
  virtual std::shared_ptr<const resources::Snapshot> config() const = 0;
  /** Never null; includes this process. */
  virtual std::shared_ptr<const NodeTable> nodes() const = 0;
  /** False when evidence of contact is older than the isolation limit (docs/design.md,
   * section 6.4). */
  virtual bool mayStartNewWork(base::TimePoint aNow) const = 0;
  /** Replaces this process's record; incarnation and sequence are filled in. */
  virtual void publish(NodeState aSelf) = 0;
};

} // namespace boragepitch::control
