#include "RunDaemon.h"

#include <iostream>

#include <unistd.h>

#include "Daemon.h"
#include "SharedSettings.h"
#include "base/Json.h"
#include "telemetry/FatalSignals.h"
#include "telemetry/Log.h"

namespace boragepitch::tools {

namespace {

int runUntilTermination(const settings::Settings& aSettings,
                        const std::string& aProgram,
                        const DaemonFactory& aFactory,
                        SignalLoop& aSignals)
{
  startLogging(aSettings, aProgram);
  telemetry::logFatalSignals(STDERR_FILENO,
                             "program=" + aProgram + " node=" + aSettings.text("node.id"));
  auto authenticator = makeAuthenticator(aSettings);
  if (!authenticator) {
    std::cerr << authenticator.error().describe() << "\n";
    return static_cast<int>(ExitCode::BadSettings);
  }
  std::unique_ptr<DaemonProcess> daemon = aFactory(aSettings, std::move(*authenticator));
  if (auto started = daemon->start(); !started) {
    telemetry::logEvent(
      telemetry::Level::Error, "cannot_start", { { "error", started.error().describe() } });
    return static_cast<int>(ExitCode::CannotStart);
  }
  telemetry::logEvent(telemetry::Level::Info, "started");
  aSignals.waitForTermination([&] {
    telemetry::logEvent(
      telemetry::Level::Info, "dump", { { "state", base::writeJson(daemon->dump()) } });
  });
  telemetry::logEvent(telemetry::Level::Info, "leaving");
  daemon->leave();
  telemetry::logEvent(telemetry::Level::Info, "stopped");
  return static_cast<int>(ExitCode::Success);
}

} // namespace

int runDaemon(int aCount,
              char** aArguments,
              const std::string& aProgram,
              const settings::Schema& aSchema,
              const DaemonFactory& aFactory)
{
  // First of all: a signal that comes before would end the process.
  SignalLoop signals;
  CommandLine commandLine = parseCommandLine(aCount, aArguments, aProgram);
  int exitCode = 0;
  auto settings = loadSettings(commandLine, aSchema, exitCode);
  return settings ? runUntilTermination(*settings, aProgram, aFactory, signals) : exitCode;
}

} // namespace boragepitch::tools
