#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/Error.h"
#include "net/HttpServer.h"
#include "resources/ResourceStore.h"

namespace boragepitch::api {

using Changes = tl::expected<std::vector<resources::Change>, std::vector<base::Error>>;

/** Limits on request bodies. */
struct BodyLimits
{
  size_t maxBytes = 512 << 10;
  size_t maxChanges = 500;
};

/** Parse the changes requested by a write. All errors of a body are reported. */
Changes readCreate(const net::HttpRequest& aRequest, const BodyLimits& aLimits);
Changes readReplace(const net::HttpRequest& aRequest, const BodyLimits& aLimits);
Changes readRemove(const net::HttpRequest& aRequest);
/** {"changes":[{"type":"create|replace|delete", "resource":{...}}]}; a deletion's resource has
 * kind, name and resourceVersion only. */
Changes readBatch(const net::HttpRequest& aRequest, const BodyLimits& aLimits);

/** Parses an unsigned decimal query parameter; Invalid when absent or malformed. */
base::Result<uint64_t> readRevision(const net::HttpRequest& aRequest, const std::string& aKey);

} // namespace boragepitch::api
