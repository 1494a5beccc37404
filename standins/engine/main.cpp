#include <memory>
#include <vector>

#include <malloc.h>

#include "common/Program.h"
#include "engine/EngineServer.h"

using namespace boragepitch;
using namespace boragepitch::standin;

namespace {

const char kUsage[] = R"(standin-engine: model engines with continuous batching and cold starts.

Usage: standin-engine --listen ADDRESS... [options]

Options:
  --listen ADDRESS        IP number and port of one endpoint; may be repeated.
  --capacity N            Requests that run at once [default: 16].
  --max-waiting N         Requests that wait for a slot; more are refused [default: 64].
  --cold-limit N          Concurrent requests that a cold engine survives [default: 2].
  --warm-limit N          Advertised limit when warm [default: 16].
  --cold-ms MS            Time that an engine is cold after a start or a load [default: 2000].
  --restart-ms MS         Time that a dead engine is down [default: 1000].
  --load-ms MS            Duration of a load order [default: 100].
  --token-ms MS           Time between tokens of a request that runs alone [default: 5].
  --batch-slope X         Share by which a full batch lengthens that time [default: 1].
  --prefill-block-ms MS   Time for each 32 prompt bytes that are not cached [default: 0].
  --load-lag-ms MS        Delay of the load in GET /state [default: 200].
  --event-lag-ms MS       Delay of cache events [default: 300].
  --event-gap-percent N   Cache events that are lost [default: 2].
  --cache-blocks N        Prompt blocks that the prefix cache holds [default: 4096].
  --memory-bytes N        Most staged bytes; 0 means no limit [default: 0].
  --honour-fencing        Reject orders with an older fencing number.
  --role NAME             Role at the start [default: general].
  -h --help               Show this text.
)";

/** Each malloc arena keeps the memory of past chunk bodies, and by default there are 8 a core. */
constexpr int kMaxArenas = 4;

EngineOptions toOptions(const CommandLine& aLine)
{
  return { .capacity = size_t(aLine.number("--capacity")),
           .maxWaiting = size_t(aLine.number("--max-waiting")),
           .coldLimit = size_t(aLine.number("--cold-limit")),
           .warmLimit = size_t(aLine.number("--warm-limit")),
           .tokenMs = aLine.number("--token-ms"),
           .batchSlope = aLine.number("--batch-slope"),
           .prefillBlockMs = aLine.number("--prefill-block-ms"),
           .coldMs = int64_t(aLine.number("--cold-ms")),
           .restartMs = int64_t(aLine.number("--restart-ms")),
           .loadMs = int64_t(aLine.number("--load-ms")),
           .loadLagMs = int64_t(aLine.number("--load-lag-ms")),
           .eventLagMs = int64_t(aLine.number("--event-lag-ms")),
           .eventGapPercent = aLine.number("--event-gap-percent"),
           .cacheBlocks = size_t(aLine.number("--cache-blocks")),
           .memoryBytes = uint64_t(aLine.number("--memory-bytes")),
           .honourFencing = aLine.flag("--honour-fencing"),
           .role = aLine.text("--role") };
}

} // namespace

int main(int aArgc, char** aArgv)
{
  CommandLine line(kUsage, aArgc, aArgv);
  EngineOptions options = toOptions(line);
  if (options.capacity == 0) {
    exitWithError("--capacity must be at least 1");
  }
  mallopt(M_ARENA_MAX, kMaxArenas);
  prepareSignals();
  auto chunks = std::make_shared<ChunkStore>();
  std::vector<std::unique_ptr<EngineServer>> engines;
  for (const net::Address& address : line.addresses("--listen")) {
    engines.push_back(std::make_unique<EngineServer>(address, options, chunks));
    if (auto started = engines.back()->start(); !started) {
      exitWithError(started.error().describe());
    }
  }
  runUntilSignal();
}
