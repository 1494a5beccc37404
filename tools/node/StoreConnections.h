#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/Address.h"
#include "stores/RowKeeper.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/** A program's connections to the platform's store: the tables it watches and its own row. */
class StoreConnections
{
public:
  StoreConnections(std::string aNode, net::Address aStore, telemetry::EventLog& aLog);
  ~StoreConnections();
  StoreConnections(const StoreConnections&) = delete;
  StoreConnections& operator=(const StoreConnections&) = delete;

  /** Watches a table on a separate thread.
   * @param aWait longest time that the store holds a request for changes.
   * @param aCoalesceTime time in which changes are coalesced.
   * @param aMaxCoalesceTime as WatchOptions::maxCoalesceTime.
   * @param aCopies as WatchOptions::copies.
   * @return the watcher, which lives as long as this object. */
  stores::TableWatcher& watch(const char* aTable,
                              stores::TableListener& aListener,
                              base::Milliseconds aWait,
                              base::Milliseconds aCoalesceTime,
                              base::Milliseconds aMaxCoalesceTime = base::Milliseconds(0),
                              stores::TableCopies* aCopies = nullptr);
  /** Has the store hold the row: writes it on a separate thread, and again after the store came
   * back from an older copy. */
  void keep(stores::KeptRow aRow) { mKeeper.keep(std::move(aRow)); }
  void forget(const std::string& aTable, const std::string& aKey) { mKeeper.forget(aTable, aKey); }
  /** A new connection for single calls. */
  std::unique_ptr<stores::RowFeed> openFeed() const;
  void stop();

private:
  const std::string mNode;
  const net::Address mStore;
  telemetry::EventLog& mLog;
  std::vector<std::unique_ptr<stores::TableWatcher>> mWatchers;
  stores::RowKeeper mKeeper;
};

} // namespace boragepitch::tools
