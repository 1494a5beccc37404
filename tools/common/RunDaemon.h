#pragma once

#include <functional>
#include <memory>
#include <string>

#include <json/value.h>

#include "base/Error.h"
#include "control/Auth.h"
#include "settings/Settings.h"

namespace boragepitch::tools {

/** Interface of a daemon process, from start to graceful shutdown. */
class DaemonProcess
{
public:
  virtual ~DaemonProcess() = default;
  virtual base::Status start() = 0;
  /** Shuts down gracefully: refuses new work, finishes work in flight, and stops every thread. */
  virtual void leave() = 0;
  /** Thread-safe after start(). */
  virtual Json::Value dump() const = 0;
};

/** Creates a daemon. aSettings must outlive it. */
using DaemonFactory =
  std::function<std::unique_ptr<DaemonProcess>(const settings::Settings& aSettings,
                                               std::unique_ptr<control::HmacAuthenticator>)>;

/** Common main() of the daemons: command line, settings, logging, signals. Returns the exit code.
 */
int runDaemon(int aCount,
              char** aArguments,
              const std::string& aProgram,
              const settings::Schema& aSchema,
              const DaemonFactory& aFactory);

} // namespace boragepitch::tools
