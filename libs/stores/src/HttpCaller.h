#pragma once

#include <functional>
#include <mutex>
#include <string>

#include "base/Limits.h"
#include "base/Rng.h"
#include "net/HttpClient.h"
#include "stores/HttpStores.h"

namespace boragepitch::stores {

/** One attempt at a call, limited to the given time. */
template<typename T>
using Attempt = std::function<base::Result<T>(base::Milliseconds aTimeout)>;

/** Sends requests to one platform service with deadlines, backoff and a retry budget. Thread-safe.
 */
class HttpCaller
{
public:
  explicit HttpCaller(ServiceClientOptions aOptions);

  /** Sends one request on a new connection. The status is not checked. */
  base::Result<net::ClientResponse> send(net::ClientRequest aRequest,
                                         base::Milliseconds aTimeout,
                                         size_t aMaxBytes);

  net::ClientOptions clientOptions(base::Milliseconds aTimeout) const;
  const net::Address& address() const { return mOptions.address; }

  /** Runs aAttempt until it succeeds, fails in a way that aIsRetryable rejects, or the deadline or
   * the retry budget is exhausted. Returns the last answer. */
  template<typename T>
  base::Result<T> callWithRetries(const Attempt<T>& aAttempt,
                                  const std::function<bool(const base::Error&)>& aIsRetryable)
  {
    base::TimePoint end = std::chrono::steady_clock::now() + mOptions.retry.deadline;
    base::Backoff backoff(mOptions.retry.backoffBase, mOptions.retry.backoffCap);
    recordFirstTry();
    while (true) {
      base::Result<T> answer = aAttempt(attemptTimeout(end));
      if (answer || !aIsRetryable(answer.error()) ||
          !pauseBeforeRetry(backoff, answer.error(), end)) {
        return answer;
      }
    }
  }

private:
  void recordFirstTry();
  base::Milliseconds attemptTimeout(base::TimePoint aEnd) const;
  /** Sleeps for the backoff; false when no retry is allowed. */
  bool pauseBeforeRetry(base::Backoff& aBackoff, const base::Error& aError, base::TimePoint aEnd);

  ServiceClientOptions mOptions;
  std::mutex mMutex; ///< Guards the members below.
  base::Rng mRng;
  base::RetryBudget mBudget;
};

/** True for failures after which an idempotent request may be sent again. */
bool isTransient(const base::Error& aError);

/** The error for a response with an unexpected status. */
base::Error statusError(const net::ClientResponse& aResponse, const std::string& aField);

} // namespace boragepitch::stores
