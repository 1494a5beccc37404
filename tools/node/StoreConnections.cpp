#include "StoreConnections.h"

#include "base/Digest.h"
#include "platform/MetadataStoreClient.h"

namespace boragepitch::tools {

namespace {
/** Wait time of calls other than long polls for changes. */
constexpr base::Milliseconds kNoWait{ 0 };
} // namespace

StoreConnections::StoreConnections(std::string aNode,
                                   net::Address aStore,
                                   telemetry::EventLog& aLog)
  : mNode(std::move(aNode))
  , mStore(std::move(aStore))
  , mLog(aLog)
  , mKeeper([this] { return openFeed(); },
            [this](const stores::KeptRow& aRow, const base::Error& aError) {
              mLog.write(
                telemetry::EventClass::Critical,
                "row_not_written",
                { { "table", aRow.table }, { "key", aRow.key }, { "error", aError.describe() } },
                std::chrono::steady_clock::now());
            },
            base::fastHash(base::asBytes(mNode)))
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
                                              base::Milliseconds aMaxCoalesceTime,
                                              stores::TableCopies* aCopies)
{
  stores::WatchOptions options;
  options.table = aTable;
  options.wait = aWait;
  options.coalesceTime = aCoalesceTime;
  options.maxCoalesceTime = aMaxCoalesceTime;
  options.copies = aCopies;
  options.seed = base::fastHash(base::asBytes(mNode + aTable));
  options.onEra = [this](uint64_t aEra) { mKeeper.observeEra(aEra); };
  auto makeFeed = [this, aWait] {
    return std::make_unique<platform::MetadataStoreClient>(mStore, aWait);
  };
  mWatchers.push_back(
    std::make_unique<stores::TableWatcher>(makeFeed, aListener, std::move(options)));
  mWatchers.back()->start();
  return *mWatchers.back();
}

std::unique_ptr<stores::RowFeed> StoreConnections::openFeed() const
{
  return std::make_unique<platform::MetadataStoreClient>(mStore, kNoWait);
}

void StoreConnections::stop()
{
  for (auto& watcher : mWatchers) {
    watcher->stop();
  }
  mKeeper.stop();
}

} // namespace boragepitch::tools
