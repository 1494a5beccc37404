#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/Address.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/** What ties a program to the platform's store: the tables that it follows and its own row. */
class StoreLinks
{
public:
  StoreLinks(std::string aNode, net::Address aStore, telemetry::EventLog& aLog);
  ~StoreLinks();
  StoreLinks(const StoreLinks&) = delete;
  StoreLinks& operator=(const StoreLinks&) = delete;

  /** Follows a table on a thread of its own.
   * @param aPause in which further changes gather. */
  void watch(const char* aTable,
             stores::TableListener& aListener,
             base::Milliseconds aWait,
             base::Milliseconds aPause);
  /** Writes the program's row in the table of nodes, again until the store has taken it. */
  void registerNode(std::string aKey, std::string aValue);
  /** A new connection for single calls. */
  std::unique_ptr<stores::RowFeed> feed() const;
  void stop();

private:
  const std::string mNode;
  const net::Address mStore;
  telemetry::EventLog& mLog;
  std::vector<std::unique_ptr<stores::TableWatcher>> mWatchers;
  std::atomic<bool> mStopping{ false };
  std::thread mRegistration;
};

} // namespace boragepitch::tools
