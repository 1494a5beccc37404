#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/Time.h"
#include "net/HttpServer.h"

namespace boragepitch::standin {

/** Values of a docopt command line; an invalid value exits with a message. */
class CommandLine
{
public:
  /** Parses argv by the usage text; prints help or usage and exits when it does not match. */
  CommandLine(const std::string& aUsage, int aArgc, char** aArgv);

  bool given(const std::string& aOption) const;
  std::string text(const std::string& aOption) const;
  double number(const std::string& aOption) const;
  bool flag(const std::string& aOption) const;
  std::vector<std::string> list(const std::string& aOption) const;
  net::Address address(const std::string& aOption) const;
  std::vector<net::Address> addresses(const std::string& aOption) const;

private:
  std::map<std::string, std::vector<std::string>> mValues;
};

/** Prints a message on standard error and exits with status 2. */
[[noreturn]] void exitWithError(const std::string& aMessage);

/** Blocks SIGTERM and SIGINT in every thread started later, and ignores SIGPIPE. Call first in
 * main(). */
void prepareSignals();
/** Prints "ready" on standard output and waits for SIGTERM or SIGINT. */
void runUntilSignal();
/** Starts the server or exits with a message. */
void startOrExit(net::HttpServer& aServer);

net::HttpResponse jsonResponse(const Json::Value& aValue, int aStatus = 200);
/** JSON error; an error response of a stand-in always means that the request was not run. */
net::HttpResponse errorResponse(int aStatus,
                                const std::string& aKind,
                                const std::string& aMessage,
                                int64_t aRetryAfterMs = 0);
/** Breaks the connection after the response's head, so that the client sees a lost response. */
net::HttpResponse lostResponse();

/** Faults that several stand-ins share. Thread-safe. */
class CommonFaults
{
public:
  /** Takes outageMs, delayMs and loseAnswers from the body of POST /fault. */
  void apply(const Json::Value& aFault);
  bool inOutage() const;
  /** Sleeps for the configured delay. */
  void delay() const;
  /** Whether to lose this response; true for as many responses as loseAnswers gives. */
  bool takeLostAnswer();

private:
  std::atomic<int64_t> mOutageUntilMs{ 0 };
  std::atomic<int64_t> mDelayMs{ 0 };
  std::atomic<int64_t> mLoseAnswers{ 0 };
};

/** Milliseconds on the monotonic clock. */
int64_t nowMs();

} // namespace boragepitch::standin
