#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/Time.h"
#include "net/HttpServer.h"

namespace boragepitch::gateway {

// Headers between entries and agents.
constexpr const char* kRequestId = "X-Request-Id";
constexpr const char* kAttempt = "X-Attempt";
constexpr const char* kManifest = "X-Manifest";
constexpr const char* kInstance = "X-Instance";
constexpr const char* kRevision = "X-Revision";
constexpr const char* kFingerprint = "X-Fingerprint";
constexpr const char* kPriority = "X-Priority";
constexpr const char* kDeadline = "X-Deadline-Ms";
constexpr const char* kTokens = "X-Tokens"; ///< Most tokens that the response has yet to bring.
constexpr const char* kWorkspace = "X-Workspace";
constexpr const char* kIdempotencyKey = "Idempotency-Key";
constexpr const char* kRan = "X-Ran";
constexpr const char* kSuspect = "X-Suspect"; ///< Crash at which the request was in flight.
constexpr const char* kCrash = "X-Crash";     ///< Crash that this attempt met.
constexpr const char* kClosed = "X-Closed";   ///< The refusal is not for load.
constexpr const char* kLoadRunning = "X-Load-Running";
constexpr const char* kLoadQueued = "X-Load-Queued";
constexpr const char* kCold = "X-Cold";

constexpr int kDefaultPriority = 5;

/** Whether a refused request was run. */
enum class Ran
{
  No,
  Yes,
  Unknown,
};

std::string_view toString(Ran aRan);

struct Refusal
{
  int status = 503;
  Ran ran = Ran::No;
  std::string kind = "unavailable";
  std::string message;
  std::string remedy = "retry after the given time";
  base::Duration retryAfter{ 0 }; ///< 0 means that a retry is of no use.
};

/** The JSON body of a refusal. */
std::string refusalBody(const Refusal& aRefusal);
/** A response with that body and the headers X-Ran and Retry-After. */
net::HttpResponse toResponse(const Refusal& aRefusal);

/** Value of an integer header within bounds; the default when absent, nothing when malformed. */
std::optional<int64_t> integerHeader(const net::Headers& aHeaders,
                                     const char* aName,
                                     int64_t aMin,
                                     int64_t aMax,
                                     int64_t aDefault);

std::string toHex(std::string_view aBytes);
std::string fromHex(std::string_view aHex);

/** "a/b" of decoded segments to "/a/b?x=y", percent-encoded. */
std::string encodeTarget(std::string_view aPath, const std::map<std::string, std::string>& aQuery);

} // namespace boragepitch::gateway
