#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/Error.h"
#include "base/Time.h"
#include "stores/Stores.h"

namespace boragepitch::routing {

/** Response of a service call, stored in its claim and returned when the key is repeated. */
struct ServiceResponse
{
  int status = 0;
  std::string contentType;
  std::string body;
};

enum class ClaimState
{
  Absent,
  InProgress, ///< Claimed; the owner has not stored an outcome.
  Done,
};

/** Claim of an idempotency key, stored in the row claim/<workspace>/<key>. */
struct Claim
{
  ClaimState state = ClaimState::Absent;
  std::string id;                  ///< Unique per attempt to claim.
  std::string owner;               ///< Node id of the entry that holds it.
  std::string fingerprint;         ///< Of the call; reusing the key for another call is an error.
  ServiceResponse serviceResponse; ///< Set when Done.
  bool responseKept = true;        ///< False when the body was too large to store.
  uint64_t version = 0;
};

std::string claimKey(std::string_view aWorkspace, std::string_view aKey);
std::string encodeClaim(const Claim& aClaim);
/** Error Corrupt when the value is not a claim. */
base::Result<Claim> decodeClaim(const stores::Row& aRow);

/** Result of an attempt to claim a key. */
struct ClaimResult
{
  bool acquired = false; ///< True: only the caller may run the call.
  Claim claim;           ///< The caller's claim when acquired, otherwise the existing claim.
};

/**
 * Claims of non-idempotent calls, stored in the table service. A call may run only after its key
 * was acquired, which succeeds at most once per key. Operations of concurrent threads share
 * transactions (group commit). Thread-safe.
 */
class ClaimStore
{
public:
  struct Options
  {
    std::string owner;                  ///< Node id; claim ids start with it.
    std::string incarnation;            ///< Makes claim ids unique across restarts of the process.
    size_t maxBatch = 64;               ///< Maximum operations per transaction.
    double transactionsPerSecond = 50;  ///< Maximum transaction rate.
    size_t maxQueue = 4096;             ///< Operations beyond this are refused.
    size_t maxResponseBytes = 64 << 10; ///< Larger bodies are not stored.
    base::Duration retryDelay = std::chrono::milliseconds(200); ///< Delay after a table failure.
    /** How long writes of outcomes and releases are retried. */
    base::Duration retryTimeout = std::chrono::minutes(10);
  };

  /** @param aTable outlives this object. */
  ClaimStore(stores::TableClient& aTable, Options aOptions);
  ~ClaimStore();

  /**
   * Claims a key. Error Unavailable when the table service did not confirm in time; the call must
   * not run then. Blocks for at most aTimeout.
   */
  base::Result<ClaimResult> acquire(std::string_view aWorkspace,
                                    std::string_view aKey,
                                    std::string_view aFingerprint,
                                    base::Duration aTimeout);
  /** Stores the outcome of an acquired claim. Blocks for at most aTimeout and returns true when the
   * outcome is stored; otherwise retries continue in the background. */
  bool finish(std::string_view aWorkspace,
              std::string_view aKey,
              const Claim& aClaim,
              ServiceResponse aServiceResponse,
              base::Duration aTimeout);
  /** Removes an acquired claim whose call is known not to have run, so that a repeat may run. */
  bool release(std::string_view aWorkspace,
               std::string_view aKey,
               const Claim& aClaim,
               base::Duration aTimeout);
  /** Reads the stored claim of a key. */
  base::Result<Claim> lookUp(std::string_view aWorkspace, std::string_view aKey);
  /** Stops the thread; blocked operations fail. */
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/**
 * Removes claims that have not changed for a given time. Run it in one process of the fleet, such
 * as the holder of the planner lease. Not thread-safe.
 */
class ClaimPruner
{
public:
  /** @param aTable outlives this object.
   * @param aMaxAge retention time of a claim after its last change. */
  ClaimPruner(stores::TableClient& aTable, base::Duration aMaxAge, size_t aMaxTracked = 100'000);
  ~ClaimPruner();

  /** Reads one page of claims and removes the expired ones in one transaction; returns their
   * number. To be called about once per second. */
  base::Result<size_t> step(base::TimePoint aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace boragepitch::routing
