#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace boragepitch::telemetry {

enum class Level
{
  Debug,
  Info,
  Warn,
  Error,
};

/** Starts logging to standard error. Every line carries aProgram and aNode. Call once in main(). */
void startLogging(std::string_view aProgram,
                  std::string_view aNode,
                  Level aThreshold = Level::Info);

using Field = std::pair<std::string_view, std::string>;

/**
 * Writes one line "event=<aEvent> key=value ...". Use it for state changes only and metrics for
 * everything else. Values with spaces, quotes or control characters are quoted and escaped.
 */
void logEvent(Level aLevel, std::string_view aEvent, std::initializer_list<Field> aFields = {});

/** The line that logEvent() writes, without time and level. */
std::string formatEvent(std::string_view aEvent, std::initializer_list<Field> aFields);

} // namespace boragepitch::telemetry
