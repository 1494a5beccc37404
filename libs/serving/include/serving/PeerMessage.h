#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/Error.h"
#include "net/Address.h"
#include "serving/CrashSuspects.h"
#include "serving/EndpointSet.h"
#include "serving/EntrySubset.h"
#include "serving/PartQuarantine.h"

namespace boragepitch::serving {

/** An entry tells a loader of itself and of the declared weights that it knows. */
struct EntryNotice
{
  EntryIdentity entry;
  net::Address address;                           ///< Receives load reports.
  std::map<std::string, uint64_t> weightVersions; ///< Newest declared version by model.
};

/** An entry tells others which parts of prompts it holds in quarantine, and which it knows to be
 * harmless although another entry holds them in quarantine. With neither it asks for the receiver's
 * quarantine. */
struct PartNotice
{
  std::vector<QuarantinedParts> quarantined;
  std::vector<PromptPart> proved;
};

/** An entry tells others which requests it holds in quarantine, and which suspected ones have been
 * completed without a crash. */
struct RequestNotice
{
  std::vector<QuarantinedRequest> quarantined;
  std::vector<uint64_t> completed; ///< Fingerprints.
};

/** An entry tells others that the endpoint of a crash report did not crash. */
struct CrashRefutation
{
  CrashEvidence evidence; ///< Without parts.
};

/** Requests in quarantine that fit into a notice. */
inline constexpr size_t kMaxQuarantinedRequestsOfNotice = 32;

/** Parts of the quarantines in one notice, unless a single one has more. */
inline constexpr size_t kMaxQuarantinedPartsOfNotice = 20;

/** Message between processes, sent in one datagram or several (see split()). A lost load report is
 * superseded by the next one; crash evidence and notices are sent more than once. Lists of parts
 * are not cut: evidence without the part that caused the crash would miss it, and a quarantine
 * without some of its parts would match more requests. */
using PeerMessage =
  std::variant<LoadReport, CrashEvidence, EntryNotice, PartNotice, RequestNotice, CrashRefutation>;

std::string encode(const PeerMessage& aMessage);
/** Parses a datagram; ErrorKind::Invalid when it is not a well-formed message. */
base::Result<PeerMessage> decode(std::string_view aText);

} // namespace boragepitch::serving
