#pragma once

#include <cstdint>
#include <memory>

#include "base/Time.h"
#include "net/Address.h"
#include "stores/Stores.h"

namespace boragepitch::stores {

/** Timeouts and retries of a client of a platform service. */
struct RetrySettings
{
  base::Milliseconds attemptTimeout{ 1000 }; ///< For one request and its response.
  base::Milliseconds deadline{ 4000 };       ///< For the whole call, retries included.
  base::Milliseconds backoffBase{ 50 };
  base::Milliseconds backoffCap{ 1000 };
  double retryRatio = 0.1;  ///< Retries allowed per first attempt.
  double retryReserve = 10; ///< Retries allowed after no traffic.
};

/** Options of the clients below. `seed` is for the jitter of the backoff. */
struct ServiceClientOptions
{
  net::Address address;
  RetrySettings retry;
  uint64_t seed = 1;
};

/** Builds a client of a service over HTTP. build() is specialized for each client. */
template<typename Client>
class HttpBuilder
{
public:
  HttpBuilder& address(net::Address aAddress)
  {
    mOptions.address = std::move(aAddress);
    return *this;
  }
  HttpBuilder& retry(RetrySettings aRetry)
  {
    mOptions.retry = aRetry;
    return *this;
  }
  HttpBuilder& seed(uint64_t aSeed)
  {
    mOptions.seed = aSeed;
    return *this;
  }
  std::unique_ptr<Client> build();

private:
  ServiceClientOptions mOptions;
};

/**
 * Table service over HTTP. Reads are retried within the deadline and the retry budget; a commit
 * only after Unavailable, when nothing was written. The error of a commit whose answer was lost is
 * UnknownOutcome. A Conflict error names the first conflicting row in its field.
 */
class HttpTable : public TableClient
{
public:
  using Builder = HttpBuilder<HttpTable>;
};

/** Object store over HTTP. A put replaces the whole object, so it can be retried safely. */
class HttpObjects : public ObjectClient
{
public:
  using Builder = HttpBuilder<HttpObjects>;
};

/**
 * Weight store over HTTP with Range requests. The ETag of a blob is stored at its first read. A
 * later read with a different ETag fails with Corrupt and stores the new ETag.
 */
class HttpWeightOrigin : public WeightOrigin
{
public:
  using Builder = HttpBuilder<HttpWeightOrigin>;
};

/** VM list over HTTP. */
class HttpVmList : public VmList
{
public:
  using Builder = HttpBuilder<HttpVmList>;
};

template<>
std::unique_ptr<HttpTable> HttpBuilder<HttpTable>::build();
template<>
std::unique_ptr<HttpObjects> HttpBuilder<HttpObjects>::build();
template<>
std::unique_ptr<HttpWeightOrigin> HttpBuilder<HttpWeightOrigin>::build();
template<>
std::unique_ptr<HttpVmList> HttpBuilder<HttpVmList>::build();

} // namespace boragepitch::stores
