#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "base/Error.h"
#include "net/Address.h"
#include "serving/CrashSuspects.h"
#include "serving/EndpointSet.h"
#include "serving/EntrySubset.h"

namespace boragepitch::serving {

/** An entry tells a loader of itself and of the declared weights that it knows. */
struct EntryNotice
{
  EntryIdentity entry;
  net::Address address;                           ///< Receives load reports.
  std::map<std::string, uint64_t> weightVersions; ///< Newest declared version by model.
};

/** Payload of one datagram between processes. A lost load report is superseded by the next one;
 * crash evidence and notices are sent more than once. */
using PeerMessage = std::variant<LoadReport, CrashEvidence, EntryNotice>;

std::string encode(const PeerMessage& aMessage);
/** Parses a datagram; ErrorKind::Invalid when it is not a well-formed message. */
base::Result<PeerMessage> decode(std::string_view aText);

} // namespace boragepitch::serving
