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

/** The response that a claim keeps for repeats of its key. */
struct Answer
{
  int status = 0;
  std::string contentType;
  std::string body;
};

enum class ClaimState
{
  Absent,
  InProgress, ///< Claimed; its owner has not stored an outcome.
  Done,
};

/** The row of a claim: claim/<workspace>/<key>. */
struct Claim
{
  ClaimState state = ClaimState::Absent;
  std::string id;          ///< Unique for each attempt to claim.
  std::string owner;       ///< Node id of the entry that holds it.
  std::string fingerprint; ///< Of the call; a repeat with another one is an error.
  Answer answer;           ///< When Done.
  bool answerKept = true;  ///< False when the answer was too large to keep.
  uint64_t version = 0;
};

std::string claimKey(std::string_view aWorkspace, std::string_view aKey);
std::string encodeClaim(const Claim& aClaim);
/** Corrupt when the value is not a claim. */
base::Result<Claim> decodeClaim(const stores::Row& aRow);

/** What came of an attempt to claim a key. */
struct ClaimResult
{
  bool acquired = false; ///< True: the caller, and nobody else ever, may run the call.
  Claim claim;           ///< The own claim when acquired, otherwise the one in the way.
};

/**
 * Claims of non-idempotent calls on the table service, with group commit: calls of concurrent
 * threads share a transaction. Thread-safe. Before a call runs it must be acquired, which happens
 * at most once for each key.
 */
class ClaimStore
{
public:
  struct Options
  {
    std::string owner;                 ///< Node id; claim ids start with it.
    std::string incarnation;           ///< Makes claim ids of a restarted process differ.
    size_t batch = 64;                 ///< Most operations in one transaction.
    double transactionsPerSecond = 50; ///< Bound on the rate of transactions.
    size_t maxQueue = 4096;            ///< More operations than this are refused.
    size_t maxAnswerBytes = 64 << 10;  ///< Larger answers are not kept.
    base::Duration retryEvery = std::chrono::milliseconds(200); ///< After a failure of the table.
    base::Duration keepTrying = std::chrono::minutes(10);       ///< For outcomes and releases.
  };

  /** @param aTable outlives this object. */
  ClaimStore(stores::TableClient& aTable, Options aOptions);
  ~ClaimStore();

  /**
   * Claims a key. Error Unavailable when the table service did not confirm in time; the call must
   * then not run. Blocks at most aTimeout.
   */
  base::Result<ClaimResult> acquire(std::string_view aWorkspace,
                                    std::string_view aKey,
                                    std::string_view aFingerprint,
                                    base::Duration aTimeout);
  /** Stores the outcome of an acquired claim. Waits at most aTimeout; goes on trying afterwards.
   * True when it is stored. */
  bool finish(std::string_view aWorkspace,
              std::string_view aKey,
              const Claim& aClaim,
              Answer aAnswer,
              base::Duration aTimeout);
  /** Removes an acquired claim whose call certainly did not run, so that a repeat may run. */
  bool release(std::string_view aWorkspace,
               std::string_view aKey,
               const Claim& aClaim,
               base::Duration aTimeout);
  /** The claim of a key as stored. */
  base::Result<Claim> lookUp(std::string_view aWorkspace, std::string_view aKey);
  /** Stops the thread; operations that wait fail with Unavailable. */
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/**
 * Removes claims that have not changed for a time. One process of the fleet runs it, such as the
 * holder of the planner lease. Not thread-safe.
 */
class ClaimPruner
{
public:
  /** @param aTable outlives this object; @param aAge how long outcomes are kept. */
  ClaimPruner(stores::TableClient& aTable, base::Duration aAge, size_t aMaxTracked = 100'000);
  ~ClaimPruner();

  /** Reads one page of claims and removes the old ones among them in one transaction; returns how
   * many. Call it about once a second. */
  base::Result<size_t> step(base::TimePoint aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace boragepitch::routing
