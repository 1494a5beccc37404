#include "HttpCaller.h"

#include "base/Json.h"

namespace boragepitch::stores {

namespace {

using base::ErrorKind;

constexpr size_t kMaxAnswerBytes = 64 << 20;

Json::Value toJson(const Transaction& aTransaction)
{
  Json::Value body;
  body["id"] = aTransaction.id;
  body["checks"] = Json::Value(Json::arrayValue);
  body["puts"] = Json::Value(Json::arrayValue);
  body["deletes"] = Json::Value(Json::arrayValue);
  for (const Check& check : aTransaction.checks) {
    Json::Value item;
    item["key"] = check.key;
    item["version"] = Json::UInt64(check.version);
    body["checks"].append(item);
  }
  for (const Put& put : aTransaction.puts) {
    Json::Value item;
    item["key"] = put.key;
    item["value"] = put.value;
    body["puts"].append(item);
  }
  for (const std::string& key : aTransaction.deletes) {
    body["deletes"].append(key);
  }
  return body;
}

std::string firstConflict(const std::string& aBody)
{
  auto body = base::parseJson(aBody);
  if (!body || !body->isObject() || !(*body)["conflicts"].isArray() ||
      (*body)["conflicts"].empty()) {
    return "";
  }
  return base::stringOr((*body)["conflicts"][0], "key");
}

base::Result<Row> rowFromJson(const Json::Value& aValue)
{
  Row row;
  auto key = base::requireString(aValue, "key", "rows");
  auto value = base::requireString(aValue, "value", "rows");
  auto version = base::requireInt(aValue, "version", 0, INT64_MAX, "rows");
  if (!key || !value || !version) {
    return base::fail(ErrorKind::Internal,
                      "rows",
                      "the table service sent a malformed row",
                      "check that the address is that of the table service");
  }
  return Row{ *key, *value, static_cast<uint64_t>(*version) };
}

base::Result<std::vector<Row>> rowsFromBody(const std::string& aBody)
{
  auto body = base::parseJson(aBody, { .bytes = kMaxAnswerBytes });
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  std::vector<Row> rows;
  if (!body->isObject() || !(*body)["rows"].isArray()) {
    return base::fail(ErrorKind::Internal,
                      "rows",
                      "the table service sent no rows",
                      "check that the address is that of the table service");
  }
  for (const Json::Value& item : (*body)["rows"]) {
    auto row = rowFromJson(item);
    if (!row) {
      return tl::make_unexpected(row.error());
    }
    rows.push_back(std::move(*row));
  }
  return rows;
}

class HttpTableImpl final : public HttpTable
{
public:
  explicit HttpTableImpl(ServiceClientOptions aOptions)
    : mCaller(std::move(aOptions))
  {
  }

  base::Result<uint64_t> commit(const Transaction& aTransaction) override
  {
    std::string body = base::writeJson(toJson(aTransaction));
    // Only Unavailable is retried, because nothing was written then.
    return mCaller.callWithRetries<uint64_t>(
      [&](base::Milliseconds aTimeout) { return commitOnce(body, aTimeout); },
      [](const base::Error& aError) { return aError.kind == ErrorKind::Unavailable; });
  }

  base::Result<std::vector<Row>> read(const std::vector<std::string>& aKeys) override
  {
    Json::Value body;
    body["keys"] = Json::Value(Json::arrayValue);
    for (const std::string& key : aKeys) {
      body["keys"].append(key);
    }
    return readRows(body);
  }

  base::Result<std::vector<Row>> scan(std::string_view aPrefix,
                                      std::string_view aAfter,
                                      size_t aLimit) override
  {
    Json::Value body;
    body["prefix"] = std::string(aPrefix);
    body["after"] = std::string(aAfter);
    body["limit"] = Json::UInt64(aLimit);
    return readRows(body);
  }

private:
  base::Result<uint64_t> commitOnce(const std::string& aBody, base::Milliseconds aTimeout)
  {
    auto response = mCaller.send(
      { .method = "POST", .target = "/txn", .body = aBody }, aTimeout, kMaxAnswerBytes);
    if (!response) {
      bool nothingSent = response.error().kind == ErrorKind::Unavailable;
      return nothingSent ? tl::make_unexpected(response.error()) : unknownOutcome();
    }
    if (response->status == 409) {
      return base::fail(ErrorKind::Conflict,
                        firstConflict(response->body),
                        "a row is not at the version that the transaction checks",
                        "read the row again and decide anew");
    }
    if (response->status != 200) {
      return tl::make_unexpected(statusError(*response, mCaller.address().toString()));
    }
    auto body = base::parseJson(response->body);
    int64_t version = body ? base::intOr(*body, "version", 0) : 0;
    if (version <= 0) {
      return unknownOutcome();
    }
    return static_cast<uint64_t>(version);
  }

  tl::unexpected<base::Error> unknownOutcome() const
  {
    return base::fail(ErrorKind::UnknownOutcome,
                      mCaller.address().toString(),
                      "the answer of the table service was lost",
                      "read the rows back to find out whether the transaction took effect");
  }

  base::Result<std::vector<Row>> readRows(const Json::Value& aBody)
  {
    std::string body = base::writeJson(aBody);
    return mCaller.callWithRetries<std::vector<Row>>(
      [&](base::Milliseconds aTimeout) { return readOnce(body, aTimeout); }, isTransient);
  }

  base::Result<std::vector<Row>> readOnce(const std::string& aBody, base::Milliseconds aTimeout)
  {
    auto response = mCaller.send(
      { .method = "POST", .target = "/read", .body = aBody }, aTimeout, kMaxAnswerBytes);
    if (!response) {
      base::Error error = response.error();
      error.kind = isTransient(error) ? ErrorKind::Unavailable : error.kind;
      return tl::make_unexpected(error);
    }
    if (response->status != 200) {
      return tl::make_unexpected(statusError(*response, mCaller.address().toString()));
    }
    return rowsFromBody(response->body);
  }

  HttpCaller mCaller;
};

} // namespace

template<>
std::unique_ptr<HttpTable> HttpBuilder<HttpTable>::build()
{
  return std::make_unique<HttpTableImpl>(mOptions);
}

} // namespace boragepitch::stores
