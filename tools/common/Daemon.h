#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <docopt/docopt.h>
#include <json/value.h>

#include "net/HttpServer.h"
#include "settings/Settings.h"
#include "telemetry/Metrics.h"

namespace boragepitch::tools {

inline constexpr const char* kVersion = "boragepitch 0.1.0";

/** Exit codes of the daemons. */
enum class ExitCode : int
{
  Success = 0,
  BadUsage = 2,
  BadSettings = 3,
  CannotStart = 4,
};

/** docopt with the project's exit codes: --help and --version end with 0, a usage error with 2. */
std::map<std::string, docopt::value> parseArguments(const std::string& aUsage,
                                                    const std::vector<std::string>& aArguments);

/** What the command line of a daemon asked for. */
struct CommandLine
{
  std::string settingsPath;
  bool checkOnly = false;
  bool printReference = false;
};

/**
 * Parses a daemon's command line; --help, --version and usage errors end the process.
 * @param aPathVariable environment variable with the path of the settings, used without --settings;
 * empty when there is none.
 */
CommandLine parseCommandLine(int aCount,
                             char** aArguments,
                             const std::string& aProgram,
                             const std::string& aPathVariable = "");

/**
 * Loads settings as the command line says. Prints every error to standard error. Empty when the
 * process should end with aExit (after --check, --print-settings or on errors).
 */
std::optional<settings::Settings> loadSettings(const CommandLine& aCommandLine,
                                               const settings::Schema& aSchema,
                                               int& aExit);

/**
 * SIGTERM, SIGINT, SIGUSR1 and SIGHUP as calls on one thread. Construct before any other thread
 * starts, so that all of them inherit the blocked signals.
 */
class SignalLoop
{
public:
  SignalLoop();
  /** Runs aOnDump for each SIGUSR1 and aOnReload for each SIGHUP; returns at the first SIGTERM or
   * SIGINT. Without aOnReload, SIGHUP is ignored. */
  void waitForTermination(const std::function<void()>& aOnDump,
                          const std::function<void()>& aOnReload = {});
};

/**
 * Ends the process without the destructors of static objects. Call last in main(), when every
 * thread has ended and every line is written: on the users' platform a process that ended in the
 * usual way stayed until it was killed.
 */
[[noreturn]] void endProcess(ExitCode aCode);

/** Adds /metrics, /dump, /livez and /readyz to a control server. The functions must be thread-safe.
 */
void addControlRoutes(net::HttpServer& aServer,
                      telemetry::Registry& aMetrics,
                      std::function<Json::Value()> aDump,
                      std::function<bool()> aReady);

/** Present wall-clock time in milliseconds since 1970; used to number incarnations only. */
uint64_t wallClockMilliseconds();

} // namespace boragepitch::tools
