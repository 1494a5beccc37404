#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <json/value.h>

#include "engine/ChunkStore.h"
#include "engine/PrefixCache.h"
#include "engine/Scheduler.h"
#include "net/HttpServer.h"

namespace boragepitch::standin {

struct EngineOptions
{
  size_t capacity = 16;      ///< Slots of the running batch.
  size_t maxWaiting = 64;    ///< Requests that wait for a slot; more are refused.
  size_t coldLimit = 2;      ///< Concurrent requests above which a cold engine crashes.
  size_t warmLimit = 16;     ///< Advertised only.
  double tokenMs = 5;        ///< Time between tokens of a request that runs alone.
  double batchSlope = 1;     ///< Share by which a full batch lengthens the time between tokens.
  double prefillBlockMs = 0; ///< Time for each prompt block that is not cached.
  int64_t coldMs = 2000;
  int64_t restartMs = 1000;
  int64_t loadMs = 100; ///< Duration of a load order.
  int64_t loadLagMs = 200;
  int64_t eventLagMs = 300;
  double eventGapPercent = 2;
  size_t cacheBlocks = 4096;
  uint64_t memoryBytes = 0; ///< Maximum of staged bytes; 0 means no limit.
  bool honourFencing = false;
  std::string role = "general";
};

/** Injected faults of one engine, kept across its restarts. */
struct EngineFaults
{
  std::atomic<int64_t> stallUntilMs{ 0 };
  std::atomic<int64_t> cutStreams{ 0 };
};

/**
 * One boot of an engine: everything in it is lost when it dies, and the next boot has another
 * instance id. Thread-safe.
 */
class Endpoint : public std::enable_shared_from_this<Endpoint>
{
public:
  Endpoint(const EngineOptions& aOptions,
           std::shared_ptr<ChunkStore> aChunks,
           std::shared_ptr<EngineFaults> aFaults,
           std::string aInstance,
           uint64_t aSeed);

  void addRoutes(net::HttpServer& aServer);
  /** Breaks every response in progress; the instance does nothing afterwards. */
  void die();
  bool isDead() const { return mDead; }
  /** Waits until the endpoint is dead. */
  void waitForDeath();
  void turnCold();

private:
  struct Staged
  {
    std::string model;
    std::string version;
    uint64_t size = 0;
    uint64_t chunkSize = 0;
    size_t present = 0;
    std::vector<ChunkPtr> chunks;
  };
  struct Loaded
  {
    std::string version;
    std::string manifest;
    std::string sha256; ///< Of the bytes that were staged when the load order ran.
  };
  struct Run
  {
    std::atomic<bool> cancelled{ false };
    std::atomic<bool> done{ false };
    std::atomic<int64_t> tokens{ 0 };
  };
  struct Generation
  {
    std::string requestId;
    std::string model;
    std::string prompt;
    int64_t maxTokens = 0;
    int64_t resumeFrom = 0;
    int priority = 0;
    int64_t cutAt = -1; ///< Index of the token before which the stream is cut; -1 for never.
  };
  using Handler = net::HttpResponse (Endpoint::*)(const net::HttpRequest&);

  void addRoute(net::HttpServer& aServer, const char* aMethod, const char* aPath, Handler aHandler);
  net::HttpResponse state(const net::HttpRequest& aRequest);
  net::HttpResponse stage(const net::HttpRequest& aRequest);
  net::HttpResponse unstage(const net::HttpRequest& aRequest);
  net::HttpResponse putChunk(const net::HttpRequest& aRequest);
  net::HttpResponse chunk(const net::HttpRequest& aRequest);
  net::HttpResponse order(const net::HttpRequest& aRequest);
  net::HttpResponse generate(const net::HttpRequest& aRequest);
  net::HttpResponse cancel(const net::HttpRequest& aRequest);
  net::HttpResponse outcome(const net::HttpRequest& aRequest);
  net::HttpResponse events(const net::HttpRequest& aRequest);

  net::HttpResponse load(const Json::Value& aOrder);
  Json::Value stagedState() const;
  Json::Value loadedState() const;
  bool isCold() const;
  void waitOutStall() const;
  std::shared_ptr<const Loaded> loadedModel(const std::string& aModel) const;
  std::shared_ptr<Run> beginRun(const std::string& aRequestId);
  void endRun(const std::string& aRequestId, const std::shared_ptr<Run>& aRun);
  net::StreamEnd runStream(const Generation& aGeneration,
                           const std::shared_ptr<Run>& aRun,
                           net::StreamWriter& aWriter);
  net::StreamEnd emitTokens(const Generation& aGeneration, Run& aRun, net::StreamWriter& aWriter);
  bool pauseUntil(base::TimePoint aDue, const Run& aRun) const;
  base::Duration tokenInterval() const;
  int64_t drawCut(const Generation& aGeneration);

  const EngineOptions mOptions;
  const std::shared_ptr<ChunkStore> mChunks;
  const std::shared_ptr<EngineFaults> mFaults;
  const std::string mInstance;
  Scheduler mScheduler;
  PrefixCache mCache;
  std::atomic<bool> mDead{ false };
  std::atomic<int64_t> mColdUntilMs{ 0 };
  std::atomic<size_t> mInFlight{ 0 };
  mutable std::mutex mMutex;
  std::condition_variable mDeath;
  std::map<std::string, Staged> mStaged;
  std::map<std::string, std::shared_ptr<const Loaded>> mLoaded;
  std::map<std::string, std::shared_ptr<Run>> mRuns;
  std::deque<std::pair<std::string, std::shared_ptr<Run>>> mFinished;
  int64_t mFencing = 0;
  std::string mRole;
};

} // namespace boragepitch::standin
