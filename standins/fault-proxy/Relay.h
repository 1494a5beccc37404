#pragma once

#include <memory>

#include "base/Error.h"
#include "fault-proxy/Link.h"

namespace boragepitch::standin {

/** Listens for the link and relays each connection on a thread of its own, for the rest of the
 * process's life. */
base::Status startRelay(std::shared_ptr<Link> aLink);

} // namespace boragepitch::standin
