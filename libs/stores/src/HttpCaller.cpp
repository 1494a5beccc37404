#include "HttpCaller.h"

#include <algorithm>
#include <charconv>
#include <thread>

namespace boragepitch::stores {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr base::Milliseconds kMinAttemptTimeout{ 1 };
// Upper limit of Retry-After; the caller's own deadline is shorter.
constexpr int kMaxRetryAfterSeconds = 3600;

base::Milliseconds retryAfter(const net::ClientResponse& aResponse)
{
  std::string text = aResponse.header("Retry-After").value_or("");
  int seconds = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error != std::errc() || end != text.data() + text.size()) {
    return base::Milliseconds(0);
  }
  return std::chrono::seconds(std::clamp(seconds, 0, kMaxRetryAfterSeconds));
}

} // namespace

HttpCaller::HttpCaller(ServiceClientOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRng(mOptions.seed)
  , mBudget(mOptions.retry.retryRatio, mOptions.retry.retryReserve)
{
}

net::ClientOptions HttpCaller::clientOptions(base::Milliseconds aTimeout) const
{
  return { .connectTimeout = aTimeout, .readTimeout = aTimeout, .writeTimeout = aTimeout };
}

base::Result<net::ClientResponse> HttpCaller::send(net::ClientRequest aRequest,
                                                   base::Milliseconds aTimeout,
                                                   size_t aMaxBytes)
{
  // Connections are not reused: calls are rare, and a connection that the server closed while idle
  // would turn a write into an unknown outcome.
  net::HttpClient client(mOptions.address, clientOptions(aTimeout));
  aRequest.totalTimeout = aTimeout;
  return client.send(aRequest, aMaxBytes);
}

void HttpCaller::recordFirstTry()
{
  std::lock_guard lock(mMutex);
  mBudget.recordFirstTry();
}

base::Milliseconds HttpCaller::attemptTimeout(base::TimePoint aEnd) const
{
  auto left =
    std::chrono::duration_cast<base::Milliseconds>(aEnd - std::chrono::steady_clock::now());
  return std::clamp(
    left, kMinAttemptTimeout, std::max(kMinAttemptTimeout, mOptions.retry.attemptTimeout));
}

bool HttpCaller::pauseBeforeRetry(base::Backoff& aBackoff,
                                  const base::Error& aError,
                                  base::TimePoint aEnd)
{
  base::Duration delay;
  {
    std::lock_guard lock(mMutex);
    delay = std::max<base::Duration>(aBackoff.next(mRng), aError.retryAfter);
    if (std::chrono::steady_clock::now() + delay >= aEnd || !mBudget.tryRetry()) {
      return false;
    }
  }
  std::this_thread::sleep_for(delay);
  return true;
}

bool isTransient(const base::Error& aError)
{
  return aError.kind == base::ErrorKind::Unavailable || aError.kind == base::ErrorKind::Timeout ||
         aError.kind == base::ErrorKind::UnknownOutcome;
}

base::Error statusError(const net::ClientResponse& aResponse, const std::string& aField)
{
  base::Error error;
  error.field = aField;
  error.message = "the service answered HTTP status " + std::to_string(aResponse.status);
  error.remedy = "check the service and its address in the settings";
  if (aResponse.status == kTooManyRequests || aResponse.status == kServiceUnavailable) {
    error.kind = base::ErrorKind::Unavailable;
    error.remedy = "try again later";
    error.retryAfter = retryAfter(aResponse);
  } else if (aResponse.status == 404) {
    error.kind = base::ErrorKind::NotFound;
    error.remedy = "check the name";
  } else if (aResponse.status == 413) {
    error.kind = base::ErrorKind::TooLarge;
    error.remedy = "send less in one request";
  } else if (aResponse.status >= 500) {
    // The service may have failed after a write took effect.
    error.kind = base::ErrorKind::UnknownOutcome;
    error.remedy = "read the state back before repeating a write";
  } else {
    error.kind = base::ErrorKind::Invalid;
  }
  return error;
}

} // namespace boragepitch::stores
