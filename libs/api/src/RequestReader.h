#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/Error.h"
#include "net/HttpServer.h"
#include "resources/ResourceStore.h"

namespace boragepitch::api {

using Changes = tl::expected<std::vector<resources::Change>, std::vector<base::Error>>;

/** Bounds on bodies. */
struct BodyLimits
{
  size_t bytes = 512 << 10;
  size_t batch = 500;
};

/** Reads writes from requests. Every error of a body is reported. */
Changes readCreate(const net::HttpRequest& aRequest, const BodyLimits& aLimits);
Changes readReplace(const net::HttpRequest& aRequest, const BodyLimits& aLimits);
Changes readRemove(const net::HttpRequest& aRequest);
/** {"changes":[{"type":"create|replace|delete", "resource":{...}}]}; a deletion's resource has
 * kind, name and resourceVersion only. */
Changes readBatch(const net::HttpRequest& aRequest, const BodyLimits& aLimits);

/** An unsigned decimal query parameter; Invalid when absent or malformed. */
base::Result<uint64_t> readRevision(const net::HttpRequest& aRequest, const std::string& aKey);

} // namespace boragepitch::api
