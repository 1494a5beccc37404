#include "Daemon.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "base/Json.h"

namespace boragepitch::tools {

std::map<std::string, docopt::value> parseArguments(const std::string& aUsage,
                                                    const std::vector<std::string>& aArguments)
{
  try {
    return docopt::docopt_parse(aUsage, aArguments, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << aUsage;
    std::exit(static_cast<int>(ExitCode::Success));
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << kVersion << "\n";
    std::exit(static_cast<int>(ExitCode::Success));
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << error.what() << "\n" << aUsage;
    std::exit(static_cast<int>(ExitCode::BadUsage));
  }
}

CommandLine parseCommandLine(int aCount,
                             char** aArguments,
                             const std::string& aProgram,
                             const std::string& aPathVariable)
{
  std::string usage = aProgram + R"(: a boragepitch daemon.

Usage:
  NAME --settings FILE [--check]
  NAME --print-settings
  NAME (-h | --help)
  NAME --version

Options:
  --settings FILE   INI file, see docs/settings.md.
  --check           Validate the settings and exit: 0 when valid, 3 when not.
  --print-settings  Print the settings reference as Markdown and exit.
  -h --help         Show this text.
  --version         Show the version.

Signals:
  SIGTERM, SIGINT   Graceful shutdown: refuse new work, finish work in flight, exit 0.
  SIGUSR1           Write the state dump to the log.
)";
  for (size_t position = 0; (position = usage.find("NAME", position)) != std::string::npos;) {
    usage.replace(position, 4, aProgram);
  }
  const char* path = aPathVariable.empty() ? nullptr : std::getenv(aPathVariable.c_str());
  std::vector<std::string> commandArguments(aArguments + 1, aArguments + aCount);
  bool hasSettingsOption =
    std::find(commandArguments.begin(), commandArguments.end(), "--settings") !=
    commandArguments.end();
  bool acceptsSettingsOption =
    commandArguments.empty() || commandArguments == std::vector<std::string>{ "--check" };
  if (path != nullptr && !hasSettingsOption && acceptsSettingsOption) {
    commandArguments.insert(commandArguments.begin(), { "--settings", path });
  }
  auto arguments = parseArguments(usage, commandArguments);
  CommandLine commandLine;
  commandLine.checkOnly = arguments["--check"].asBool();
  commandLine.printReference = arguments["--print-settings"].asBool();
  if (arguments["--settings"]) {
    commandLine.settingsPath = arguments["--settings"].asString();
  }
  return commandLine;
}

std::optional<settings::Settings> loadSettings(const CommandLine& aCommandLine,
                                               const settings::Schema& aSchema,
                                               int& aExit)
{
  aExit = static_cast<int>(ExitCode::Success);
  if (aCommandLine.printReference) {
    std::cout << aSchema.reference();
    return std::nullopt;
  }
  auto settings = aSchema.load(aCommandLine.settingsPath);
  if (!settings) {
    for (const base::Error& error : settings.error()) {
      std::cerr << error.describe() << "\n";
    }
    aExit = static_cast<int>(ExitCode::BadSettings);
    return std::nullopt;
  }
  if (aCommandLine.checkOnly) {
    std::cout << aCommandLine.settingsPath << ": settings are valid\n";
    return std::nullopt;
  }
  return *settings;
}

namespace {

sigset_t handledSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGUSR1);
  sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

SignalLoop::SignalLoop()
{
  sigset_t signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A write to a closed connection must fail with an error instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
}

void SignalLoop::waitForTermination(const std::function<void()>& aOnDump,
                                    const std::function<void()>& aOnReload)
{
  sigset_t signals = handledSignals();
  for (;;) {
    int signal = 0;
    if (sigwait(&signals, &signal) != 0) {
      continue;
    }
    if (signal == SIGUSR1) {
      aOnDump();
    } else if (signal != SIGHUP) {
      return;
    } else if (aOnReload) {
      aOnReload();
    }
  }
}

void endProcess(ExitCode aCode)
{
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(static_cast<int>(aCode));
}

void addControlRoutes(net::HttpServer& aServer,
                      telemetry::Registry& aMetrics,
                      std::function<Json::Value()> aDump,
                      std::function<bool()> aReady)
{
  aServer.route("GET", "/metrics", [&aMetrics](const net::HttpRequest&) {
    net::HttpResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = aMetrics.exposition();
    return response;
  });
  aServer.route("GET", "/dump", [dump = std::move(aDump)](const net::HttpRequest&) {
    net::HttpResponse response;
    response.body = base::writeJson(dump());
    return response;
  });
  aServer.route("GET", "/livez", [](const net::HttpRequest&) {
    net::HttpResponse response;
    response.body = R"({"live":true})";
    return response;
  });
  aServer.route("GET", "/readyz", [ready = std::move(aReady)](const net::HttpRequest&) {
    net::HttpResponse response;
    bool isReady = ready();
    response.status = isReady ? 200 : 503;
    response.body = isReady ? R"({"ready":true})" : R"({"ready":false})";
    return response;
  });
}

uint64_t wallClockMilliseconds()
{
  auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace boragepitch::tools
