#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragepitch::bpctl {

/** One structured log line of bp-router or bp-loader. */
struct LogLine
{
  /** Time stamp in seconds that a log collector put before the line; empty if there is none. */
  std::optional<double> collectorSeconds;
  int64_t steadyMs = 0; ///< Steady clock of the logging process; not comparable between processes.
  std::string node;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;
  std::string text; ///< The line without the collector's prefix.

  /** Returns "" when the field is missing. */
  std::string_view field(std::string_view aName) const;
  int64_t number(std::string_view aName, int64_t aDefault) const;
};

/** Returns nothing for text that is not a structured log line. */
std::optional<LogLine> parseLogLine(std::string_view aText);

/** Log lines of one request and the cause of its outcome. */
struct Explanation
{
  std::vector<LogLine> requestLines;     ///< Lines of the request, ordered by time.
  std::vector<LogLine> precedingChanges; ///< State changes of its process shortly before its end.
  std::string cause;
};

/**
 * Explains the outcome of a request from log lines.
 * @param aLines lines of one or more processes; each process's lines in the order written.
 * @return nothing when no line has the request's id.
 */
std::optional<Explanation> explainRequest(const std::vector<LogLine>& aLines, std::string_view aId);

} // namespace boragepitch::bpctl
