#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/Time.h"
#include "net/HttpServer.h"

namespace boragepitch::gateway {

// Headers exchanged between entries and agents, and with callers.
constexpr const char* kRequestId = "X-Request-Id";
constexpr const char* kAttempt = "X-Attempt";
constexpr const char* kManifest = "X-Manifest";
constexpr const char* kInstance = "X-Instance";
constexpr const char* kRevision = "X-Revision";
constexpr const char* kFingerprint = "X-Fingerprint";
constexpr const char* kPriority = "X-Priority";
constexpr const char* kDeadline = "X-Deadline-Ms";
constexpr const char* kTokens = "X-Tokens"; ///< Maximum tokens still to be generated.
constexpr const char* kWorkspace = "X-Workspace";
constexpr const char* kIdempotencyKey = "Idempotency-Key";
constexpr const char* kRan = "X-Ran";
constexpr const char* kSuspect = "X-Suspect"; ///< Id of a crash at which the request was in flight.
constexpr const char* kCrash = "X-Crash";     ///< Id of the crash that ended this attempt.
constexpr const char* kClosed = "X-Closed";   ///< Set on refusals for other reasons than load.
constexpr const char* kLoadRunning = "X-Load-Running";
constexpr const char* kLoadQueued = "X-Load-Queued";
constexpr const char* kCold = "X-Cold";

constexpr int kDefaultPriority = 5;

/** Whether a request ran. */
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
  base::Duration retryAfter{ 0 }; ///< 0: a retry is pointless.
};

/** The JSON body of a refusal. */
std::string refusalBody(const Refusal& aRefusal);
/** The response to a refusal, with its body and the headers X-Ran and Retry-After. */
net::HttpResponse toResponse(const Refusal& aRefusal);

/** Value of an integer header; aDefault when absent, nullopt when malformed or out of range. */
std::optional<int64_t> integerHeader(const net::Headers& aHeaders,
                                     const char* aName,
                                     int64_t aMin,
                                     int64_t aMax,
                                     int64_t aDefault);

std::string toHex(std::string_view aBytes);
std::string fromHex(std::string_view aHex);

/** Percent-encodes a decoded path such as "a/b" and a query into "/a/b?x=y". */
std::string encodeTarget(std::string_view aPath, const std::map<std::string, std::string>& aQuery);

} // namespace boragepitch::gateway
