#include "ServerLimits.h"

#include <algorithm>
#include <mutex>

#include <unistd.h>

#include "telemetry/Log.h"

namespace boragepitch::tools {

namespace {

constexpr std::chrono::seconds kLogInterval{ 1 };
/** Part of the VM's memory that each server may hold, as a divisor: a program has up to three
 * servers, and needs as much for what it does with the requests. */
constexpr size_t kServersShare = 8;
/** Above the largest body of any program's default limits, with its head and its framing. */
constexpr size_t kMinHeldBytes = 24 << 20;

/** Allows one log line in each interval. Thread-safe. */
class LogPace
{
public:
  bool allows(base::TimePoint aNow)
  {
    std::lock_guard lock(mMutex);
    if (mLast && aNow - *mLast < kLogInterval) {
      return false;
    }
    mLast = aNow;
    return true;
  }

private:
  std::mutex mMutex;
  std::optional<base::TimePoint> mLast;
};

} // namespace

void addServerLimits(settings::Schema::Builder& aBuilder)
{
  static const net::RequestLimits kDefaults;
  aBuilder
    .integer("limits.head_bytes",
             "Largest request line and headers of a request.",
             "bytes",
             1024,
             16 << 20,
             static_cast<int64_t>(kDefaults.headBytes))
    .integer("limits.line_bytes",
             "Longest line of a head, of a chunk's size and extension, or of trailers.",
             "bytes",
             256,
             16 << 20,
             static_cast<int64_t>(kDefaults.lineBytes))
    .integer("limits.framing",
             "Bytes of a request beside its head and its payload (sizes and extensions of chunks, "
             "trailers).",
             "bytes",
             1024,
             16 << 20,
             static_cast<int64_t>(kDefaults.framingBytes))
    .integer("limits.framing_ratio",
             "Further bytes of that kind for each byte of payload.",
             "bytes",
             5,
             1000,
             static_cast<int64_t>(kDefaults.framingRatio))
    .duration("limits.request_time",
              "From the first byte of a request to its last.",
              1000,
              3600000,
              kDefaults.time.count())
    .integer("limits.held_bytes",
             "Bytes of requests that one server holds for all its connections; 0 for an eighth of "
             "the VM's memory, and for one request of the largest size at least.",
             "bytes",
             0,
             int64_t{ 1 } << 40,
             0)
    .integer(
      "limits.memory", "Memory of the VM; 0 for what the system reports.", "MiB", 0, 1 << 24, 0);
}

size_t systemMemory()
{
  return static_cast<size_t>(std::max(sysconf(_SC_PHYS_PAGES), 0L)) *
         static_cast<size_t>(std::max(sysconf(_SC_PAGESIZE), 0L));
}

size_t heldBytesLimit(const settings::Settings& aSettings)
{
  auto limit = static_cast<size_t>(aSettings.integer("limits.held_bytes"));
  if (limit > 0) {
    return limit;
  }
  auto memory = static_cast<size_t>(aSettings.integer("limits.memory")) << 20;
  return std::max((memory > 0 ? memory : systemMemory()) / kServersShare, kMinHeldBytes);
}

void logCut(const std::string& aReason, const net::Address& aPeer)
{
  telemetry::logEvent(telemetry::Level::Warn,
                      "connection_cut",
                      { { "reason", aReason }, { "peer", aPeer.toString() } });
}

void applyServerLimits(net::HttpServer::Builder& aServer,
                       const settings::Settings& aSettings,
                       telemetry::Registry& aMetrics,
                       CutLog aLog)
{
  auto bytes = [&aSettings](const char* aKey) {
    return static_cast<size_t>(aSettings.integer(aKey));
  };
  net::RequestLimits limits;
  limits.headBytes = bytes("limits.head_bytes");
  limits.lineBytes = bytes("limits.line_bytes");
  limits.framingBytes = bytes("limits.framing");
  limits.framingRatio = bytes("limits.framing_ratio");
  limits.time = aSettings.duration("limits.request_time");
  auto pace = std::make_shared<LogPace>();
  aServer.requestLimits(limits)
    .maxHeldBytes(heldBytesLimit(aSettings))
    .onFault([&aMetrics, pace, log = std::move(aLog)](net::RequestFault aFault,
                                                      const net::Address& aPeer) {
      std::string reason(net::toString(aFault));
      aMetrics
        .counter("bp_connections_cut_total",
                 "Connections closed because a request exceeded a limit.",
                 "reason=\"" + reason + "\"")
        .add();
      if (pace->allows(std::chrono::steady_clock::now())) {
        log(reason, aPeer);
      }
    });
}

} // namespace boragepitch::tools
