#include "common/Program.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <thread>

#include <docopt/docopt.h>

#include "base/Json.h"

namespace boragepitch::standin {

CommandLine::CommandLine(const std::string& aUsage, int aArgc, char** aArgv)
{
  std::vector<std::string> arguments(aArgv + 1, aArgv + aArgc);
  for (const auto& [name, value] : docopt::docopt(aUsage, arguments, true)) {
    if (value.isStringList()) {
      mValues[name] = value.asStringList();
    } else if (value.isString()) {
      mValues[name] = { value.asString() };
    } else if (value.isBool() && value.asBool()) {
      mValues[name] = { "true" };
    }
  }
}

bool CommandLine::given(const std::string& aOption) const
{
  return mValues.contains(aOption);
}

std::string CommandLine::text(const std::string& aOption) const
{
  auto found = mValues.find(aOption);
  if (found == mValues.end() || found->second.empty()) {
    exitWithError(aOption + " is missing");
  }
  return found->second.front();
}

double CommandLine::number(const std::string& aOption) const
{
  std::string value = text(aOption);
  char* end = nullptr;
  double number = std::strtod(value.c_str(), &end);
  if (end == value.c_str() || *end != '\0' || number < 0) {
    exitWithError(aOption + ": \"" + value + "\" is not a number of 0 or more");
  }
  return number;
}

bool CommandLine::flag(const std::string& aOption) const
{
  return given(aOption);
}

std::vector<std::string> CommandLine::list(const std::string& aOption) const
{
  auto found = mValues.find(aOption);
  return found == mValues.end() ? std::vector<std::string>{} : found->second;
}

net::Address CommandLine::address(const std::string& aOption) const
{
  auto address = net::parseAddress(text(aOption));
  if (!address) {
    exitWithError(aOption + ": " + address.error().describe());
  }
  return *address;
}

std::vector<net::Address> CommandLine::addresses(const std::string& aOption) const
{
  std::vector<net::Address> addresses;
  for (const std::string& value : list(aOption)) {
    auto address = net::parseAddress(value);
    if (!address) {
      exitWithError(aOption + ": " + address.error().describe());
    }
    addresses.push_back(*address);
  }
  return addresses;
}

void exitWithError(const std::string& aMessage)
{
  std::cerr << aMessage << '\n';
  std::exit(2);
}

namespace {

sigset_t endSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

void prepareSignals()
{
  sigset_t signals = endSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void runUntilSignal()
{
  std::cout << "ready" << std::endl;
  sigset_t signals = endSignals();
  int signal = 0;
  sigwait(&signals, &signal);
  // Exits without draining: no state is kept, and idle connections would delay the exit.
  std::_Exit(0);
}

void startOrExit(net::HttpServer& aServer)
{
  if (auto started = aServer.start(); !started) {
    exitWithError(started.error().describe());
  }
}

net::HttpResponse jsonResponse(const Json::Value& aValue, int aStatus)
{
  net::HttpResponse response;
  response.status = aStatus;
  response.body = base::writeJson(aValue);
  return response;
}

net::HttpResponse errorResponse(int aStatus,
                                const std::string& aKind,
                                const std::string& aMessage,
                                int64_t aRetryAfterMs)
{
  Json::Value body;
  body["error"]["kind"] = aKind;
  body["error"]["message"] = aMessage;
  body["ran"] = "no";
  net::HttpResponse response;
  if (aRetryAfterMs > 0) {
    body["retryAfterMs"] = Json::Int64(aRetryAfterMs);
    response.headers.emplace_back("Retry-After", std::to_string((aRetryAfterMs + 999) / 1000));
  }
  response.headers.emplace_back("X-Ran", "no");
  response.status = aStatus;
  response.body = base::writeJson(body);
  return response;
}

net::HttpResponse lostResponse()
{
  net::HttpResponse response;
  response.stream = [](net::StreamWriter&) { return net::StreamEnd::Abort; };
  return response;
}

void CommonFaults::apply(const Json::Value& aFault)
{
  if (aFault.isMember("outageMs")) {
    mOutageUntilMs = nowMs() + base::intOr(aFault, "outageMs", 0);
  }
  if (aFault.isMember("delayMs")) {
    mDelayMs = base::intOr(aFault, "delayMs", 0);
  }
  if (aFault.isMember("loseAnswers")) {
    mLoseAnswers = base::intOr(aFault, "loseAnswers", 0);
  }
}

bool CommonFaults::inOutage() const
{
  return nowMs() < mOutageUntilMs;
}

void CommonFaults::delay() const
{
  if (int64_t delay = mDelayMs; delay > 0) {
    std::this_thread::sleep_for(base::Milliseconds(delay));
  }
}

bool CommonFaults::takeLostAnswer()
{
  int64_t left = mLoseAnswers;
  while (left > 0 && !mLoseAnswers.compare_exchange_weak(left, left - 1)) {
  }
  return left > 0;
}

int64_t nowMs()
{
  return base::toMilliseconds(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace boragepitch::standin
