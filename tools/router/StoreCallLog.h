#pragma once

#include <string_view>

#include "stores/PeerCopies.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/** Logs calls whose answer was large, or was given up after a part of it had arrived. */
void logStoreCall(telemetry::EventLog& aLog,
                  std::string_view aTable,
                  const stores::TableCall& aCall,
                  base::TimePoint aNow);

void logCopyAttempt(telemetry::EventLog& aLog,
                    std::string_view aTable,
                    const stores::CopyAttempt& aAttempt,
                    base::TimePoint aNow);

} // namespace boragepitch::tools
