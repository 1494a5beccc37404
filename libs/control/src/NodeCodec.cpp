#include "NodeCodec.h"

#include <array>
#include <string_view>

#include "base/Json.h"

namespace boragepitch::control {

namespace {

using base::ErrorKind;

constexpr size_t kMaxTextBytes = 256;
constexpr Json::ArrayIndex kMaxItems = 256;
constexpr int kMaxLimit = 1 << 20;
constexpr std::array<std::string_view, 2> kKinds{ "entry", "agent" };
constexpr std::array<std::string_view, 3> kPhases{ "starting", "ready", "leaving" };

tl::unexpected<base::Error> malformed(const std::string& aField)
{
  return base::fail(ErrorKind::Invalid,
                    "node." + aField,
                    "missing, malformed or too long",
                    "run the same version in all processes");
}

void writeMember(Json::Value& aTarget, const char* aKey, const std::string& aText)
{
  if (!aText.empty()) {
    aTarget[aKey] = aText;
  }
}

void writeMember(Json::Value& aTarget, const char* aKey, const net::Address& aAddress)
{
  if (aAddress.port != 0) {
    aTarget[aKey] = aAddress.toString();
  }
}

void writeMember(Json::Value& aTarget, const char* aKey, const std::vector<std::string>& aList)
{
  for (const std::string& item : aList) {
    aTarget[aKey].append(item);
  }
}

bool readMember(const Json::Value& aSource, const char* aKey, std::string& aText)
{
  if (!aSource.isMember(aKey)) {
    return true;
  }
  if (!aSource[aKey].isString()) {
    return false;
  }
  aText = aSource[aKey].asString();
  return aText.size() <= kMaxTextBytes;
}

bool readMember(const Json::Value& aSource, const char* aKey, net::Address& aAddress)
{
  if (!aSource.isMember(aKey)) {
    return true;
  }
  auto parsed = net::parseAddress(base::stringOr(aSource, aKey));
  if (parsed) {
    aAddress = *parsed;
  }
  return parsed.has_value();
}

bool readItem(const Json::Value& aItem, std::string& aText)
{
  if (!aItem.isString()) {
    return false;
  }
  aText = aItem.asString();
  return aText.size() <= kMaxTextBytes;
}

bool readItem(const Json::Value& aItem, ServedModel& aServed)
{
  return aItem.isArray() && aItem.size() == 3 && readItem(aItem[0], aServed.model) &&
         readItem(aItem[1], aServed.version) && readItem(aItem[2], aServed.manifest);
}

bool readItem(const Json::Value& aItem, Suspect& aSuspect)
{
  return aItem.isArray() && aItem.size() == 2 && readItem(aItem[0], aSuspect.fingerprint) &&
         readItem(aItem[1], aSuspect.crashId);
}

template<typename T>
bool readList(const Json::Value& aSource, const char* aKey, std::vector<T>& aList)
{
  if (!aSource.isMember(aKey)) {
    return true;
  }
  const Json::Value& items = aSource[aKey];
  if (!items.isArray() || items.size() > kMaxItems) {
    return false;
  }
  aList.resize(items.size());
  for (Json::ArrayIndex i = 0; i < items.size(); ++i) {
    if (!readItem(items[i], aList[i])) {
      return false;
    }
  }
  return true;
}

template<typename Enum, size_t kNameCount>
bool readName(const Json::Value& aSource,
              const char* aKey,
              const std::array<std::string_view, kNameCount>& aNames,
              Enum& aValue)
{
  std::string name = base::stringOr(aSource, aKey);
  for (size_t i = 0; i < kNameCount; ++i) {
    if (aNames[i] == name) {
      aValue = static_cast<Enum>(i);
      return true;
    }
  }
  return false;
}

bool readCounter(const Json::Value& aItem, uint64_t& aCounter)
{
  if (!aItem.isUInt64() || aItem.asUInt64() > kMaxCounter) {
    return false;
  }
  aCounter = aItem.asUInt64();
  return true;
}

} // namespace

RecordHead headOf(const NodeEntry& aEntry)
{
  return { aEntry.state.id, aEntry.state.incarnation, aEntry.state.sequence, aEntry.liveness };
}

Json::Value encodeNode(const NodeState& aState)
{
  Json::Value value;
  value["id"] = aState.id;
  value["inc"] = Json::UInt64(aState.incarnation);
  value["seq"] = Json::UInt64(aState.sequence);
  value["kind"] = std::string(kKinds[static_cast<size_t>(aState.kind)]);
  value["phase"] = std::string(kPhases[static_cast<size_t>(aState.phase)]);
  writeMember(value, "zone", aState.zone);
  writeMember(value, "region", aState.region);
  writeMember(value, "control", aState.controlAddress);
  writeMember(value, "data", aState.dataAddress);
  writeMember(value, "weights", aState.weightsAddress);
  writeMember(value, "endpoint", aState.endpoint);
  writeMember(value, "instance", aState.instance);
  writeMember(value, "held", aState.held);
  writeMember(value, "fetching", aState.fetching);
  writeMember(value, "originChanged", aState.originChanged);
  for (const ServedModel& served : aState.serving) {
    Json::Value item(Json::arrayValue);
    item.append(served.model);
    item.append(served.version);
    item.append(served.manifest);
    value["serving"].append(item);
  }
  for (const Suspect& suspect : aState.suspects) {
    Json::Value item(Json::arrayValue);
    item.append(suspect.fingerprint);
    item.append(suspect.crashId);
    value["suspects"].append(item);
  }
  value["cold"] = aState.cold;
  value["coldLimit"] = aState.coldLimit;
  value["warmLimit"] = aState.warmLimit;
  return value;
}

base::Result<NodeState> decodeNode(const Json::Value& aValue)
{
  NodeState state;
  if (!aValue.isObject() || !readMember(aValue, "id", state.id) || state.id.empty()) {
    return malformed("id");
  }
  if (!readCounter(aValue["inc"], state.incarnation) ||
      !readCounter(aValue["seq"], state.sequence)) {
    return malformed("seq");
  }
  if (!readName(aValue, "kind", kKinds, state.kind) ||
      !readName(aValue, "phase", kPhases, state.phase)) {
    return malformed("phase");
  }
  if (!readMember(aValue, "zone", state.zone) || !readMember(aValue, "region", state.region) ||
      !readMember(aValue, "endpoint", state.endpoint) ||
      !readMember(aValue, "instance", state.instance)) {
    return malformed("zone");
  }
  if (!readMember(aValue, "control", state.controlAddress) || state.controlAddress.port == 0 ||
      !readMember(aValue, "data", state.dataAddress) ||
      !readMember(aValue, "weights", state.weightsAddress)) {
    return malformed("control");
  }
  if (!readList(aValue, "held", state.held) || !readList(aValue, "fetching", state.fetching) ||
      !readList(aValue, "originChanged", state.originChanged) ||
      !readList(aValue, "serving", state.serving) ||
      !readList(aValue, "suspects", state.suspects)) {
    return malformed("serving");
  }
  auto coldLimit = base::requireInt(aValue, "coldLimit", 0, kMaxLimit);
  auto warmLimit = base::requireInt(aValue, "warmLimit", 0, kMaxLimit);
  if (!coldLimit || !warmLimit) {
    return malformed("coldLimit");
  }
  state.cold = base::boolOr(aValue, "cold", true);
  state.coldLimit = static_cast<int>(*coldLimit);
  state.warmLimit = static_cast<int>(*warmLimit);
  return state;
}

Json::Value encodeHead(const RecordHead& aHead)
{
  Json::Value value(Json::arrayValue);
  value.append(aHead.id);
  value.append(Json::UInt64(aHead.incarnation));
  value.append(Json::UInt64(aHead.sequence));
  value.append(static_cast<int>(aHead.liveness));
  return value;
}

base::Result<RecordHead> decodeHead(const Json::Value& aValue)
{
  RecordHead head;
  if (!aValue.isArray() || aValue.size() != 4 || !readItem(aValue[0], head.id) ||
      !readCounter(aValue[1], head.incarnation) || !readCounter(aValue[2], head.sequence)) {
    return malformed("head");
  }
  constexpr int kMaxLiveness = static_cast<int>(Liveness::Dead);
  if (!aValue[3].isInt() || aValue[3].asInt() < 0 || aValue[3].asInt() > kMaxLiveness) {
    return malformed("liveness");
  }
  head.liveness = static_cast<Liveness>(aValue[3].asInt());
  return head;
}

} // namespace boragepitch::control
