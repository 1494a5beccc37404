#include "RunNode.h"

#include <iostream>

#include <unistd.h>

#include "Daemon.h"
#include "platform/PlatformHeaderCodec.h"
#include "telemetry/FatalSignals.h"

namespace boragepitch::tools {

namespace {
/** Time for the reader of the log to take the last lines; they say what the end broke off. */
constexpr base::Milliseconds kLastFlushTime{ 100 };
} // namespace

int runNode(int aCount,
            char** aArguments,
            const std::string& aProgram,
            const settings::Schema& aSchema,
            const MakeNode& aMake)
{
  // First of all: a signal that comes before would end the process.
  SignalLoop signals;
  CommandLine commandLine =
    parseCommandLine(aCount, aArguments, aProgram, platform::kSettingsVariable);
  int exitCode = 0;
  auto settings = loadSettings(commandLine, aSchema, exitCode);
  if (!settings) {
    return exitCode;
  }
  telemetry::logFatalSignals(STDOUT_FILENO, "node=" + settings->text("node.id"));
  auto process = aMake(*settings);
  if (auto started = process->start(); !started) {
    std::cerr << started.error().describe() << "\n";
    return static_cast<int>(ExitCode::CannotStart);
  }
  auto log = [&](std::string_view aEvent, std::initializer_list<telemetry::Field> aFields) {
    process->log().write(
      telemetry::EventClass::Critical, aEvent, aFields, std::chrono::steady_clock::now());
  };
  log("started", {});
  signals.waitForTermination(
    [] {},
    [&] {
      // All settings are fixed per deployment (addresses, locations, limits): only a restart
      // applies a change.
      bool valid = aSchema.load(commandLine.settingsPath).has_value();
      log("reload", { { "settings", valid ? "valid" : "invalid" }, { "applied", "none" } });
    });
  auto signalledAt = std::chrono::steady_clock::now();
  log("signal", { { "signal", "terminate" } });
  process->leave(signalledAt);
  log("stopped", {});
  process->log().flushAll(std::chrono::steady_clock::now(), kLastFlushTime);
  endProcess(ExitCode::Success);
}

} // namespace boragepitch::tools
