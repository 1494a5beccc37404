#include "telemetry/Log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace boragepitch::telemetry {

namespace {

log4cplus::LogLevel toLogLevel(Level aLevel)
{
  switch (aLevel) {
    case Level::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Level::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case Level::Warn:
      return log4cplus::WARN_LOG_LEVEL;
    case Level::Error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

void ensureInitialized()
{
  static log4cplus::Initializer sInitializer;
}

log4cplus::Logger& logger()
{
  static log4cplus::Logger sLogger = [] {
    ensureInitialized();
    return log4cplus::Logger::getInstance("boragepitch");
  }();
  return sLogger;
}

std::string quoteIfNeeded(const std::string& aValue)
{
  bool plain = !aValue.empty();
  for (char c : aValue) {
    if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\\') {
      plain = false;
    }
  }
  if (plain) {
    return aValue;
  }
  std::string text = "\"";
  for (char c : aValue) {
    if (c == '"' || c == '\\') {
      text += '\\';
      text += c;
    } else if (static_cast<unsigned char>(c) < ' ') {
      text += ' ';
    } else {
      text += c;
    }
  }
  return text + "\"";
}

} // namespace

void startLogging(std::string_view aProgram, std::string_view aNode, Level aThreshold)
{
  ensureInitialized();
  // Logs to stderr and flushes every line: a VM has no persistent storage, so buffered lines would
  // be lost with the process.
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
  std::string pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p program=" + std::string(aProgram) +
                        " node=" + std::string(aNode) + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(toLogLevel(aThreshold));
}

std::string formatEvent(std::string_view aEvent, std::initializer_list<Field> aFields)
{
  std::string line = "event=" + quoteIfNeeded(std::string(aEvent));
  for (const auto& [key, value] : aFields) {
    line += " " + std::string(key) + "=" + quoteIfNeeded(value);
  }
  return line;
}

void logEvent(Level aLevel, std::string_view aEvent, std::initializer_list<Field> aFields)
{
  log4cplus::LogLevel level = toLogLevel(aLevel);
  if (logger().isEnabledFor(level)) {
    logger().log(level, formatEvent(aEvent, aFields));
  }
}

} // namespace boragepitch::telemetry
