#include "HttpCaller.h"

namespace boragepitch::stores {

namespace {

using base::ErrorKind;

constexpr size_t kMaxPutAnswerBytes = 1 << 20;

/** Percent-encodes each segment of a key, but not its slashes. */
std::string objectTarget(std::string_view aKey)
{
  std::string target = "/objects";
  while (true) {
    size_t slash = aKey.find('/');
    target += "/" + net::percentEncode(aKey.substr(0, slash));
    if (slash == std::string_view::npos) {
      return target;
    }
    aKey.remove_prefix(slash + 1);
  }
}

class HttpObjectsImpl final : public HttpObjects
{
public:
  explicit HttpObjectsImpl(ServiceClientOptions aOptions)
    : mCaller(std::move(aOptions))
  {
  }

  base::Status put(std::string_view aKey, std::string_view aValue) override
  {
    net::ClientRequest request{ .method = "PUT",
                                .target = objectTarget(aKey),
                                .body = std::string(aValue),
                                .contentType = "application/octet-stream" };
    return mCaller.callWithRetries<void>(
      [&](base::Milliseconds aTimeout) -> base::Status {
        auto response = mCaller.send(request, aTimeout, kMaxPutAnswerBytes);
        if (!response) {
          return tl::make_unexpected(response.error());
        }
        if (response->status / 100 != 2) {
          return tl::make_unexpected(statusError(*response, request.target));
        }
        return {};
      },
      isTransient);
  }

  base::Result<std::string> fetch(std::string_view aKey, size_t aMaxBytes) override
  {
    std::string target = objectTarget(aKey);
    return mCaller.callWithRetries<std::string>(
      [&](base::Milliseconds aTimeout) -> base::Result<std::string> {
        auto response = mCaller.send({ .target = target }, aTimeout, aMaxBytes);
        if (!response) {
          base::Error error = response.error();
          error.kind = isTransient(error) ? ErrorKind::Unavailable : error.kind;
          return tl::make_unexpected(error);
        }
        if (response->status != 200) {
          return tl::make_unexpected(statusError(*response, target));
        }
        return std::move(response->body);
      },
      isTransient);
  }

private:
  HttpCaller mCaller;
};

} // namespace

template<>
std::unique_ptr<HttpObjects> HttpBuilder<HttpObjects>::build()
{
  return std::make_unique<HttpObjectsImpl>(mOptions);
}

} // namespace boragepitch::stores
