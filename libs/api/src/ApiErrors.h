#pragma once

#include <vector>

#include <json/value.h>

#include "base/Error.h"
#include "net/HttpServer.h"

namespace boragepitch::api {

/** HTTP status of an error: 400, 401, 404, 409, 413, 503 or 504 (unknown outcome). */
int statusOf(base::ErrorKind aKind);

/**
 * {"error":{"kind","field","message","remedy"}}; further errors of the same request follow in
 * "errors". aErrors must not be empty.
 */
net::HttpResponse errorResponse(const std::vector<base::Error>& aErrors);
net::HttpResponse errorResponse(const base::Error& aError);
net::HttpResponse jsonResponse(int aStatus, const Json::Value& aBody);

} // namespace boragepitch::api
