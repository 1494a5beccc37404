#include <fstream>

#include "Commands.h"
#include "Explain.h"

namespace boragepitch::bpctl {

namespace {

void print(const std::vector<LogLine>& aLines, std::ostream& aOut)
{
  for (const LogLine& line : aLines) {
    aOut << "  ";
    if (line.collectorSeconds) {
      aOut << *line.collectorSeconds << " ";
    }
    aOut << line.text << "\n";
  }
}

} // namespace

ExitCode explain(const std::string& aRequestId,
                 const std::vector<std::string>& aLogs,
                 Streams aStreams)
{
  std::vector<LogLine> lines;
  for (const std::string& path : aLogs) {
    std::ifstream file(path);
    if (!file) {
      aStreams.err << "bpctl: " << path << " cannot be read\n";
      return ExitCode::Invalid;
    }
    for (std::string text; std::getline(file, text);) {
      if (auto line = parseLogLine(text)) {
        lines.push_back(std::move(*line));
      }
    }
  }
  auto explanation = explainRequest(lines, aRequestId);
  if (!explanation) {
    aStreams.err
      << "bpctl: no log line for request " << aRequestId
      << "; lines of served requests are dropped first under load, see log_dropped events\n";
    return ExitCode::NotFound;
  }
  aStreams.out << "request:\n";
  print(explanation->requestLines, aStreams.out);
  aStreams.out << "changes before its end:\n";
  print(explanation->precedingChanges, aStreams.out);
  aStreams.out << "cause: " << explanation->cause << "\n";
  return ExitCode::Done;
}

} // namespace boragepitch::bpctl
