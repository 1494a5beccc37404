#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/Error.h"
#include "settings/Settings.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/** A program on the users' platform, from its start to its graceful stop. */
class NodeProcess
{
public:
  virtual ~NodeProcess() = default;
  virtual base::Status start() = 0;
  /** Finishes what is in flight and stops every thread. */
  virtual void leave() = 0;
  virtual telemetry::EventLog& log() = 0;
};

/** The settings outlive the process. */
using MakeNode = std::function<std::unique_ptr<NodeProcess>(const settings::Settings& aSettings)>;

/** The main() of a program: command line, settings, signals. Returns the exit code of a program
 * that could not start, and otherwise ends the process. */
int runNode(int aCount,
            char** aArguments,
            const std::string& aProgram,
            const settings::Schema& aSchema,
            const MakeNode& aMake);

} // namespace boragepitch::tools
