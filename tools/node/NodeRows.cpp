#include "NodeRows.h"

#include "base/Json.h"

namespace boragepitch::tools {

std::string writeEntryRow(const EntryRow& aRow)
{
  Json::Value json;
  json["region"] = aRow.region;
  json["peers"] = aRow.peers.toString();
  json["bandwidth"] = aRow.bandwidth;
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
  const Json::Value& bandwidth = (*json)["bandwidth"]; // A row that names peers is an object.
  return EntryRow{ base::stringOr(*json, "region"),
                   *peers,
                   bandwidth.isNumeric() ? bandwidth.asDouble() : 0 };
}

std::string writeLoaderRow(const LoaderRow& aRow)
{
  Json::Value json;
  json["zone"] = aRow.zone;
  json["region"] = aRow.region;
  json["service"] = aRow.service;
  json["weights"] = aRow.weights.toString();
  return base::writeJson(json);
}

base::Result<LoaderRow> readLoaderRow(std::string_view aText)
{
  auto json = base::parseJson(aText);
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  auto weights = net::parseAddress(base::stringOr(*json, "weights"));
  if (!weights) {
    return tl::make_unexpected(weights.error());
  }
  return LoaderRow{ base::stringOr(*json, "zone"),
                    base::stringOr(*json, "region"),
                    base::stringOr(*json, "service"),
                    *weights };
}

} // namespace boragepitch::tools
