#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/Error.h"
#include "settings/Settings.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/** A program on the users' platform, with start and graceful shutdown. */
class NodeProcess
{
public:
  virtual ~NodeProcess() = default;
  virtual base::Status start() = 0;
  /** Finishes requests in flight and stops all threads.
   * @param aSignalledAt when the signal to stop was taken. */
  virtual void leave(base::TimePoint aSignalledAt) = 0;
  virtual telemetry::EventLog& log() = 0;
};

/** Creates the process; the settings outlive it. */
using MakeNode = std::function<std::unique_ptr<NodeProcess>(const settings::Settings& aSettings)>;

/** The main() of a program: handles command line, settings and signals. Returns an exit code only
 * if the program could not start; otherwise it ends the process. */
int runNode(int aCount,
            char** aArguments,
            const std::string& aProgram,
            const settings::Schema& aSchema,
            const MakeNode& aMake);

} // namespace boragepitch::tools
