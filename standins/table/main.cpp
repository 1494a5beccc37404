#include <atomic>
#include <mutex>

#include "base/Json.h"
#include "base/Limits.h"
#include "common/Program.h"
#include "table/TableStore.h"

using namespace boragepitch;
using namespace boragepitch::standin;

namespace {

const char kUsage[] = R"(standin-table: transactional table service in memory.

Usage: standin-table --listen ADDRESS [options]

Options:
  --listen ADDRESS   IP number and port to listen on.
  --writes-per-s N   Transactions a second [default: 400].
  --reads-per-s N    Reads a second [default: 2000].
  -h --help          Show this text.
)";

constexpr int64_t kDefaultScanLimit = 1000;
constexpr size_t kMaxBodyBytes = 16 << 20;
/** Burst size of the rate limit, in seconds of requests. */
constexpr double kBurstSeconds = 0.5;

class RateLimit
{
public:
  explicit RateLimit(double aRate)
    : mBucket(aRate, aRate * kBurstSeconds, std::chrono::steady_clock::now())
  {
  }

  bool allows()
  {
    std::lock_guard lock(mMutex);
    return mBucket.tryTake(1, std::chrono::steady_clock::now());
  }

  void setRate(double aRate)
  {
    std::lock_guard lock(mMutex);
    mBucket.setRate(aRate, std::chrono::steady_clock::now());
  }

private:
  std::mutex mMutex;
  base::TokenBucket mBucket;
};

Transaction parseTransaction(const Json::Value& aBody)
{
  Transaction transaction;
  for (const Json::Value& check : aBody["checks"]) {
    transaction.checks.emplace_back(base::stringOr(check, "key"), base::intOr(check, "version", 0));
  }
  for (const Json::Value& put : aBody["puts"]) {
    transaction.puts.emplace_back(base::stringOr(put, "key"), base::stringOr(put, "value"));
  }
  for (const Json::Value& key : aBody["deletes"]) {
    transaction.deletes.push_back(key.asString());
  }
  return transaction;
}

net::HttpResponse toResponse(const CommitResult& aResult)
{
  Json::Value body;
  body["committed"] = aResult.committed;
  if (aResult.committed) {
    body["version"] = Json::Int64(aResult.version);
    return jsonResponse(body);
  }
  body["conflicts"] = Json::arrayValue;
  for (const auto& [key, version] : aResult.conflicts) {
    Json::Value conflict;
    conflict["key"] = key;
    conflict["version"] = Json::Int64(version);
    body["conflicts"].append(conflict);
  }
  return jsonResponse(body, 409);
}

net::HttpResponse toResponse(const ReadResult& aResult)
{
  Json::Value body;
  body["sequence"] = Json::Int64(aResult.sequence);
  body["rows"] = Json::arrayValue;
  for (const Row& row : aResult.rows) {
    Json::Value item;
    item["key"] = row.key;
    item["value"] = row.value;
    item["version"] = Json::Int64(row.version);
    body["rows"].append(item);
  }
  return jsonResponse(body);
}

class TableService
{
public:
  TableService(double aWritesPerSecond, double aReadsPerSecond)
    : mWriteLimit(aWritesPerSecond)
    , mReadLimit(aReadsPerSecond)
  {
  }

  void addRoutes(net::HttpServer& aServer)
  {
    aServer.route("POST", "/txn", [this](const auto& aRequest) {
      return guarded(aRequest, mWriteLimit, [this](const auto& aBody) { return commit(aBody); });
    });
    aServer.route("POST", "/read", [this](const auto& aRequest) {
      return guarded(aRequest, mReadLimit, [this](const auto& aBody) { return read(aBody); });
    });
    aServer.route("POST", "/fault", [this](const auto& aRequest) { return fault(aRequest); });
    aServer.route("GET", "/stats", [this](const auto&) { return stats(); });
  }

private:
  template<typename Action>
  net::HttpResponse guarded(const net::HttpRequest& aRequest, RateLimit& aLimit, Action aAction)
  {
    mFaults.delay();
    if (mFaults.inOutage()) {
      ++mFailed;
      return errorResponse(503, "unavailable", "outage", 1000);
    }
    if (!aLimit.allows()) {
      ++mLimited;
      return errorResponse(429, "unavailable", "rate limit exceeded", 1000);
    }
    auto body = base::parseJson(aRequest.body, { .bytes = kMaxBodyBytes });
    if (!body || !body->isObject()) {
      return errorResponse(400, "invalid", body ? "not an object" : body.error().describe());
    }
    return aAction(*body);
  }

  net::HttpResponse commit(const Json::Value& aBody)
  {
    CommitResult result = mStore.commit(parseTransaction(aBody));
    ++(result.committed ? mCommits : mConflicts);
    if (mFaults.takeLostAnswer()) {
      ++mLost;
      return lostResponse();
    }
    return toResponse(result);
  }

  net::HttpResponse read(const Json::Value& aBody)
  {
    ++mReads;
    if (!aBody.isMember("keys")) {
      auto limit = std::max<int64_t>(0, base::intOr(aBody, "limit", kDefaultScanLimit));
      return toResponse(mStore.scan(
        base::stringOr(aBody, "prefix"), base::stringOr(aBody, "after"), size_t(limit)));
    }
    std::vector<std::string> keys;
    for (const Json::Value& key : aBody["keys"]) {
      keys.push_back(key.asString());
    }
    return toResponse(mStore.read(keys));
  }

  net::HttpResponse fault(const net::HttpRequest& aRequest)
  {
    auto body = base::parseJson(aRequest.body);
    if (!body) {
      return errorResponse(400, "invalid", body.error().describe());
    }
    mFaults.apply(*body);
    if (body->isMember("writesPerS")) {
      mWriteLimit.setRate((*body)["writesPerS"].asDouble());
    }
    if (body->isMember("readsPerS")) {
      mReadLimit.setRate((*body)["readsPerS"].asDouble());
    }
    return jsonResponse(Json::objectValue);
  }

  net::HttpResponse stats()
  {
    Json::Value body;
    body["rows"] = Json::UInt64(mStore.size());
    body["commits"] = Json::UInt64(mCommits);
    body["conflicts"] = Json::UInt64(mConflicts);
    body["reads"] = Json::UInt64(mReads);
    body["limited"] = Json::UInt64(mLimited);
    body["failed"] = Json::UInt64(mFailed);
    body["lostAnswers"] = Json::UInt64(mLost);
    return jsonResponse(body);
  }

  TableStore mStore;
  CommonFaults mFaults;
  RateLimit mWriteLimit;
  RateLimit mReadLimit;
  std::atomic<uint64_t> mCommits{ 0 };
  std::atomic<uint64_t> mConflicts{ 0 };
  std::atomic<uint64_t> mReads{ 0 };
  std::atomic<uint64_t> mLimited{ 0 };
  std::atomic<uint64_t> mFailed{ 0 };
  std::atomic<uint64_t> mLost{ 0 };
};

} // namespace

int main(int aArgc, char** aArgv)
{
  CommandLine options(kUsage, aArgc, aArgv);
  prepareSignals();
  auto server = net::HttpServer::Builder()
                  .address(options.address("--listen"))
                  .maxConnections(1024)
                  .maxBodyBytes(kMaxBodyBytes)
                  .build();
  TableService service(options.number("--writes-per-s"), options.number("--reads-per-s"));
  service.addRoutes(*server);
  startOrExit(*server);
  runUntilSignal();
}
