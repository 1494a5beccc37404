#include "StoreConnections.h"

#include "NodeRows.h"
#include "base/Digest.h"
#include "platform/MetadataStoreClient.h"

namespace boragepitch::tools {

namespace {
/** Delay between two attempts to write the program's row. */
constexpr base::Milliseconds kRegistrationRetryDelay{ 500 };
/** Wait time of calls other than long polls for changes. */
constexpr base::Milliseconds kNoWait{ 0 };
} // namespace

StoreConnections::StoreConnections(std::string aNode,
                                   net::Address aStore,
                                   telemetry::EventLog& aLog)
  : mNode(std::move(aNode))
  , mStore(std::move(aStore))
  , mLog(aLog)
{
}

StoreConnections::~StoreConnections()
{
  stop();
}

stores::TableWatcher& StoreConnections::watch(const char* aTable,
                                              stores::TableListener& aListener,
                                              base::Milliseconds aWait,
                                              base::Milliseconds aCoalesceTime,
                                              base::Milliseconds aMaxCoalesceTime)
{
  stores::WatchOptions options;
  options.table = aTable;
  options.wait = aWait;
  options.coalesceTime = aCoalesceTime;
  options.maxCoalesceTime = aMaxCoalesceTime;
  options.seed = base::fastHash(base::asBytes(mNode + aTable));
  auto makeFeed = [this, aWait] {
    return std::make_unique<platform::MetadataStoreClient>(mStore, aWait);
  };
  mWatchers.push_back(
    std::make_unique<stores::TableWatcher>(makeFeed, aListener, std::move(options)));
  mWatchers.back()->start();
  return *mWatchers.back();
}

void StoreConnections::registerNode(std::string aKey, std::string aValue)
{
  mRegistration = std::thread([this, key = std::move(aKey), value = std::move(aValue)] {
    while (!mStopping) {
      auto written = openFeed()->put(kNodeTable, key, value);
      if (written) {
        return;
      }
      mLog.write(telemetry::EventClass::Critical,
                 "registration_failed",
                 { { "error", written.error().describe() } },
                 std::chrono::steady_clock::now());
      std::this_thread::sleep_for(kRegistrationRetryDelay);
    }
  });
}

std::unique_ptr<stores::RowFeed> StoreConnections::openFeed() const
{
  return std::make_unique<platform::MetadataStoreClient>(mStore, kNoWait);
}

void StoreConnections::stop()
{
  mStopping = true;
  for (auto& watcher : mWatchers) {
    watcher->stop();
  }
  if (mRegistration.joinable()) {
    mRegistration.join();
  }
}

} // namespace boragepitch::tools
