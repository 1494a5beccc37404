#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"
#include "stores/Stores.h"

namespace boragepitch::stores {

/** A row that was written or deleted. */
struct RowChange
{
  std::string key;
  std::string value;
  bool isDeleted = false;
};

struct RowPage
{
  std::vector<RowChange> rows;
  uint64_t position = 0; ///< Position in the change history; later changes are not in the page.
  bool hasMore = false;
  base::Milliseconds serviceTime{ 0 }; ///< Steady clock of the service when it answered.
};

/** How the answer to a call arrived; what did arrive, if the call failed. */
struct AnswerStats
{
  std::optional<base::Milliseconds> untilHead; ///< Empty if no answer began.
  base::Milliseconds total{ 0 };
  uint64_t bytes = 0;
  std::optional<uint64_t> announcedBytes;
};

/**
 * Reads tables and waits for their changes. Each object is used by one thread, except for cancel().
 * Errors: NotFound from changes() when the history since aSince was discarded and the whole table
 * must be read again; Conflict from create() when the row exists; TooLarge when the answer exceeds
 * the limit; Unavailable when the service refused; UnknownOutcome when no answer came.
 */
class RowFeed
{
public:
  virtual ~RowFeed() = default;
  /** Rows with keys greater than aAfter, in key order. */
  virtual base::Result<RowPage> read(std::string_view aTable, std::string_view aAfter) = 0;
  /** The row with this key; a page without rows when there is none. */
  virtual base::Result<RowPage> get(std::string_view aTable, std::string_view aKey) = 0;
  /** Rows with keys from aFrom to before aTo, in key order. */
  virtual base::Result<RowPage> range(std::string_view aTable,
                                      std::string_view aFrom,
                                      std::string_view aTo) = 0;
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
  /** Number of the service's history according to its latest answer to this object, also to a call
   * that failed. A service that came back from an older copy of its rows names a greater one: rows
   * that it acknowledged before may be gone, and positions are given out again. Empty if the
   * service named none. */
  virtual std::optional<uint64_t> era() const { return std::nullopt; }
  /** Of the latest call. */
  virtual AnswerStats lastAnswer() const { return {}; }
  /** Largest answer that is received, bytes. The rest of a larger one is left unread. */
  virtual void limitAnswers(uint64_t /*aBytes*/) {}
  /** Any thread: bytes of all answers so far. */
  virtual uint64_t receivedBytes() const { return 0; }
  /** Cancels a call on another thread; all later calls fail. */
  virtual void cancel() = 0;
};

} // namespace boragepitch::stores
