#pragma once

#include "base/Error.h"
#include "net/HttpClient.h"
#include "rollout/ActivationCore.h"

namespace boragepitch::tools {

/** State and concurrency limits as reported by the engine. */
struct ReportedEngine
{
  rollout::EngineState state;
  int coldLimit = 1;
  int warmLimit = 1;
};

/** Reads the state of this agent's model engine and sends orders to it. Not thread-safe. */
class EngineClient
{
public:
  explicit EngineClient(net::Address aEngine);

  base::Result<ReportedEngine> readState();
  /** Returns Conflict when the engine rejects the fencing number. */
  base::Status send(const rollout::Order& aOrder);

private:
  net::HttpClient mClient;
};

} // namespace boragepitch::tools
