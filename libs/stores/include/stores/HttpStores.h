#pragma once

#include <cstdint>
#include <memory>

#include "base/Time.h"
#include "net/Address.h"
#include "stores/Stores.h"

namespace boragepitch::stores {

/** Deadlines and retries of one client of the platform. */
struct RetrySettings
{
  base::Milliseconds attemptTimeout{ 1000 }; ///< For one request and its response.
  base::Milliseconds deadline{ 4000 };       ///< For the whole call, retries included.
  base::Milliseconds backoffBase{ 50 };
  base::Milliseconds backoffCap{ 1000 };
  double retryRatio = 0.1;  ///< Retries allowed for each first try.
  double retryReserve = 10; ///< Retries allowed with no traffic.
};

/** What the clients below share: address, retries and the seed of the jitter. */
struct EndpointOptions
{
  net::Address address;
  RetrySettings retry;
  uint64_t seed = 1;
};

/** Builds a client of a service over HTTP. Each client defines its own build(). */
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
  EndpointOptions mOptions;
};

/**
 * Table service over HTTP. Reads are repeated within the deadline and the retry budget. A commit is
 * sent once, except when nothing was sent or written and the transaction carries checks; its lost
 * answer is UnknownOutcome. A Conflict error names the first conflicting row in its field.
 */
class HttpTable : public TableClient
{
public:
  using Builder = HttpBuilder<HttpTable>;
};

/** Object store over HTTP. A put writes a whole object, so repeating it is safe. */
class HttpObjects : public ObjectClient
{
public:
  using Builder = HttpBuilder<HttpObjects>;
};

/**
 * Weight store over HTTP with Range requests. The ETag of a blob is remembered at its first read;
 * another ETag later is a Corrupt error, after which the new ETag is remembered.
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
