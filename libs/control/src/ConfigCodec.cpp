#include "control/ConfigStore.h"

#include "ConfigRows.h"
#include "base/Json.h"

namespace boragepitch::control {

namespace {

using base::ErrorKind;
using resources::Resource;

constexpr int kRevisionDigits = 20;

} // namespace

std::string logKey(uint64_t aRevision)
{
  std::string digits = std::to_string(aRevision);
  return kLogPrefix + std::string(kRevisionDigits - digits.size(), '0') + digits;
}

std::string resourceKey(std::string_view aKind, std::string_view aName)
{
  return kResourcePrefix + std::string(aKind) + "/" + std::string(aName);
}

Json::Value encodeEntry(const LogEntry& aEntry, const ResourceCodec& aCodec)
{
  Json::Value value;
  value["revision"] = Json::UInt64(aEntry.revision);
  value["transaction"] = aEntry.transaction;
  value["changes"] = Json::Value(Json::arrayValue);
  for (const Change& change : aEntry.changes) {
    Json::Value item;
    item["kind"] = change.kind;
    item["name"] = change.name;
    if (change.resource) {
      item["resource"] = aCodec.encode(*change.resource);
    }
    value["changes"].append(std::move(item));
  }
  return value;
}

base::Result<LogEntry> decodeEntry(const Json::Value& aValue, const ResourceCodec& aCodec)
{
  auto revision = base::requireInt(aValue, "revision", 1, INT64_MAX, "log");
  if (!revision) {
    return tl::make_unexpected(revision.error());
  }
  LogEntry entry;
  entry.revision = static_cast<uint64_t>(*revision);
  entry.transaction = base::stringOr(aValue, "transaction");
  if (!aValue["changes"].isArray()) {
    return base::fail(ErrorKind::Invalid, "log.changes", "missing or not a list", "give a list");
  }
  for (const Json::Value& item : aValue["changes"]) {
    auto kind = base::requireString(item, "kind", "log.changes");
    auto name = base::requireString(item, "name", "log.changes");
    if (!kind || !name) {
      return tl::make_unexpected(kind ? name.error() : kind.error());
    }
    Change change{ *kind, *name, nullptr };
    if (item.isMember("resource")) {
      auto resource = aCodec.decode(item["resource"]);
      if (!resource) {
        return tl::make_unexpected(resource.error());
      }
      change.resource = std::make_shared<const Resource>(std::move(*resource));
    }
    entry.changes.push_back(std::move(change));
  }
  return entry;
}

} // namespace boragepitch::control
