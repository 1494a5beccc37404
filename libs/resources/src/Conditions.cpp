#include "resources/Conditions.h"

namespace boragepitch::resources {

Json::Value statusToJson(const std::vector<Condition>& aConditions)
{
  Json::Value json(Json::objectValue);
  json["conditions"] = Json::Value(Json::arrayValue);
  for (const Condition& condition : aConditions) {
    Json::Value& element = json["conditions"].append(Json::Value(Json::objectValue));
    element["type"] = condition.type;
    element["status"] = condition.status;
    element["reason"] = condition.reason;
    element["message"] = condition.message;
    element["done"] = Json::UInt64(condition.done);
    element["total"] = Json::UInt64(condition.total);
  }
  return json;
}

} // namespace boragepitch::resources
