#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragepitch::bpctl {

/** One structured line of bp-router or bp-loader. */
struct LogLine
{
  /** Seconds of the collector's time stamp before the line; empty where there is none. */
  std::optional<double> stamp;
  int64_t steadyMs = 0; ///< Steady clock of the process that wrote it; comparable within it only.
  std::string node;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;
  std::string text; ///< From its first field on.

  /** "" when the line has no such field. */
  std::string_view field(std::string_view aName) const;
  int64_t number(std::string_view aName, int64_t aDefault) const;
};

/** Empty for text that is no structured line. */
std::optional<LogLine> parseLogLine(std::string_view aText);

/** What the logs say of one request. */
struct Explanation
{
  std::vector<LogLine> request; ///< Its own lines, in the order of time.
  std::vector<LogLine> context; ///< Changes just before its end that bear on it.
  std::string cause;
};

/**
 * Follows a request through the logs of all processes.
 * @param aLines of one or more processes; those of one process in the order in which it wrote them.
 * @return empty when no line names the request.
 */
std::optional<Explanation> explainRequest(const std::vector<LogLine>& aLines, std::string_view aId);

} // namespace boragepitch::bpctl
