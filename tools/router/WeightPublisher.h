#pragma once

#include <map>
#include <set>
#include <string>

#include "WeightRows.h"
#include "serving/Deployment.h"
#include "serving/VersionTiming.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/**
 * Copies what loaders need from the operators' table to the weight table: the declared versions
 * with their declaration times, and the setup of the services with engines. Failed writes are
 * retried. Not thread-safe.
 */
class WeightPublisher
{
public:
  /** @param aMakeFeed opens a connection to the store that holds the weight table. */
  WeightPublisher(stores::TableWatcher::MakeFeed aMakeFeed, telemetry::EventLog& aLog);

  /** Queues the record of a declaration; an existing record of that version is kept. */
  void queueDeclaration(const std::string& aModel, uint64_t aVersion, base::Milliseconds aAt);
  /** Queues the setup of each service with engines; an unchanged setup is not written again. */
  void setDeployment(const serving::Deployment& aDeployment);
  /** The store came back from an older copy: queues all that it may have lost, also the records
   * that other processes wrote, which may be gone by now. */
  void onRestored();
  /** Writes what is queued.
   * @return the models of declarations that another process has recorded before. */
  std::set<std::string> writeQueued(base::TimePoint aNow);

  /** Time since each version of the model was declared, by version, as far as there are valid
   * records. Fails if the store does not answer. */
  base::Result<std::map<uint64_t, base::Milliseconds>> declarationAges(const std::string& aModel,
                                                                       base::TimePoint aNow);

private:
  /** Writes the setup unless its row holds it already: each write wakes every loader, and all
   * entries write the same. */
  static base::Status writeSetup(stores::RowFeed& aFeed,
                                 const std::string& aKey,
                                 const std::string& aValue);

  const stores::TableWatcher::MakeFeed mMakeFeed;
  telemetry::EventLog& mLog;
  struct PendingRecord
  {
    std::string model;
    std::string value;
  };
  /** Remembers a record that is in the store or shall be. */
  void rememberRecord(const std::string& aModel, uint64_t aVersion, const std::string& aValue);

  std::map<std::string, PendingRecord> mPendingRecords; ///< Declarations to be written, by key.
  /** Values of the newest records by model and version. */
  std::map<std::string, std::map<uint64_t, std::string>> mRecords;
  std::map<std::string, std::string> mSetups;        ///< The latest setup of each service, by key.
  std::map<std::string, std::string> mWrittenSetups; ///< Setups already written, by key.
};

} // namespace boragepitch::tools
