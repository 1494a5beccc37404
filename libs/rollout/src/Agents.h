#pragma once

#include <string_view>

#include "control/NodeState.h"
#include "rollout/Status.h"

namespace boragepitch::rollout {

/** True if requests can reach the endpoint of this agent: it is alive and ready. */
inline bool isReady(const control::NodeEntry* aAgent)
{
  return aAgent != nullptr && aAgent->liveness == control::Liveness::Alive &&
         aAgent->state.phase == control::Phase::Ready;
}

/** The version of a model that the agent serves; null if none. */
inline const control::ServedModel* servedOf(const control::NodeEntry& aAgent,
                                            std::string_view aModel)
{
  for (const control::ServedModel& served : aAgent.state.serving) {
    if (served.model == aModel) {
      return &served;
    }
  }
  return nullptr;
}

} // namespace boragepitch::rollout
