#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "stores/RowFeed.h"

namespace boragepitch::stores {

/** All rows of a table as one process knows them. */
struct TableCopy
{
  std::vector<RowChange> rows; ///< None is deleted.
  std::optional<uint64_t> era; ///< As RowFeed::era().
  uint64_t position = 0;       ///< Later changes are not in the rows.
  /** Position of the latest answer of the service that was large; 0 if none was. */
  uint64_t largeChangeAt = 0;
  base::Milliseconds serviceTime{ 0 }; ///< Clock of the service in its latest answer.
};

std::string writeTableCopy(const TableCopy& aCopy);
/** ErrorKind::Invalid if the text is not what writeTableCopy() writes. */
base::Result<TableCopy> readTableCopy(std::string_view aText);

/** What a process that lacks a large change asks others for. */
struct CopyRequest
{
  std::optional<uint64_t> era; ///< Greatest era that the process knows.
  uint64_t after = 0;          ///< Its position in that era; 0 before its first read.
  uint64_t announcedBytes = 0; ///< Size of the answer that it left unread; 0 if unknown.
};

/** Whether the copy holds a large change that the requesting process lacks. */
bool answers(const TableCopy& aCopy, const CopyRequest& aRequest);

/** The copy that a process hands out to others. Thread-safe. */
class HeldTable
{
public:
  /** Replaces the copy. */
  void reset(TableCopy aCopy);
  /** Applies an answer about changes.
   * @param aIsLarge whether other processes may lack it because of its size. */
  void apply(const RowPage& aPage, std::optional<uint64_t> aEra, bool aIsLarge);
  /** Waits for a copy that answers the request, and returns its text. Null at aUntil or after
   * stop(). */
  std::shared_ptr<const std::string> waitFor(const CopyRequest& aRequest, base::TimePoint aUntil);
  void stop();

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::optional<TableCopy> mCopy;
  std::shared_ptr<const std::string> mText; ///< Of the copy, once it was asked for.
  bool mIsStopped = false;
};

/**
 * Hands out a table to other processes, and takes it from them. For rows that are so large that not
 * every process should read them from the service over the same link.
 */
class TableCopies
{
public:
  virtual ~TableCopies() = default;
  /** Whether fetch() would ask another process. */
  virtual bool hasSource() = 0;
  /** Takes a copy from another process, waiting while that process is about to have it. Empty if
   * none gives one; the caller reads the service then. */
  virtual std::optional<TableCopy> fetch(const CopyRequest& aRequest) = 0;
  /** The calling process read the whole table, or took a copy. */
  virtual void reset(const TableCopy& aCopy) = 0;
  /** The calling process read changes; arguments as HeldTable::apply(). */
  virtual void apply(const RowPage& aPage, std::optional<uint64_t> aEra, bool aIsLarge) = 0;
  /** What the calling process reads from; its progress tells others that a copy is on its way. */
  virtual void setFeed(std::shared_ptr<RowFeed> aFeed) = 0;
  /** Any thread: ends a fetch in progress; later ones return nothing. */
  virtual void cancel() = 0;
};

} // namespace boragepitch::stores
