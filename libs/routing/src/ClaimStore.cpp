#include "routing/ClaimStore.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "base/Digest.h"
#include "base/Json.h"
#include "routing/ClaimCore.h"

namespace boragepitch::routing {

namespace {

using base::ErrorKind;

tl::unexpected<base::Error> unavailable(const std::string& aField, const std::string& aMessage)
{
  auto error = base::fail(ErrorKind::Unavailable, aField, aMessage, "nothing was run; retry later");
  error.value().retryAfter = std::chrono::seconds(1);
  return error;
}

/** Replaces a long name by its hash, since callers choose the keys and the table limits their
 * length. */
std::string boundedKeyPart(std::string_view aText)
{
  constexpr size_t kMaxLength = 200;
  if (aText.size() <= kMaxLength) {
    return std::string(aText);
  }
  return "sha256:" + base::toHex(base::sha256(base::asBytes(aText)));
}

} // namespace

std::string claimKey(std::string_view aWorkspace, std::string_view aKey)
{
  // Workspace names contain no slash, so different pairs never share a row.
  return "claim/" + boundedKeyPart(aWorkspace) + "/" + boundedKeyPart(aKey);
}

std::string encodeClaim(const Claim& aClaim)
{
  Json::Value value;
  value["state"] = aClaim.state == ClaimState::Done ? "done" : "claimed";
  value["id"] = aClaim.id;
  value["owner"] = aClaim.owner;
  value["fingerprint"] = aClaim.fingerprint;
  if (aClaim.state == ClaimState::Done) {
    value["status"] = aClaim.serviceResponse.status;
    value["type"] = aClaim.serviceResponse.contentType;
    value["kept"] = aClaim.responseKept;
    // In hex, since a body may hold bytes that are not valid in JSON text.
    value["body"] = base::toHex(base::asBytes(aClaim.serviceResponse.body));
  }
  return base::writeJson(value);
}

namespace {

std::optional<std::string> fromHex(const std::string& aHex)
{
  std::string bytes;
  auto digit = [](char aChar) {
    return aChar >= '0' && aChar <= '9'   ? aChar - '0'
           : aChar >= 'a' && aChar <= 'f' ? aChar - 'a' + 10
                                          : -1;
  };
  if (aHex.size() % 2 != 0) {
    return std::nullopt;
  }
  for (size_t i = 0; i < aHex.size(); i += 2) {
    if (digit(aHex[i]) < 0 || digit(aHex[i + 1]) < 0) {
      return std::nullopt;
    }
    bytes += static_cast<char>(digit(aHex[i]) * 16 + digit(aHex[i + 1]));
  }
  return bytes;
}

} // namespace

base::Result<Claim> decodeClaim(const stores::Row& aRow)
{
  constexpr size_t kMaxRowBytes = 1 << 20;
  auto corrupt = [&] {
    return base::fail(ErrorKind::Corrupt, aRow.key, "row is not a claim", "inspect the row");
  };
  auto value = base::parseJson(aRow.value, { .bytes = kMaxRowBytes });
  if (!value || !value->isObject()) {
    return corrupt();
  }
  Claim claim;
  std::string state = base::stringOr(*value, "state");
  auto body = fromHex(base::stringOr(*value, "body"));
  if ((state != "done" && state != "claimed") || !body) {
    return corrupt();
  }
  claim.state = state == "done" ? ClaimState::Done : ClaimState::InProgress;
  claim.id = base::stringOr(*value, "id");
  claim.owner = base::stringOr(*value, "owner");
  claim.fingerprint = base::stringOr(*value, "fingerprint");
  claim.serviceResponse.status = static_cast<int>(base::intOr(*value, "status", 0));
  claim.serviceResponse.contentType = base::stringOr(*value, "type");
  claim.serviceResponse.body = *body;
  claim.responseKept = base::boolOr(*value, "kept", true);
  claim.version = aRow.version;
  return claim;
}

struct ClaimStore::Impl
{
  Impl(stores::TableClient& aTable, Options aOptions)
    : table(aTable)
    , options(std::move(aOptions))
    , core(options.maxBatch, options.transactionsPerSecond, options.retryDelay)
  {
    thread = std::thread([this] { run(); });
  }

  /** Submits a write to the thread and waits for its result until aWaitUntil. */
  std::optional<WriteResult> write(RowWrite aWrite, base::TimePoint aWaitUntil)
  {
    std::unique_lock lock(mutex);
    if (stopping || core.pending() >= options.maxQueue) {
      return std::nullopt;
    }
    uint64_t id = ++lastWriteId;
    aWrite.id = id;
    awaitedIds.insert(id);
    core.submit(std::move(aWrite));
    workReady.notify_all();
    resultReady.wait_until(lock, aWaitUntil, [&] { return stopping || results.contains(id); });
    awaitedIds.erase(id);
    auto found = results.find(id);
    if (found == results.end()) {
      return std::nullopt;
    }
    WriteResult result = std::move(found->second);
    results.erase(found);
    return result;
  }

  /** Schedules the removal of a claim that was given up but may still be written. */
  void scheduleRemoval(const Claim& aClaim, const std::string& aKey)
  {
    std::lock_guard lock(mutex);
    if (abandoned.size() < options.maxQueue) {
      abandoned.emplace(aKey, aClaim.id);
    }
  }

  void publishResults(std::vector<WriteResult> aResults)
  {
    for (WriteResult& result : aResults) {
      if (awaitedIds.contains(result.id)) {
        results[result.id] = std::move(result);
      }
    }
    resultReady.notify_all();
  }

  void run()
  {
    std::unique_lock lock(mutex);
    while (!stopping) {
      auto now = std::chrono::steady_clock::now();
      publishResults(core.expire(now));
      if (!step(lock, now) && !stopping) {
        auto until = std::min(core.nextActionTime(now), now + std::chrono::seconds(1));
        workReady.wait_until(lock, until);
      }
    }
  }

  /** Does one read or transaction; false when there was nothing to do. */
  bool step(std::unique_lock<std::mutex>& aLock, base::TimePoint aNow)
  {
    auto keys = core.keysToRead();
    if (!keys.empty() && aNow >= nextReadAt) {
      aLock.unlock();
      auto rows = table.read(keys);
      aLock.lock();
      auto now = std::chrono::steady_clock::now();
      nextReadAt = rows ? now : now + options.retryDelay;
      publishResults(core.onRowsRead(rows, now));
      return true;
    }
    auto transaction = core.takeTransaction(aNow);
    if (!transaction.checks.empty()) {
      transaction.id = options.owner + "-" + options.incarnation + "-" + transaction.id;
      aLock.unlock();
      auto committed = table.commit(transaction);
      aLock.lock();
      publishResults(core.onCommitted(committed, std::chrono::steady_clock::now()));
      return true;
    }
    return removeAbandoned(aLock, aNow);
  }

  bool removeAbandoned(std::unique_lock<std::mutex>& aLock, base::TimePoint aNow)
  {
    if (abandoned.empty() || aNow < nextCleanupAt) {
      return false;
    }
    nextCleanupAt = aNow + std::chrono::seconds(1);
    auto [key, id] = *abandoned.begin();
    aLock.unlock();
    auto rows = table.read({ key });
    aLock.lock();
    if (!rows) {
      return true;
    }
    abandoned.erase(key);
    if (!rows->empty()) {
      auto claim = decodeClaim(rows->front());
      if (claim && claim->id == id && claim->state == ClaimState::InProgress) {
        core.submit({ ++lastWriteId, key, {}, claim->version, aNow + options.retryTimeout });
      }
    }
    return true;
  }

  stores::TableClient& table;
  const Options options;
  std::mutex mutex;
  std::condition_variable workReady;
  std::condition_variable resultReady;
  ClaimCore core;
  uint64_t lastWriteId = 0;
  uint64_t lastClaimNumber = 0;
  std::set<uint64_t> awaitedIds;
  std::map<uint64_t, WriteResult> results;
  std::map<std::string, std::string> abandoned; ///< Claim id by row key.
  base::TimePoint nextReadAt;
  base::TimePoint nextCleanupAt;
  bool stopping = false;
  std::thread thread;
};

ClaimStore::ClaimStore(stores::TableClient& aTable, Options aOptions)
  : mImpl(std::make_unique<Impl>(aTable, std::move(aOptions)))
{
}

ClaimStore::~ClaimStore()
{
  stop();
}

void ClaimStore::stop()
{
  {
    std::lock_guard lock(mImpl->mutex);
    mImpl->stopping = true;
  }
  mImpl->workReady.notify_all();
  mImpl->resultReady.notify_all();
  if (mImpl->thread.joinable()) {
    mImpl->thread.join();
  }
}

base::Result<ClaimResult> ClaimStore::acquire(std::string_view aWorkspace,
                                              std::string_view aKey,
                                              std::string_view aFingerprint,
                                              base::Duration aTimeout)
{
  Claim claim;
  claim.state = ClaimState::InProgress;
  claim.owner = mImpl->options.owner;
  claim.fingerprint = aFingerprint;
  {
    std::lock_guard lock(mImpl->mutex);
    claim.id = claim.owner + "-" + mImpl->options.incarnation + "-" +
               std::to_string(++mImpl->lastClaimNumber);
  }
  std::string key = claimKey(aWorkspace, aKey);
  auto deadline = std::chrono::steady_clock::now() + aTimeout;
  auto result = mImpl->write({ 0, key, encodeClaim(claim), 0, deadline }, deadline);
  if (!result || result->outcome == WriteOutcome::Expired) {
    mImpl->scheduleRemoval(claim, key);
    return unavailable(key, "the table service did not confirm the claim in time");
  }
  if (result->outcome == WriteOutcome::Written) {
    claim.version = result->row.version;
    return ClaimResult{ true, std::move(claim) };
  }
  if (result->row.version == 0) {
    return unavailable(key, "the claim changed at the same time");
  }
  auto existing = decodeClaim(result->row);
  if (!existing) {
    return tl::make_unexpected(existing.error());
  }
  return ClaimResult{ false, std::move(*existing) };
}

bool ClaimStore::finish(std::string_view aWorkspace,
                        std::string_view aKey,
                        const Claim& aClaim,
                        ServiceResponse aServiceResponse,
                        base::Duration aTimeout)
{
  Claim done = aClaim;
  done.state = ClaimState::Done;
  done.responseKept = aServiceResponse.body.size() <= mImpl->options.maxResponseBytes;
  done.serviceResponse = std::move(aServiceResponse);
  if (!done.responseKept) {
    done.serviceResponse.body.clear();
  }
  auto now = std::chrono::steady_clock::now();
  auto result = mImpl->write({ 0,
                               claimKey(aWorkspace, aKey),
                               encodeClaim(done),
                               aClaim.version,
                               now + mImpl->options.retryTimeout },
                             now + aTimeout);
  return result && result->outcome == WriteOutcome::Written;
}

bool ClaimStore::release(std::string_view aWorkspace,
                         std::string_view aKey,
                         const Claim& aClaim,
                         base::Duration aTimeout)
{
  auto now = std::chrono::steady_clock::now();
  auto result = mImpl->write(
    { 0, claimKey(aWorkspace, aKey), {}, aClaim.version, now + mImpl->options.retryTimeout },
    now + aTimeout);
  return result && result->outcome == WriteOutcome::Written;
}

base::Result<Claim> ClaimStore::lookUp(std::string_view aWorkspace, std::string_view aKey)
{
  std::string key = claimKey(aWorkspace, aKey);
  auto rows = mImpl->table.read({ key });
  if (!rows) {
    return tl::make_unexpected(rows.error());
  }
  return rows->empty() ? Claim{} : decodeClaim(rows->front());
}

} // namespace boragepitch::routing
