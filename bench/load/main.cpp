#include <iostream>

#include "base/Json.h"
#include "common/Program.h"
#include "common/TokenFunction.h"
#include "load/LoadRun.h"

using namespace boragepitch;
using namespace boragepitch::load;

namespace {

const char kUsage[] =
  R"(bp-load: open-loop load of streamed model requests, with every token checked.

Arrivals are a Poisson process fixed by the seed. The last line of the output is one JSON object.
"token" prints one token of the stand-in engine.

Usage:
  bp-load --model NAME --entry ADDRESS... [options]
          [--expect VERSION=SHA256]... [--workspace SPEC]...
  bp-load token <sha256> <prompt> <index>
  bp-load -h | --help

Options:
  --entry ADDRESS           Entry's public IP number and port; may be repeated.
  --direct                  The addresses are stand-in engines.
  --model NAME              Model to ask.
  --expect VERSION=SHA256   A version that may answer and the SHA-256 of its weights; may be
                            repeated. Without any, only the order of the tokens is checked.
  --workspace SPEC          name:weight:worth; may be repeated. Without any: load:1:1.
  --rate N                  Requests a second [default: 10].
  --seconds N               Duration of the arrivals [default: 10].
  --seed N                  Seed of arrivals, sizes and prompts [default: 1].
  --min-tokens N            Fewest tokens of a response [default: 16].
  --max-tokens N            Most tokens of a response [default: 16].
  --prompt-bytes N          Length of a prompt [default: 128].
  --prefix-groups N         Number of different prompt beginnings [default: 8].
  --prefix-bytes N          Length of the shared beginning [default: 64].
  --deadline-ms MS          Time in which a response must be complete [default: 10000].
  --silence-ms MS           Longest silence in a response [default: 30000].
  --retries N               Tries at further entries after a refusal [default: 0].
  --max-in-flight N         Most requests at once [default: 2000].
  --log FILE                Writes one CSV line for each request.
  -h --help                 Show this text.
)";

ExpectedVersion parseExpected(const std::string& aText)
{
  size_t equals = aText.find('=');
  if (equals == std::string::npos || !base::digestFromHex(aText.substr(equals + 1))) {
    standin::exitWithError("--expect: \"" + aText + "\" is not VERSION=SHA256");
  }
  return { aText.substr(0, equals), aText.substr(equals + 1) };
}

WorkspaceLoad parseWorkspace(const std::string& aText)
{
  size_t first = aText.find(':');
  size_t second = first == std::string::npos ? first : aText.find(':', first + 1);
  if (second == std::string::npos) {
    standin::exitWithError("--workspace: \"" + aText + "\" is not name:weight:worth");
  }
  return { aText.substr(0, first),
           std::atof(aText.substr(first + 1, second - first - 1).c_str()),
           std::atof(aText.substr(second + 1).c_str()) };
}

LoadOptions toOptions(const standin::CommandLine& aLine)
{
  LoadOptions options{ .entries = aLine.addresses("--entry"),
                       .direct = aLine.flag("--direct"),
                       .model = aLine.text("--model"),
                       .requestsPerSecond = aLine.number("--rate"),
                       .durationSeconds = aLine.number("--seconds"),
                       .seed = uint64_t(aLine.number("--seed")),
                       .minTokens = int64_t(aLine.number("--min-tokens")),
                       .maxTokens = int64_t(aLine.number("--max-tokens")),
                       .promptBytes = size_t(aLine.number("--prompt-bytes")),
                       .prefixGroups = size_t(aLine.number("--prefix-groups")),
                       .prefixBytes = size_t(aLine.number("--prefix-bytes")),
                       .deadlineMs = int64_t(aLine.number("--deadline-ms")),
                       .silenceMs = int64_t(aLine.number("--silence-ms")),
                       .retries = int(aLine.number("--retries")),
                       .maxInFlight = size_t(aLine.number("--max-in-flight")) };
  for (const std::string& text : aLine.list("--expect")) {
    options.expected.push_back(parseExpected(text));
  }
  for (const std::string& text : aLine.list("--workspace")) {
    options.workspaces.push_back(parseWorkspace(text));
  }
  if (options.workspaces.empty()) {
    options.workspaces.push_back({ "load", 1, 1 });
  }
  if (aLine.given("--log")) {
    options.logPath = aLine.text("--log");
  }
  if (options.requestsPerSecond <= 0 || options.minTokens > options.maxTokens) {
    standin::exitWithError("--rate must be positive and --min-tokens at most --max-tokens");
  }
  return options;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  standin::CommandLine line(kUsage, aArgc, aArgv);
  if (line.flag("token")) {
    std::cout << standin::tokenAt(
                   line.text("<sha256>"), line.text("<prompt>"), uint64_t(line.number("<index>")))
              << '\n';
    return 0;
  }
  LoadRun run(toOptions(line));
  std::cout << base::writeJson(run.run()) << std::endl;
}
