#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "base/Error.h"
#include "serving/CrashSuspects.h"
#include "serving/EndpointSet.h"

namespace boragepitch::serving {

/** What the processes tell each other in one datagram. A lost one is replaced by the next report;
 * evidence of a crash is sent more than once. */
using PeerMessage = std::variant<LoadReport, CrashEvidence>;

std::string encode(const PeerMessage& aMessage);
/** Invalid for anything that encode() does not make. */
base::Result<PeerMessage> decode(std::string_view aText);

} // namespace boragepitch::serving
