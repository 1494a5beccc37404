#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "stores/CopyOrder.h"
#include "stores/TableCopy.h"

namespace boragepitch::stores {

/** An attempt to take a copy from another process. */
struct CopyAttempt
{
  std::string source;
  base::Status status;
  size_t bytes = 0;
  base::Milliseconds duration{ 0 };
};

/** Exchanges copies of one table over HTTP between processes that know each other. Thread-safe,
 * except that fetch() has one caller. */
class PeerCopies final : public TableCopies
{
public:
  /** @param aSelf this process; copies are served at its address.
   * @param aOnAttempt called on the thread of fetch(). */
  PeerCopies(CopyHolder aSelf, std::function<void(const CopyAttempt&)> aOnAttempt);
  ~PeerCopies() override;

  base::Status start();
  void stop();
  /** Sets the other processes. */
  void setHolders(std::vector<CopyHolder> aHolders);

  bool hasSource() override;
  std::optional<TableCopy> fetch(const CopyRequest& aRequest) override;
  void reset(const TableCopy& aCopy) override;
  void apply(const RowPage& aPage, std::optional<uint64_t> aEra, bool aIsLarge) override;
  void setFeed(std::shared_ptr<RowFeed> aFeed) override;
  void cancel() override;

private:
  net::HttpResponse serve(const net::HttpRequest& aRequest);
  base::Result<TableCopy> fetchFrom(const CopyHolder& aSource,
                                    const CopyRequest& aRequest,
                                    size_t& aBytes);
  std::optional<CopyHolder> source();
  /** Grows with what this process, and those that it waits for, have received. */
  uint64_t progress();

  const std::function<void(const CopyAttempt&)> mOnAttempt;
  const std::unique_ptr<net::HttpServer> mServer;
  HeldTable mTable;
  std::atomic<bool> mIsCancelled{ false };
  std::atomic<uint64_t> mReceived{ 0 }; ///< From other processes, and reported by them.
  std::mutex mMutex;                    ///< Guards the members below.
  std::condition_variable mKnown;
  bool mKnowsHolders = false;
  const base::TimePoint mDiscoveryEnd; ///< Until then the first setHolders() is waited for.
  CopyOrder mOrder;
  std::shared_ptr<RowFeed> mFeed;
  std::shared_ptr<net::HttpClient> mClient; ///< Of the fetch in progress.
};

} // namespace boragepitch::stores
