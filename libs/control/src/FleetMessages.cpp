#include "FleetCore.h"

#include <algorithm>

#include "base/Json.h"

namespace boragepitch::control {

namespace {

using base::ErrorKind;

// Limits for lists in one message; the rest follows in later exchanges.
constexpr Json::ArrayIndex kMaxItems = 4096;
constexpr size_t kMaxHashes = 4096;
// In the largest fleet a bucket holds 29 records (232 bytes of hashes); answers stay below 4 KB.
constexpr size_t kMaxBucketsSent = 16;
constexpr size_t kMaxEntriesSent = 256;
constexpr size_t kMaxPushBytes = 64 << 10;
constexpr size_t kMaxRegionBytes = 256;

tl::unexpected<base::Error> malformed(const std::string& aField)
{
  return base::fail(ErrorKind::Invalid,
                    "fleet." + aField,
                    "missing or malformed",
                    "run the same version in all processes");
}

bool isList(const Json::Value& aValue)
{
  return aValue.isNull() || (aValue.isArray() && aValue.size() <= kMaxItems);
}

std::optional<std::set<uint32_t>> hashSet(const Json::Value& aValue)
{
  if (!aValue.isString()) {
    return std::nullopt;
  }
  auto hashes = decodeHashes(aValue.asString());
  if (!hashes || hashes->size() > kMaxHashes) {
    return std::nullopt;
  }
  return std::set<uint32_t>(hashes->begin(), hashes->end());
}

std::optional<uint64_t> revisionOf(const Json::Value& aMessage)
{
  if (!aMessage.isObject() || !aMessage["rev"].isInt64() || aMessage["rev"].asInt64() < 0) {
    return std::nullopt;
  }
  return static_cast<uint64_t>(aMessage["rev"].asInt64());
}

/** Bucket numbers and hashes in the answer to an exchange. */
using BucketHashes = std::vector<std::pair<size_t, std::set<uint32_t>>>;

std::optional<BucketHashes> decodeBuckets(const Json::Value& aList)
{
  if (!isList(aList) || aList.size() > kBuckets) {
    return std::nullopt;
  }
  BucketHashes buckets;
  for (const Json::Value& item : aList) {
    bool isWellFormed = item.isArray() && item.size() == 2 && item[0].isInt() &&
                        item[0].asInt() >= 0 && item[0].asInt() < static_cast<int>(kBuckets);
    auto hashes = isWellFormed ? hashSet(item[1]) : std::nullopt;
    if (!hashes) {
      return std::nullopt;
    }
    buckets.emplace_back(item[0].asInt(), std::move(*hashes));
  }
  return buckets;
}

Json::Value differingBuckets(const NodeMerge& aNodes,
                             const std::vector<uint32_t>& aPeerDigest,
                             base::Rng& aRng)
{
  Json::Value buckets(Json::arrayValue);
  // Starts at a random bucket, so that the limit does not always leave out the same ones.
  size_t start = base::uniformBelow<size_t>(aRng, kBuckets);
  for (size_t i = 0; i < kBuckets && buckets.size() < kMaxBucketsSent; ++i) {
    size_t bucket = (start + i) % kBuckets;
    if (aNodes.digest()[bucket] != aPeerDigest[bucket]) {
      Json::Value item(Json::arrayValue);
      item.append(static_cast<int>(bucket));
      item.append(encodeHashes(aNodes.bucketHashes(bucket)));
      buckets.append(std::move(item));
    }
  }
  return buckets;
}

} // namespace

// -- Encoding and decoding

Json::Value FleetCore::encodeRecord(const std::string& aId) const
{
  const NodeEntry* entry = mNodes.find(aId);
  Json::Value item(Json::arrayValue);
  item.append(encodeNode(entry->state));
  item.append(static_cast<int>(entry->liveness));
  return item;
}

base::Result<std::vector<FleetCore::Record>> FleetCore::decodeRecords(const Json::Value& aList)
{
  std::vector<Record> records;
  if (!isList(aList)) {
    return malformed("records");
  }
  for (const Json::Value& item : aList) {
    bool isWellFormed = item.isArray() && item.size() == 2 && item[1].isInt() &&
                        item[1].asInt() >= 0 && item[1].asInt() <= static_cast<int>(Liveness::Dead);
    if (!isWellFormed) {
      return malformed("records");
    }
    auto state = decodeNode(item[0]);
    if (!state) {
      return tl::make_unexpected(state.error());
    }
    records.push_back({ std::move(*state), static_cast<Liveness>(item[1].asInt()) });
  }
  return records;
}

base::Result<std::vector<RecordHead>> FleetCore::decodeHeads(const Json::Value& aList)
{
  std::vector<RecordHead> heads;
  if (!isList(aList)) {
    return malformed("have");
  }
  for (const Json::Value& item : aList) {
    auto head = decodeHead(item);
    if (!head) {
      return tl::make_unexpected(head.error());
    }
    heads.push_back(std::move(*head));
  }
  return heads;
}

base::Result<std::vector<LogEntry>> FleetCore::decodeEntries(const Json::Value& aList) const
{
  std::vector<LogEntry> entries;
  if (!isList(aList)) {
    return malformed("entries");
  }
  for (const Json::Value& item : aList) {
    auto entry = decodeEntry(item, mCodec);
    if (!entry) {
      return tl::make_unexpected(entry.error());
    }
    entries.push_back(std::move(*entry));
  }
  return entries;
}

Json::Value FleetCore::recordsWithinBudget(const std::vector<std::string>& aIds,
                                           base::TimePoint aNow)
{
  Json::Value records(Json::arrayValue);
  for (const std::string& id : aIds) {
    Json::Value record = encodeRecord(id);
    if (!mRecordBudget.tryTake(static_cast<double>(base::writeJson(record).size()), aNow)) {
      break;
    }
    records.append(std::move(record));
  }
  return records;
}

// -- fleet.exchange

Json::Value FleetCore::exchangeRequest(const std::string& aPeerId) const
{
  const BucketDigest& digest = mNodes.digest();
  Json::Value request;
  request["from"] = mNodes.self().controlAddress.toString();
  request["rev"] = Json::UInt64(mConfig.revision());
  request["digest"] = encodeHashes({ digest.begin(), digest.end() });
  if (const NodeEntry* peer = mNodes.find(aPeerId)) {
    request["you"] = encodeHead(headOf(*peer));
  }
  return request;
}

base::Result<Json::Value> FleetCore::answerExchange(const Json::Value& aRequest,
                                                    base::TimePoint aNow,
                                                    base::Rng& aRng)
{
  if (!revisionOf(aRequest)) {
    return malformed("rev");
  }
  auto digest = decodeHashes(base::stringOr(aRequest, "digest"));
  if (!digest || digest->size() != kBuckets) {
    return malformed("digest");
  }
  RecordHead peerView;
  if (aRequest.isMember("you")) {
    auto head = decodeHead(aRequest["you"]);
    if (!head) {
      return tl::make_unexpected(head.error());
    }
    peerView = std::move(*head);
  }
  const std::string& selfId = mNodes.self().id;
  if (peerView.id == selfId) {
    mergeHead(peerView, aNow);
  }
  notePeerRevision(aRequest);
  const NodeState& self = mNodes.self();
  Json::Value answer;
  answer["id"] = selfId;
  answer["region"] = self.region;
  answer["rev"] = Json::UInt64(mConfig.revision());
  answer["evidence"] = encodeAges(mFreshness.ages(aNow));
  bool known = peerView.id == selfId && peerView.incarnation == self.incarnation &&
               peerView.sequence == self.sequence && peerView.liveness == Liveness::Alive;
  if (!known) {
    answer["me"].append(encodeRecord(selfId));
  }
  Json::Value buckets = differingBuckets(mNodes, *digest, aRng);
  if (!buckets.empty()) {
    answer["buckets"] = std::move(buckets);
  }
  return answer;
}

base::Result<ExchangeAnswer> FleetCore::handleExchangeAnswer(const Json::Value& aAnswer,
                                                             base::TimePoint aSent,
                                                             base::TimePoint aNow)
{
  auto revision = revisionOf(aAnswer);
  if (!revision) {
    return malformed("rev");
  }
  ExchangeAnswer answer{ .id = base::stringOr(aAnswer, "id"),
                         .region = base::stringOr(aAnswer, "region"),
                         .revision = *revision,
                         .ages = {},
                         .sent = aSent,
                         .reconcile = {} };
  auto ages = decodeAges(aAnswer["evidence"]);
  auto peerRecord = decodeRecords(aAnswer["me"]);
  auto buckets = decodeBuckets(aAnswer["buckets"]);
  bool isValid = !answer.id.empty() && answer.region.size() <= kMaxRegionBytes;
  if (!ages || !peerRecord || !buckets || !isValid) {
    return malformed("exchange");
  }
  // A seed address may be this process's own; answering itself is no evidence of contact.
  if (answer.id == mNodes.self().id) {
    return base::fail(ErrorKind::Invalid, "fleet.id", "the peer is this process", "");
  }
  answer.ages = std::move(*ages);
  merge(*peerRecord, aNow);
  Json::Value have(Json::arrayValue);
  std::vector<uint32_t> want;
  for (const auto& [bucket, peerHashes] : *buckets) {
    for (const RecordHead& head : mNodes.headsMissingFrom(bucket, peerHashes)) {
      have.append(encodeHead(head));
    }
    std::vector<uint32_t> ownHashes = mNodes.bucketHashes(bucket);
    for (uint32_t hash : peerHashes) {
      if (std::find(ownHashes.begin(), ownHashes.end(), hash) == ownHashes.end()) {
        want.push_back(hash);
      }
    }
  }
  if (!have.empty() || !want.empty()) {
    Json::Value request;
    request["have"] = std::move(have);
    request["want"] = encodeHashes(want);
    answer.reconcile = std::move(request);
  }
  return answer;
}

bool FleetCore::applyEvidence(const ExchangeAnswer& aAnswer)
{
  if (mConfig.revision() < aAnswer.revision) {
    return false;
  }
  mFreshness.peerAnswered(aAnswer.region, aAnswer.ages, aAnswer.sent);
  return true;
}

// -- fleet.deliver

base::Result<Json::Value> FleetCore::answerDeliver(const Json::Value& aRequest,
                                                   base::TimePoint aNow)
{
  if (!aRequest.isObject()) {
    return malformed("deliver");
  }
  auto records = decodeRecords(aRequest["records"]);
  auto heads = decodeHeads(aRequest["have"]);
  auto entries = decodeEntries(aRequest["entries"]);
  auto want = aRequest.isMember("want") ? hashSet(aRequest["want"]) : std::set<uint32_t>();
  if (!records || !heads || !entries || !want) {
    return malformed("deliver");
  }
  merge(*records, aNow);
  adopt(*entries);
  notePeerRevision(aRequest);
  Json::Value answer;
  answer["rev"] = Json::UInt64(mConfig.revision());
  std::set<std::string> newerAtPeer;
  for (const RecordHead& head : *heads) {
    mergeHead(head, aNow);
    if (mNodes.isNewer(head)) {
      answer["need"].append(head.id);
      newerAtPeer.insert(head.id);
    }
  }
  std::vector<std::string> ids = mNodes.idsWithHashes(*want);
  std::erase_if(ids, [&](const std::string& aId) { return newerAtPeer.count(aId) != 0; });
  Json::Value recordsToSend = recordsWithinBudget(ids, aNow);
  if (!recordsToSend.empty()) {
    answer["records"] = std::move(recordsToSend);
  }
  return answer;
}

base::Result<std::optional<Json::Value>> FleetCore::handleDeliverAnswer(const Json::Value& aAnswer,
                                                                        base::TimePoint aNow)
{
  if (!aAnswer.isObject()) {
    return malformed("deliver");
  }
  auto records = decodeRecords(aAnswer["records"]);
  if (!records || !isList(aAnswer["need"])) {
    return malformed("deliver");
  }
  merge(*records, aNow);
  std::vector<std::string> ids;
  for (const Json::Value& item : aAnswer["need"]) {
    if (item.isString() && mNodes.find(item.asString()) != nullptr) {
      ids.push_back(item.asString());
    }
  }
  Json::Value recordsToSend = recordsWithinBudget(ids, aNow);
  if (recordsToSend.empty()) {
    return std::optional<Json::Value>();
  }
  Json::Value request;
  request["records"] = std::move(recordsToSend);
  return std::optional(std::move(request));
}

std::optional<Json::Value> FleetCore::pushRequest(uint64_t aAfter,
                                                  const Effects& aEffects,
                                                  base::TimePoint aNow)
{
  Json::Value request;
  if (mConfig.revision() > aAfter) {
    Json::Value list(Json::arrayValue);
    auto entries = mConfig.entriesAfter(aAfter, kMaxEntriesSent);
    for (const LogEntry& entry : entries.value_or(std::vector<LogEntry>())) {
      list.append(encodeEntry(entry, mCodec));
    }
    // A receiver that gets no usable entries sees the higher revision and pulls.
    if (base::writeJson(list).size() <= kMaxPushBytes) {
      request["entries"] = std::move(list);
    }
  }
  size_t bytes = 0;
  for (const std::string& id : aEffects.urgentNodes) {
    if (mNodes.find(id) == nullptr) {
      continue;
    }
    Json::Value record = encodeRecord(id);
    bytes += base::writeJson(record).size();
    // Later exchanges deliver the records that do not fit.
    if (bytes > kMaxPushBytes) {
      break;
    }
    request["records"].append(std::move(record));
  }
  for (const std::string& id : aEffects.urgentLiveness) {
    if (const NodeEntry* entry = mNodes.find(id)) {
      request["have"].append(encodeHead(headOf(*entry)));
    }
  }
  if (request.isNull() && mConfig.revision() <= aAfter) {
    return std::nullopt;
  }
  request["from"] = mNodes.self().controlAddress.toString();
  request["rev"] = Json::UInt64(mConfig.revision());
  mRecordBudget.takeAlways(static_cast<double>(base::writeJson(request).size()), aNow);
  return request;
}

// -- fleet.pull

Json::Value FleetCore::pullRequest(bool aWithNodes) const
{
  Json::Value request;
  request["rev"] = Json::UInt64(mConfig.revision());
  request["nodes"] = aWithNodes;
  return request;
}

base::Result<Json::Value> FleetCore::answerPull(const Json::Value& aRequest) const
{
  auto revision = revisionOf(aRequest);
  if (!revision) {
    return malformed("rev");
  }
  Json::Value answer;
  answer["rev"] = Json::UInt64(mConfig.revision());
  if (auto entries = mConfig.entriesAfter(*revision, kMaxEntriesSent)) {
    answer["entries"] = Json::Value(Json::arrayValue);
    for (const LogEntry& entry : *entries) {
      answer["entries"].append(encodeEntry(entry, mCodec));
    }
  } else {
    answer["snapshot"] = Json::Value(Json::arrayValue);
    for (const auto& [key, resource] : mConfig.snapshot()->all()) {
      answer["snapshot"].append(mCodec.encode(*resource));
    }
  }
  if (base::boolOr(aRequest, "nodes", false)) {
    for (const auto& [id, entry] : mNodes.table()) {
      answer["nodes"].append(encodeRecord(id));
    }
  }
  return answer;
}

base::Status FleetCore::handlePullAnswer(const Json::Value& aAnswer, base::TimePoint aNow)
{
  auto revision = revisionOf(aAnswer);
  if (!revision) {
    return malformed("rev");
  }
  auto records = decodeRecords(aAnswer["nodes"]);
  auto entries = decodeEntries(aAnswer["entries"]);
  if (!records || !entries) {
    return malformed("pull");
  }
  resources::Snapshot::Map resources;
  bool hasSnapshot = aAnswer.isMember("snapshot");
  if (hasSnapshot && !aAnswer["snapshot"].isArray()) {
    return malformed("snapshot");
  }
  for (const Json::Value& item : aAnswer["snapshot"]) {
    auto resource = mCodec.decode(item);
    if (!resource) {
      return tl::make_unexpected(resource.error());
    }
    resources::Snapshot::Key key(resource->kind, resource->name);
    resources[key] = std::make_shared<const resources::Resource>(std::move(*resource));
  }
  merge(*records, aNow, NewEntries::Keep);
  if (hasSnapshot) {
    adopt(std::make_shared<const resources::Snapshot>(*revision, std::move(resources)));
  }
  adopt(*entries);
  return {};
}

} // namespace boragepitch::control
