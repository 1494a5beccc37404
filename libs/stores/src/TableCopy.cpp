#include "stores/TableCopy.h"

#include <algorithm>

#include "base/Json.h"

namespace boragepitch::stores {

namespace {

/** Limits of the first line, which names the rows; their values follow it. */
constexpr size_t kMaxHeadBytes = 1 << 20;
constexpr int kMaxHeadDepth = 4;

tl::unexpected<base::Error> invalid(const char* aField, const char* aMessage)
{
  return base::fail(base::ErrorKind::Invalid, aField, aMessage, "ask another process");
}

} // namespace

std::string writeTableCopy(const TableCopy& aCopy)
{
  Json::Value head;
  if (aCopy.era) {
    head["era"] = Json::UInt64(*aCopy.era);
  }
  head["position"] = Json::UInt64(aCopy.position);
  head["large_change_at"] = Json::UInt64(aCopy.largeChangeAt);
  head["service_time_ms"] = Json::Int64(aCopy.serviceTime.count());
  head["rows"] = Json::arrayValue;
  size_t bytes = 0;
  for (const RowChange& row : aCopy.rows) {
    Json::Value entry;
    entry["key"] = row.key;
    entry["bytes"] = Json::UInt64(row.value.size());
    head["rows"].append(entry);
    bytes += row.value.size();
  }
  std::string text = base::writeJson(head) + "\n";
  text.reserve(text.size() + bytes);
  for (const RowChange& row : aCopy.rows) {
    text += row.value;
  }
  return text;
}

base::Result<TableCopy> readTableCopy(std::string_view aText)
{
  size_t end = aText.find('\n');
  if (end == std::string_view::npos) {
    return invalid("copy", "has no head");
  }
  auto head =
    base::parseJson(aText.substr(0, end), { .bytes = kMaxHeadBytes, .depth = kMaxHeadDepth });
  if (!head) {
    return tl::make_unexpected(head.error());
  }
  if (!head->isObject() || !(*head)["rows"].isArray()) {
    return invalid("rows", "not a list");
  }
  TableCopy copy;
  for (const char* field : { "position", "large_change_at" }) {
    if (!(*head)[field].isUInt64()) {
      return invalid(field, "not a position");
    }
  }
  copy.position = (*head)["position"].asUInt64();
  copy.largeChangeAt = (*head)["large_change_at"].asUInt64();
  copy.serviceTime = base::Milliseconds(base::intOr(*head, "service_time_ms", 0));
  if ((*head)["era"].isUInt64()) {
    copy.era = (*head)["era"].asUInt64();
  }
  std::string_view values = aText.substr(end + 1);
  for (const Json::Value& entry : (*head)["rows"]) {
    if (!entry.isObject() || !entry["bytes"].isUInt64() ||
        entry["bytes"].asUInt64() > values.size()) {
      return invalid("rows", "a value is missing");
    }
    auto size = static_cast<size_t>(entry["bytes"].asUInt64());
    copy.rows.push_back(
      { base::stringOr(entry, "key"), std::string(values.substr(0, size)), false });
    values.remove_prefix(size);
  }
  if (!values.empty()) {
    return invalid("rows", "a value has no key");
  }
  return copy;
}

bool answers(const TableCopy& aCopy, const CopyRequest& aRequest)
{
  if (aRequest.era && (!aCopy.era || *aCopy.era < *aRequest.era)) {
    return false;
  }
  // Positions start anew with each era.
  bool isLaterEra = aCopy.era && aRequest.era && *aCopy.era > *aRequest.era;
  return isLaterEra ? aCopy.largeChangeAt > 0 : aCopy.largeChangeAt > aRequest.after;
}

void HeldTable::reset(TableCopy aCopy)
{
  {
    std::lock_guard lock(mMutex);
    mCopy = std::move(aCopy);
    mText.reset();
  }
  mChanged.notify_all();
}

void HeldTable::apply(const RowPage& aPage, std::optional<uint64_t> aEra, bool aIsLarge)
{
  {
    std::lock_guard lock(mMutex);
    if (!mCopy) {
      return; // Changes alone are not the table.
    }
    for (const RowChange& change : aPage.rows) {
      std::erase_if(mCopy->rows, [&](const RowChange& aRow) { return aRow.key == change.key; });
      if (!change.isDeleted) {
        mCopy->rows.push_back(change);
      }
    }
    mText.reset();
    mCopy->era = aEra;
    mCopy->position = std::max(mCopy->position, aPage.position);
    mCopy->serviceTime = aPage.serviceTime;
    if (aIsLarge) {
      mCopy->largeChangeAt = mCopy->position;
    }
  }
  mChanged.notify_all();
}

std::shared_ptr<const std::string> HeldTable::waitFor(const CopyRequest& aRequest,
                                                      base::TimePoint aUntil)
{
  std::unique_lock lock(mMutex);
  auto hasAnswer = [&] { return mCopy && answers(*mCopy, aRequest); };
  mChanged.wait_until(lock, aUntil, [&] { return mIsStopped || hasAnswer(); });
  if (mIsStopped || !hasAnswer()) {
    return nullptr;
  }
  if (!mText) {
    mText = std::make_shared<const std::string>(writeTableCopy(*mCopy));
  }
  return mText;
}

void HeldTable::stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopped = true;
  }
  mChanged.notify_all();
}

} // namespace boragepitch::stores
