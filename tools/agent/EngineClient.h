#pragma once

#include "base/Error.h"
#include "net/HttpClient.h"
#include "rollout/ActivationCore.h"

namespace boragepitch::tools {

/** The engine's state with the limits that it reports. */
struct ReportedEngine
{
  rollout::EngineState state;
  int coldLimit = 1;
  int warmLimit = 1;
};

/** Reads the state of the model engine beside this agent and gives it orders. Used by one thread.
 */
class EngineClient
{
public:
  explicit EngineClient(net::Address aEngine);

  base::Result<ReportedEngine> readState();
  /** Conflict when the engine refuses the fencing number. */
  base::Status send(const rollout::Order& aOrder);

private:
  net::HttpClient mClient;
};

} // namespace boragepitch::tools
