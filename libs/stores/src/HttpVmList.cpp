#include "HttpCaller.h"

#include "base/Json.h"

namespace boragepitch::stores {

namespace {

using base::ErrorKind;

constexpr size_t kMaxListBytes = 16 << 20;

class HttpVmListImpl final : public HttpVmList
{
public:
  explicit HttpVmListImpl(ServiceClientOptions aOptions)
    : mCaller(std::move(aOptions))
  {
  }

  base::Result<std::vector<ListedVm>> list() override
  {
    return mCaller.callWithRetries<std::vector<ListedVm>>(
      [&](base::Milliseconds aTimeout) { return listOnce(aTimeout); }, isTransient);
  }

private:
  base::Result<std::vector<ListedVm>> listOnce(base::Milliseconds aTimeout)
  {
    auto response = mCaller.send({ .target = "/vms" }, aTimeout, kMaxListBytes);
    if (!response) {
      base::Error error = response.error();
      error.kind = isTransient(error) ? ErrorKind::Unavailable : error.kind;
      return tl::make_unexpected(error);
    }
    if (response->status != 200) {
      return tl::make_unexpected(statusError(*response, mCaller.address().toString()));
    }
    return parse(response->body);
  }

  static base::Result<std::vector<ListedVm>> parse(const std::string& aBody)
  {
    auto body = base::parseJson(aBody, { .bytes = kMaxListBytes });
    if (!body || !body->isObject() || !(*body)["vms"].isArray()) {
      return base::fail(ErrorKind::Internal,
                        "vms",
                        "the VM list sent no list",
                        "check that the address is that of the VM list");
    }
    std::vector<ListedVm> vms;
    for (const Json::Value& item : (*body)["vms"]) {
      vms.push_back({ base::stringOr(item, "name"),
                      base::stringOr(item, "address"),
                      base::stringOr(item, "zone"),
                      base::stringOr(item, "region"),
                      base::stringOr(item, "kind"),
                      base::stringOr(item, "state") == "leaving" });
    }
    return vms;
  }

  HttpCaller mCaller;
};

} // namespace

template<>
std::unique_ptr<HttpVmList> HttpBuilder<HttpVmList>::build()
{
  return std::make_unique<HttpVmListImpl>(mOptions);
}

} // namespace boragepitch::stores
