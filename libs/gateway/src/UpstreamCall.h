#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "WorkerPool.h"
#include "base/Time.h"
#include "net/HttpClient.h"

namespace boragepitch::gateway {

/** Result of UpstreamCall::next(). */
enum class CallEvent
{
  Head,    ///< Status and headers have arrived.
  Data,    ///< Bytes of the body.
  End,     ///< The body is complete.
  Failed,  ///< See error().
  Timeout, ///< Nothing arrived until the given time.
};

/**
 * HTTP call that runs on a worker thread, so that its reader can wait with a timeout and cancel the
 * call. For a single reader.
 */
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall>
{
public:
  static std::shared_ptr<UpstreamCall> start(WorkerPool& aPool,
                                             std::unique_ptr<net::HttpClient> aClient,
                                             net::ClientRequest aRequest);

  /** Waits for the next part of the response. Data replaces the contents of aData. */
  CallEvent next(std::string& aData, base::TimePoint aUntil);
  /** Valid after Head. */
  const net::ClientResponse& head() const { return mHead; }
  /** Valid after Failed. */
  const base::Error& error() const { return *mError; }
  /** Ends the call and closes its connection. */
  void cancel();
  /** Returns the client for reuse of its connection; null unless the call ended without error. */
  std::unique_ptr<net::HttpClient> takeClient();

private:
  void run(const net::ClientRequest& aRequest);
  bool onHead(const net::ClientResponse& aHead);
  bool onData(std::string_view aBytes);
  void onEnd(base::Result<net::ClientResponse> aResult);

  std::mutex mMutex;
  std::condition_variable mReadable;
  std::condition_variable mWritable;
  std::unique_ptr<net::HttpClient> mClient;
  net::ClientResponse mHead;
  std::optional<base::Error> mError;
  std::string mData;
  bool mHasHead = false;
  bool mHeadTaken = false;
  bool mEnded = false;
  bool mCancelled = false;
};

} // namespace boragepitch::gateway
