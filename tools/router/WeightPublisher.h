#pragma once

#include <map>
#include <string>

#include "WeightRows.h"
#include "serving/Deployment.h"
#include "serving/VersionTiming.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/**
 * Writes to the weight table what entries learn from the operators' one: which versions are
 * declared and since when, and the setup of the services with engines. Rows that could not be
 * written are tried again. Used by one thread.
 */
class WeightPublisher
{
public:
  /** @param aMakeFeed of the store with the system's own tables. */
  WeightPublisher(stores::TableWatcher::MakeFeed aMakeFeed, telemetry::EventLog& aLog);

  /** Queues the record of a declaration; an earlier one stays. */
  void declare(const std::string& aModel, uint64_t aVersion, base::Milliseconds aAt);
  /** Queues the setup of each service with engines where it differs from what was queued last. */
  void setDeployment(const serving::Deployment& aDeployment);
  void writeQueued(base::TimePoint aNow);

  /** How long ago the version was declared; empty where no record can be read. */
  std::optional<base::Milliseconds> ageOf(const std::string& aModel,
                                          uint64_t aVersion,
                                          base::TimePoint aNow);

private:
  const stores::TableWatcher::MakeFeed mMakeFeed;
  telemetry::EventLog& mLog;
  std::map<std::string, std::string> mRecords; ///< Declarations to be written, by key.
  std::map<std::string, std::string> mSetups;  ///< The latest of each service, by key.
  std::map<std::string, std::string> mWritten; ///< Those that were written.
};

} // namespace boragepitch::tools
