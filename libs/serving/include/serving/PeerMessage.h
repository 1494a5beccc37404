#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "base/Error.h"
#include "serving/CrashSuspects.h"
#include "serving/EndpointSet.h"

namespace boragepitch::serving {

/** Payload of one datagram between processes. A lost load report is superseded by the next one;
 * crash evidence is sent more than once. */
using PeerMessage = std::variant<LoadReport, CrashEvidence>;

std::string encode(const PeerMessage& aMessage);
/** Parses a datagram; ErrorKind::Invalid when it is not a well-formed message. */
base::Result<PeerMessage> decode(std::string_view aText);

} // namespace boragepitch::serving
