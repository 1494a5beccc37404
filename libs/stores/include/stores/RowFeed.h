#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"
#include "stores/Stores.h"

namespace boragepitch::stores {

/** A row, or the news that it was deleted. */
struct RowChange
{
  std::string key;
  std::string value;
  bool isDeleted = false;
};

struct RowPage
{
  std::vector<RowChange> rows;
  uint64_t position = 0; ///< Changes after this are not in the page.
  bool hasMore = false;
  base::Milliseconds serviceTime{ 0 }; ///< Steady clock of the service when it answered.
};

/**
 * Tables whose changes can be followed. One object serves one thread. Errors: NotFound from
 * changes() when the history from aSince is gone and the table must be read whole; Conflict from
 * create() when the row exists; Unavailable when the service refused; UnknownOutcome when no answer
 * came.
 */
class RowFeed
{
public:
  virtual ~RowFeed() = default;
  /** Rows with keys greater than aAfter, in key order. */
  virtual base::Result<RowPage> read(std::string_view aTable, std::string_view aAfter) = 0;
  /** The row with this key; a page without rows when there is none. */
  virtual base::Result<RowPage> get(std::string_view aTable, std::string_view aKey) = 0;
  /** Changes after aSince; waits up to aWait for the first one. */
  virtual base::Result<RowPage> changes(std::string_view aTable,
                                        uint64_t aSince,
                                        base::Milliseconds aWait) = 0;
  /** Writes one row unconditionally. */
  virtual base::Status put(std::string_view aTable,
                           std::string_view aKey,
                           std::string_view aValue) = 0;
  /** Writes one row unless it exists. */
  virtual base::Status create(std::string_view aTable,
                              std::string_view aKey,
                              std::string_view aValue) = 0;
  /** Ends a call on another thread; all later calls fail. */
  virtual void cancel() = 0;
};

} // namespace boragepitch::stores
