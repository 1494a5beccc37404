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

/** Parses with docopt. --help and --version exit with code 0, a usage error with code 2. */
std::map<std::string, docopt::value> parseArguments(const std::string& aUsage,
                                                    const std::vector<std::string>& aArguments);

/** Parsed command line of a daemon. */
struct CommandLine
{
  std::string settingsPath;
  bool checkOnly = false;
  bool printReference = false;
};

/**
 * Parses a daemon's command line; --help, --version and usage errors end the process.
 * @param aPathVariable environment variable with the path of the settings file, read when
 * --settings is absent; empty for none.
 */
CommandLine parseCommandLine(int aCount,
                             char** aArguments,
                             const std::string& aProgram,
                             const std::string& aPathVariable = "");

/**
 * Loads the settings file named by the command line and prints every error to standard error.
 * Returns nothing when the process should exit with code aExit (after --check, --print-settings or
 * errors).
 */
std::optional<settings::Settings> loadSettings(const CommandLine& aCommandLine,
                                               const settings::Schema& aSchema,
                                               int& aExit);

/**
 * Handles SIGTERM, SIGINT, SIGUSR1 and SIGHUP synchronously on one thread. Construct before any
 * other thread starts, so that all threads inherit the signal mask.
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
 * Exits the process without destroying static objects. Call last in main(), after every thread has
 * ended and every log line is written. On the users' platform, processes that returned from main()
 * did not exit until they were killed.
 */
[[noreturn]] void endProcess(ExitCode aCode);

/** Adds /metrics, /dump, /livez and /readyz to a control server. aDump and aReady must be
 * thread-safe. */
void addControlRoutes(net::HttpServer& aServer,
                      telemetry::Registry& aMetrics,
                      std::function<Json::Value()> aDump,
                      std::function<bool()> aReady);

/** Wall-clock time in milliseconds since 1970. Used only as an incarnation number. */
uint64_t wallClockMilliseconds();

} // namespace boragepitch::tools
