#include "NodeMerge.h"

#include <algorithm>
#include <tuple>

#include "base/Digest.h"
#include "base/Json.h"

namespace boragepitch::control {

namespace {

// Four times the largest planned fleet; bounds memory if a peer sends made-up ids.
constexpr size_t kMaxNodes = 4096;

// After this time no live process still has a record of a VM that left the list.
constexpr std::chrono::hours kDelistedRetention{ 24 };

uint32_t hashOf(const RecordHead& aHead)
{
  std::string text = aHead.id + "|" + std::to_string(aHead.incarnation) + "|" +
                     std::to_string(aHead.sequence) + "|" +
                     std::to_string(static_cast<int>(aHead.liveness));
  return static_cast<uint32_t>(base::fastHash(base::asBytes(text)));
}

auto version(const NodeState& aState)
{
  return std::pair(aState.incarnation, aState.sequence);
}

auto version(const RecordHead& aHead)
{
  return std::pair(aHead.incarnation, aHead.sequence);
}

bool sameContent(NodeState aLeft, const NodeState& aRight)
{
  aLeft.incarnation = aRight.incarnation;
  aLeft.sequence = aRight.sequence;
  return encodeNode(aLeft) == encodeNode(aRight);
}

} // namespace

size_t bucketOf(const std::string& aId)
{
  return base::fastHash(base::asBytes(aId)) % kBuckets;
}

NodeMerge::NodeMerge(NodeState aSelf, DetectorSettings aSettings)
  : mSettings(aSettings)
  , mSelfId(aSelf.id)
{
  aSelf.sequence = std::max<uint64_t>(aSelf.sequence, 1);
  NodeEntry& entry = mTable[mSelfId];
  entry.state = std::move(aSelf);
  rehash(entry);
}

const NodeEntry* NodeMerge::find(const std::string& aId) const
{
  auto found = mTable.find(aId);
  return found == mTable.end() ? nullptr : &found->second;
}

bool NodeMerge::publish(NodeState aSelf)
{
  NodeEntry& entry = mTable[mSelfId];
  if (sameContent(aSelf, entry.state)) {
    return false;
  }
  aSelf.id = mSelfId;
  aSelf.incarnation = entry.state.incarnation;
  aSelf.sequence = entry.state.sequence + 1;
  entry.state = std::move(aSelf);
  rehash(entry);
  return true;
}

bool NodeMerge::refute(uint64_t aIncarnation, uint64_t aSequence, Liveness aLiveness)
{
  NodeEntry& entry = mTable[mSelfId];
  auto claimedVersion = std::tuple(aIncarnation, aSequence, aLiveness);
  auto ownVersion = std::tuple(entry.state.incarnation, entry.state.sequence, Liveness::Alive);
  if (claimedVersion <= ownVersion) {
    return false;
  }
  // An earlier start may have had a higher incarnation, if the wall clock was set back.
  entry.state.incarnation = std::max(entry.state.incarnation, aIncarnation);
  entry.state.sequence = std::max(entry.state.sequence, aSequence) + 1;
  rehash(entry);
  return true;
}

bool NodeMerge::merge(const NodeState& aState, Liveness aLiveness, base::TimePoint aNow)
{
  if (aState.id == mSelfId) {
    return refute(aState.incarnation, aState.sequence, aLiveness);
  }
  auto found = mTable.find(aState.id);
  if (found == mTable.end()) {
    // Records of dead processes are not added: gossip would bring them back after their removal.
    if (aLiveness == Liveness::Dead || mTable.size() >= kMaxNodes || isHostDelisted(aState, aNow)) {
      return false;
    }
    NodeEntry& entry = mTable[aState.id];
    entry = { aState, aLiveness };
    mTracking[aState.id] = { aNow, 0 };
    rehash(entry);
    return true;
  }
  NodeEntry& entry = found->second;
  if (version(aState) > version(entry.state)) {
    bool wasDead = entry.liveness == Liveness::Dead;
    entry.state = aState;
    if (aLiveness == Liveness::Dead) {
      aLiveness = wasDead ? Liveness::Dead : Liveness::Suspect;
    }
    entry.liveness = aLiveness;
    mTracking[aState.id].since = aNow;
    rehash(entry);
    return true;
  }
  return mergeHead({ aState.id, aState.incarnation, aState.sequence, aLiveness }, aNow);
}

bool NodeMerge::mergeHead(const RecordHead& aHead, base::TimePoint aNow)
{
  if (aHead.id == mSelfId) {
    return refute(aHead.incarnation, aHead.sequence, aHead.liveness);
  }
  auto found = mTable.find(aHead.id);
  if (found == mTable.end() || version(aHead) != version(found->second.state)) {
    return false;
  }
  NodeEntry& entry = found->second;
  if (aHead.liveness == Liveness::Alive || entry.liveness != Liveness::Alive) {
    return false;
  }
  bool gone = aHead.liveness == Liveness::Dead && entry.state.phase == Phase::Leaving;
  return setLiveness(entry, gone ? Liveness::Dead : Liveness::Suspect, aNow);
}

bool NodeMerge::isNewer(const RecordHead& aHead) const
{
  const NodeEntry* known = find(aHead.id);
  if (known == nullptr) {
    return aHead.liveness != Liveness::Dead;
  }
  return version(aHead) > version(known->state);
}

bool NodeMerge::reportUnreachable(const std::string& aId, base::TimePoint aNow)
{
  auto found = mTable.find(aId);
  if (found == mTable.end() || aId == mSelfId || found->second.liveness != Liveness::Alive) {
    return false;
  }
  // The process announced that it was leaving, so it needs no suspicion timeout.
  bool leaving = found->second.state.phase == Phase::Leaving;
  return setLiveness(found->second, leaving ? Liveness::Dead : Liveness::Suspect, aNow);
}

bool NodeMerge::isHostDelisted(const NodeState& aState, base::TimePoint aNow) const
{
  auto gone = mDelistedHosts.find(aState.controlAddress.host);
  return gone != mDelistedHosts.end() && aNow - gone->second >= mSettings.vmListGrace;
}

bool NodeMerge::tick(base::TimePoint aNow)
{
  bool changed = false;
  std::vector<std::string> expired;
  for (auto& [id, entry] : mTable) {
    if (id == mSelfId) {
      continue;
    }
    const Tracking& tracking = mTracking[id];
    if (entry.liveness == Liveness::Suspect &&
        aNow - tracking.since >= mSettings.suspicionTimeout) {
      changed = setLiveness(entry, Liveness::Dead, aNow) || changed;
    }
    bool isExpired =
      entry.liveness == Liveness::Dead && aNow - tracking.since >= mSettings.deadRetention;
    if (isExpired || isHostDelisted(entry.state, aNow)) {
      expired.push_back(id);
    }
  }
  for (const std::string& id : expired) {
    erase(id);
  }
  return changed || !expired.empty();
}

void NodeMerge::restartTimers(base::TimePoint aNow)
{
  for (auto& [id, tracking] : mTracking) {
    tracking.since = aNow;
  }
}

void NodeMerge::setListedHosts(const std::set<std::string>& aHosts, base::TimePoint aNow)
{
  for (const std::string& host : mListedHosts) {
    if (aHosts.count(host) == 0) {
      mDelistedHosts.try_emplace(host, aNow);
    }
  }
  for (const std::string& host : aHosts) {
    mDelistedHosts.erase(host);
  }
  std::erase_if(mDelistedHosts, [&](const auto& aDelisted) {
    return aNow - aDelisted.second >= kDelistedRetention;
  });
  mListedHosts = aHosts;
}

std::vector<uint32_t> NodeMerge::bucketHashes(size_t aBucket) const
{
  std::vector<uint32_t> hashes;
  for (const auto& [id, tracking] : mTracking) {
    if (bucketOf(id) == aBucket) {
      hashes.push_back(tracking.hash);
    }
  }
  return hashes;
}

std::vector<RecordHead> NodeMerge::headsMissingFrom(size_t aBucket,
                                                    const std::set<uint32_t>& aHashes) const
{
  std::vector<RecordHead> heads;
  for (const auto& [id, tracking] : mTracking) {
    if (bucketOf(id) == aBucket && aHashes.count(tracking.hash) == 0) {
      heads.push_back(headOf(mTable.at(id)));
    }
  }
  return heads;
}

std::vector<std::string> NodeMerge::idsWithHashes(const std::set<uint32_t>& aHashes) const
{
  std::vector<std::string> ids;
  for (const auto& [id, tracking] : mTracking) {
    if (aHashes.count(tracking.hash) != 0) {
      ids.push_back(id);
    }
  }
  return ids;
}

bool NodeMerge::setLiveness(NodeEntry& aEntry, Liveness aLiveness, base::TimePoint aNow)
{
  if (aEntry.liveness == aLiveness) {
    return false;
  }
  aEntry.liveness = aLiveness;
  mTracking[aEntry.state.id].since = aNow;
  rehash(aEntry);
  return true;
}

void NodeMerge::rehash(const NodeEntry& aEntry)
{
  Tracking& tracking = mTracking[aEntry.state.id];
  uint32_t hash = hashOf(headOf(aEntry));
  // The digest is an XOR of hashes, so replacing one record needs only its old and new hash.
  mDigest[bucketOf(aEntry.state.id)] ^= tracking.hash ^ hash;
  tracking.hash = hash;
}

void NodeMerge::erase(const std::string& aId)
{
  mDigest[bucketOf(aId)] ^= mTracking[aId].hash;
  mTracking.erase(aId);
  mTable.erase(aId);
}

} // namespace boragepitch::control
