#include "FleetCore.h"

#include <algorithm>
#include <charconv>

#include "base/Json.h"

namespace boragepitch::control {

namespace {

constexpr size_t kHashDigits = 8;
constexpr double kRecordBurstSeconds = 8;
constexpr size_t kMaxRegions = 64;

/** True if routing or crash protection needs the change at once; other changes wait for the next
 * exchange. */
bool isUrgent(const NodeState& aBefore, const NodeState& aAfter)
{
  return aBefore.phase != aAfter.phase || aBefore.serving != aAfter.serving ||
         aBefore.suspects != aAfter.suspects || aBefore.instance != aAfter.instance;
}

} // namespace

std::string encodeHashes(const std::vector<uint32_t>& aHashes)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(aHashes.size() * kHashDigits);
  for (uint32_t hash : aHashes) {
    for (int shift = 28; shift >= 0; shift -= 4) {
      text += kDigits[(hash >> shift) & 15U];
    }
  }
  return text;
}

std::optional<std::vector<uint32_t>> decodeHashes(const std::string& aText)
{
  std::vector<uint32_t> hashes;
  if (aText.size() % kHashDigits != 0) {
    return std::nullopt;
  }
  for (size_t at = 0; at < aText.size(); at += kHashDigits) {
    uint32_t hash = 0;
    const char* end = aText.data() + at + kHashDigits;
    auto [parsed, error] = std::from_chars(aText.data() + at, end, hash, 16);
    if (error != std::errc() || parsed != end) {
      return std::nullopt;
    }
    hashes.push_back(hash);
  }
  return hashes;
}

FleetCore::FleetCore(const NodeState& aSelf,
                     const FleetSettings& aSettings,
                     ResourceCodec aCodec,
                     base::TimePoint aNow)
  : mCodec(std::move(aCodec))
  , mNodes(aSelf, { aSettings.suspicionTimeout, aSettings.deadRetention, aSettings.vmListGrace })
  , mFreshness(aSelf.region, aSettings.isolationLimit)
  , mRecordBudget(aSettings.recordBytesPerSecond,
                  aSettings.recordBytesPerSecond * kRecordBurstSeconds,
                  aNow)
  , mSeenRegions{ aSelf.region }
{
}

size_t FleetCore::liveNodes() const
{
  const NodeTable& table = mNodes.table();
  return static_cast<size_t>(std::count_if(table.begin(), table.end(), [](const auto& aItem) {
    return aItem.second.liveness != Liveness::Dead;
  }));
}

Effects FleetCore::takeEffects()
{
  return std::exchange(mEffects, Effects{});
}

// -- Local changes

void FleetCore::publish(NodeState aSelf)
{
  std::string id = mNodes.self().id;
  std::optional<NodeEntry> before = *mNodes.find(id);
  if (mNodes.publish(std::move(aSelf))) {
    noteChange(id, before);
  }
}

void FleetCore::adopt(const std::vector<LogEntry>& aEntries)
{
  if (mConfig.adopt(aEntries)) {
    mEffects.configChanged = true;
    updateRegions();
  }
}

void FleetCore::adopt(std::shared_ptr<const resources::Snapshot> aSnapshot)
{
  if (mConfig.adopt(std::move(aSnapshot))) {
    mEffects.configChanged = true;
    updateRegions();
  }
}

void FleetCore::storeAnswered(uint64_t aRevision, base::TimePoint aSent)
{
  if (mConfig.revision() >= aRevision) {
    mFreshness.storeRead(aSent);
  }
}

void FleetCore::tick(base::TimePoint aNow)
{
  // An isolated process declares no peer dead: it is more likely cut off itself.
  if (!mFreshness.isFresh(aNow)) {
    mNodes.restartTimers(aNow);
    return;
  }
  if (mNodes.tick(aNow)) {
    mEffects.nodesChanged = true;
  }
}

void FleetCore::paused(base::TimePoint aNow)
{
  mFreshness.invalidate(aNow);
  mNodes.restartTimers(aNow);
}

void FleetCore::reportUnreachable(const std::string& aId, base::TimePoint aNow)
{
  const NodeEntry* entry = mNodes.find(aId);
  if (entry == nullptr || !mFreshness.isFresh(aNow)) {
    return;
  }
  std::optional<NodeEntry> before = *entry;
  if (mNodes.reportUnreachable(aId, aNow)) {
    noteChange(aId, before);
  }
}

void FleetCore::updateVmList(const std::vector<stores::ListedVm>& aVms, base::TimePoint aNow)
{
  std::set<std::string> hosts;
  for (const stores::ListedVm& vm : aVms) {
    hosts.insert(vm.address);
    if (!vm.region.empty() && mSeenRegions.size() < kMaxRegions) {
      mSeenRegions.insert(vm.region);
    }
  }
  mNodes.setListedHosts(hosts, aNow);
  updateRegions();
}

void FleetCore::updateRegions()
{
  std::set<std::string> regions;
  mConfig.snapshot()->each<resources::Zone>(
    [&](const resources::Resource&, const resources::Zone& aZone) {
      if (!aZone.region.empty()) {
        regions.insert(aZone.region);
      }
    });
  // Until zones are declared, every region seen so far counts, even if unreachable.
  mFreshness.setRegions(regions.empty() ? mSeenRegions : regions);
}

void FleetCore::noteChange(const std::string& aId, const std::optional<NodeEntry>& aBefore)
{
  mEffects.nodesChanged = true;
  const NodeEntry* after = mNodes.find(aId);
  if (after == nullptr) {
    return;
  }
  if (aBefore && isUrgent(aBefore->state, after->state)) {
    mEffects.urgentNodes.insert(aId);
  } else if (aBefore && aBefore->liveness != after->liveness) {
    mEffects.urgentLiveness.insert(aId);
  }
  const std::string& region = after->state.region;
  bool known = region.empty() || mSeenRegions.count(region) != 0;
  if (!known && mSeenRegions.size() < kMaxRegions) {
    mSeenRegions.insert(region);
    updateRegions();
  }
}

void FleetCore::merge(const std::vector<Record>& aRecords,
                      base::TimePoint aNow,
                      NewEntries aNewEntries)
{
  for (const Record& record : aRecords) {
    const NodeEntry* known = mNodes.find(record.state.id);
    std::optional<NodeEntry> before = known ? std::optional(*known) : std::nullopt;
    if (mNodes.merge(record.state, record.liveness, aNow)) {
      noteChange(record.state.id, before);
      // The entries notify each other of crashes directly, which exchanges alone would allow only
      // seconds after an entry has started.
      if (!before && aNewEntries == NewEntries::Forward && record.state.kind == NodeKind::Entry) {
        mEffects.urgentNodes.insert(record.state.id);
      }
    }
  }
}

void FleetCore::mergeHead(const RecordHead& aHead, base::TimePoint aNow)
{
  const NodeEntry* known = mNodes.find(aHead.id);
  std::optional<NodeEntry> before = known ? std::optional(*known) : std::nullopt;
  if (mNodes.mergeHead(aHead, aNow)) {
    noteChange(aHead.id, before);
  }
}

void FleetCore::notePeerRevision(const Json::Value& aMessage)
{
  auto revision = static_cast<uint64_t>(std::max<int64_t>(0, base::intOr(aMessage, "rev", 0)));
  auto from = net::parseAddress(base::stringOr(aMessage, "from"));
  if (from && revision > mConfig.revision()) {
    mEffects.pullFrom = *from;
  }
}

} // namespace boragepitch::control
