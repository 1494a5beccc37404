#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "base/Time.h"

namespace boragepitch::relay {

struct Core;

/**
 * Answers where a request would be sent now, and why, without sending it or changing any state: it
 * asks the functions that decide on the requests of callers, with a copy of what they change.
 *
 * @param aQuestion JSON object with "host", "path", and optionally "headers" (an array of pairs of
 * name and value, as a caller sends them) and "body".
 * @return a status and a JSON object. Keys of callers are not repeated in it.
 */
std::pair<int, std::string> explainRoute(const Core& aCore,
                                         std::string_view aQuestion,
                                         base::TimePoint aNow);

} // namespace boragepitch::relay
