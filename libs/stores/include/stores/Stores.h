#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "net/Address.h"

namespace boragepitch::stores {

struct Row
{
  std::string key;
  std::string value;
  uint64_t version = 0; ///< Sequence number of the last commit of this row; 0 means absent.
};

/** Precondition on a row: its version at commit time; 0 means that it must be absent. */
struct Check
{
  std::string key;
  uint64_t version = 0;
};

struct Put
{
  std::string key;
  std::string value;
};

struct Transaction
{
  std::string id; ///< Chosen by the caller, unique; for tracing.
  std::vector<Check> checks;
  std::vector<Put> puts;
  std::vector<std::string> deletes;
};

/**
 * The platform's transactional table service. Thread-safe. Errors: Conflict when a check failed
 * (nothing written), Unavailable when nothing was written (refused, rate limit, outage; see
 * retryAfter), UnknownOutcome when the answer was lost and the transaction may have taken effect.
 */
class TableClient
{
public:
  virtual ~TableClient() = default;
  /** Returns the commit's sequence number. */
  virtual base::Result<uint64_t> commit(const Transaction& aTransaction) = 0;
  /** Rows that exist among aKeys. */
  virtual base::Result<std::vector<Row>> read(const std::vector<std::string>& aKeys) = 0;
  /** Up to aLimit rows whose key starts with aPrefix and is greater than aAfter, in key order. */
  virtual base::Result<std::vector<Row>> scan(std::string_view aPrefix,
                                              std::string_view aAfter,
                                              size_t aLimit) = 0;
};

/** The platform's object store. Thread-safe. */
class ObjectClient
{
public:
  virtual ~ObjectClient() = default;
  virtual base::Status put(std::string_view aKey, std::string_view aValue) = 0;
  virtual base::Result<std::string> fetch(std::string_view aKey, size_t aMaxBytes) = 0;
};

/** The rate-limited weight store: the origin of weights. Thread-safe. */
class WeightOrigin
{
public:
  virtual ~WeightOrigin() = default;
  /** Reads exactly aTarget.size() bytes from aOffset of the blob aName ("name/version"). */
  virtual base::Status read(std::string_view aName,
                            uint64_t aOffset,
                            std::span<std::byte> aTarget) = 0;
  /** Size in bytes of a blob. */
  virtual base::Result<uint64_t> size(std::string_view aName) = 0;
};

struct ListedVm
{
  std::string name;
  std::string address; ///< IP address.
  std::string zone;
  std::string region;
  std::string kind; ///< "entry" or "endpoint".
  bool leaving = false;
};

/** The platform's list of live and leaving VMs; it lags behind the actual state. Thread-safe. */
class VmList
{
public:
  virtual ~VmList() = default;
  virtual base::Result<std::vector<ListedVm>> list() = 0;
};

} // namespace boragepitch::stores
