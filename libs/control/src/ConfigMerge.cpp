#include "ConfigMerge.h"

namespace boragepitch::control {

namespace {

// A peer that is further behind gets a snapshot, which is smaller than that many entries.
constexpr size_t kRecentEntries = 256;

} // namespace

bool ConfigMerge::adopt(const std::vector<LogEntry>& aEntries)
{
  uint64_t revision = mSnapshot->revision();
  std::optional<resources::Snapshot::Map> resources;
  for (const LogEntry& entry : aEntries) {
    if (entry.revision != revision + 1) {
      continue;
    }
    if (!resources) {
      resources = mSnapshot->all();
    }
    for (const Change& change : entry.changes) {
      resources::Snapshot::Key key(change.kind, change.name);
      if (change.resource) {
        (*resources)[key] = change.resource;
      } else {
        resources->erase(key);
      }
    }
    revision = entry.revision;
    mRecent.push_back(entry);
  }
  if (!resources) {
    return false;
  }
  while (mRecent.size() > kRecentEntries) {
    mRecent.pop_front();
  }
  mSnapshot = std::make_shared<const resources::Snapshot>(revision, std::move(*resources));
  return true;
}

bool ConfigMerge::adopt(std::shared_ptr<const resources::Snapshot> aSnapshot)
{
  if (aSnapshot->revision() <= mSnapshot->revision()) {
    return false;
  }
  mSnapshot = std::move(aSnapshot);
  mRecent.clear();
  return true;
}

std::optional<std::vector<LogEntry>> ConfigMerge::entriesAfter(uint64_t aRevision,
                                                               size_t aLimit) const
{
  std::vector<LogEntry> entries;
  if (aRevision >= revision()) {
    return entries;
  }
  if (mRecent.empty() || mRecent.front().revision > aRevision + 1) {
    return std::nullopt;
  }
  for (const LogEntry& entry : mRecent) {
    if (entry.revision > aRevision && entries.size() < aLimit) {
      entries.push_back(entry);
    }
  }
  return entries;
}

} // namespace boragepitch::control
