#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/Error.h"
#include "base/Limits.h"
#include "base/Rng.h"
#include "base/Time.h"
#include "stores/Stores.h"

namespace boragepitch::stores {

/** Content of a lease row. It has no wall-clock time: each reader measures the duration with its
 * own clock. */
struct LeaseRow
{
  std::string owner; ///< Empty after a release.
  uint64_t fencing = 0;
  base::Milliseconds duration{ 0 };
  std::string transactionId; ///< Id of the transaction that wrote the row.
};

std::string encodeLeaseRow(const LeaseRow& aRow);
base::Result<LeaseRow> decodeLeaseRow(std::string_view aText);

struct LeaseSettings
{
  std::string name;  ///< The row is "lease/<name>".
  std::string owner; ///< Unique for each process start.
  base::Milliseconds duration{ 9000 };
};

/**
 * Decides when to acquire, renew and release one lease (docs/design.md, section 6.5). No I/O: time
 * and the answers of the table service are arguments. Not thread-safe.
 *
 * The holder measures its deadline from the time before it sends a renewal and stops acting after
 * two thirds of the duration. A challenger takes over after it has seen the row unchanged for the
 * whole duration.
 */
class LeaseKeeper
{
public:
  explicit LeaseKeeper(LeaseSettings aSettings);

  const std::string& rowKey() const { return mKey; }

  /** Processes a read of the row; aRow is empty when the row is absent. aNow: after the answer
   * arrived. */
  void observe(const std::optional<Row>& aRow, base::TimePoint aNow);
  /** The transaction to send now, if any. aNow: before it is sent. */
  std::optional<Transaction> plan(base::TimePoint aNow);
  /** Returns the transaction that releases the lease, so that a challenger need not wait; empty
   * when not held. The holder stops acting at once. */
  std::optional<Transaction> release(base::TimePoint aNow);
  /** Processes the answer to a transaction returned by plan(). */
  void handleAnswer(const Transaction& aSent,
                    const base::Result<uint64_t>& aAnswer,
                    base::TimePoint aNow);

  /** True when the row should be read before plan() is called. */
  bool needsRead() const;
  /** True while this process may act as the lease holder. */
  bool holds(base::TimePoint aNow) const;
  /** Fencing number of the held lease; 0 when not held. */
  uint64_t fencing(base::TimePoint aNow) const;
  /** Check to add to each write made under the lease; empty when not held. */
  std::optional<Check> check(base::TimePoint aNow) const;
  /** When the holder must stop acting. */
  base::TimePoint deadline() const { return mDeadline; }

private:
  struct Attempt
  {
    base::TimePoint started;
    uint64_t fencing = 0;
    bool releases = false;
  };

  Transaction write(const std::string& aOwner, uint64_t aFencing, base::TimePoint aNow);
  void apply(const Attempt& aAttempt, uint64_t aVersion);
  void clearHeld();

  LeaseSettings mSettings;
  std::string mKey;
  uint64_t mCounter = 0;
  std::map<std::string, Attempt> mAttempts; ///< By transaction id; attempts without an answer.
  std::optional<uint64_t> mObservedVersion; ///< Empty until the row has been read.
  LeaseRow mObservedRow;
  base::TimePoint mObservedSince{};
  bool mUnreadable = false;
  bool mReleased = false;
  bool mHeld = false;
  uint64_t mFencing = 0;
  uint64_t mVersion = 0;
  base::TimePoint mRenewed{};
  base::TimePoint mDeadline{};
};

/** Runs a LeaseKeeper on its own thread. Thread-safe. */
class LeaseRunner
{
public:
  class Builder
  {
  public:
    /** Both must outlive the runner. */
    Builder& table(TableClient& aTable);
    Builder& clock(const base::Clock& aClock);
    Builder& lease(LeaseSettings aSettings);
    Builder& seed(uint64_t aSeed);
    std::unique_ptr<LeaseRunner> build();

  private:
    friend class LeaseRunner;
    TableClient* mTable = nullptr;
    const base::Clock* mClock = nullptr;
    LeaseSettings mSettings;
    uint64_t mSeed = 1;
  };

  virtual ~LeaseRunner() = default;
  virtual void start() = 0;
  /** Releases the lease when held and joins the thread. Idempotent. */
  virtual void stop() = 0;
  virtual bool holds() const = 0;
  /** Fencing number of the held lease; 0 when not held. */
  virtual uint64_t fencing() const = 0;
  /**
   * Commits aTransaction with the lease row's check added. Unavailable when the lease is not held;
   * Conflict when it was lost or another check failed (field names the row).
   */
  virtual base::Result<uint64_t> fencedCommit(Transaction aTransaction) = 0;
};

/** Issues increasing order epochs of endpoints, which are stored in the rows "epoch/<endpoint>".
 * Thread-safe. */
class EpochIssuer
{
public:
  /** aTable must outlive the issuer; aOwner prefixes the transaction ids. */
  EpochIssuer(TableClient& aTable, std::string aOwner);

  /** Returns an epoch greater than aReportedEpoch and than every epoch issued before. */
  base::Result<uint64_t> issue(const std::string& aEndpoint, uint64_t aReportedEpoch = 0);

private:
  TableClient& mTable;
  std::string mOwner;
  std::atomic<uint64_t> mCounter{ 0 };
};

} // namespace boragepitch::stores
