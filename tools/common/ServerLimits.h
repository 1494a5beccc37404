#pragma once

#include <functional>
#include <string>

#include "net/HttpServer.h"
#include "settings/Settings.h"
#include "telemetry/Metrics.h"

namespace boragepitch::tools {

/** Adds the limits for requests that the HTTP servers of a program share. */
void addServerLimits(settings::Schema::Builder& aBuilder);

/** Memory of this machine in bytes, as the system reports it; 0 if it does not. */
size_t systemMemory();

/** Bytes of requests that one server of a program may hold, by its settings. */
size_t heldBytesLimit(const settings::Settings& aSettings);

/** Writes one line of a program's log about a connection that was closed. */
using CutLog = std::function<void(const std::string& aReason, const net::Address& aPeer)>;

/** Logs with telemetry::logEvent(). */
void logCut(const std::string& aReason, const net::Address& aPeer);

/**
 * Applies these limits to a server. Connections that it closes for them are counted by reason, and
 * the first of each second is logged with the caller's address.
 */
void applyServerLimits(net::HttpServer::Builder& aServer,
                       const settings::Settings& aSettings,
                       telemetry::Registry& aMetrics,
                       CutLog aLog = &logCut);

} // namespace boragepitch::tools
