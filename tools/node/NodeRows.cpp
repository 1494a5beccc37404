#include "NodeRows.h"

#include "base/Json.h"

namespace boragepitch::tools {

std::string writeEntryRow(const EntryRow& aRow)
{
  Json::Value json;
  json["region"] = aRow.region;
  json["peers"] = aRow.peers.toString();
  return base::writeJson(json);
}

base::Result<EntryRow> readEntryRow(std::string_view aText)
{
  auto json = base::parseJson(aText);
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  auto peers = net::parseAddress(base::stringOr(*json, "peers"));
  if (!peers) {
    return tl::make_unexpected(peers.error());
  }
  return EntryRow{ base::stringOr(*json, "region"), *peers };
}

} // namespace boragepitch::tools
