#include "HttpCaller.h"

#include <charconv>
#include <cstring>
#include <map>

namespace boragepitch::stores {

namespace {

using base::ErrorKind;

// A fleet has few model versions at a time; the limit only prevents unbounded growth.
constexpr size_t kMaxStoredTags = 1024;

base::Result<std::string> weightTarget(std::string_view aName)
{
  size_t slash = aName.find('/');
  if (slash == std::string_view::npos || slash == 0 || slash + 1 == aName.size()) {
    return base::fail(ErrorKind::Invalid,
                      "origin",
                      "'" + std::string(aName) + "' does not name a blob",
                      "give it as name/version");
  }
  return "/weights/" + net::percentEncode(aName.substr(0, slash)) + "/" +
         net::percentEncode(aName.substr(slash + 1));
}

/** The total of "bytes 0-0/total". */
base::Result<uint64_t> totalFromContentRange(const std::string& aText)
{
  size_t slash = aText.rfind('/');
  uint64_t total = 0;
  const char* end = aText.data() + aText.size();
  if (slash != std::string::npos) {
    auto [parsed, error] = std::from_chars(aText.data() + slash + 1, end, total);
    if (error == std::errc() && parsed == end) {
      return total;
    }
  }
  return base::fail(ErrorKind::Internal,
                    "Content-Range",
                    "the weight store sent no size",
                    "check that the weight store supports Range requests");
}

class HttpWeightOriginImpl final : public HttpWeightOrigin
{
public:
  explicit HttpWeightOriginImpl(ServiceClientOptions aOptions)
    : mCaller(std::move(aOptions))
  {
  }

  base::Status read(std::string_view aName, uint64_t aOffset, std::span<std::byte> aTarget) override
  {
    if (aTarget.empty()) {
      return {};
    }
    auto ranged = rangedRequest(aName, aOffset, aTarget.size());
    if (!ranged) {
      return tl::make_unexpected(ranged.error());
    }
    return mCaller.callWithRetries<void>(
      [&](base::Milliseconds aTimeout) {
        return readOnce(std::string(aName), *ranged, aTarget, aTimeout);
      },
      isTransient);
  }

  base::Result<uint64_t> size(std::string_view aName) override
  {
    auto ranged = rangedRequest(aName, 0, 1);
    if (!ranged) {
      return tl::make_unexpected(ranged.error());
    }
    return mCaller.callWithRetries<uint64_t>(
      [&](base::Milliseconds aTimeout) { return sizeOnce(*ranged, aTimeout); }, isTransient);
  }

private:
  static base::Result<net::ClientRequest> rangedRequest(std::string_view aName,
                                                        uint64_t aOffset,
                                                        uint64_t aBytes)
  {
    auto target = weightTarget(aName);
    if (!target) {
      return tl::make_unexpected(target.error());
    }
    net::ClientRequest request{ .target = *target };
    request.headers.emplace(
      "Range", "bytes=" + std::to_string(aOffset) + "-" + std::to_string(aOffset + aBytes - 1));
    return request;
  }

  base::Status readOnce(const std::string& aName,
                        const net::ClientRequest& aRequest,
                        std::span<std::byte> aTarget,
                        base::Milliseconds aTimeout)
  {
    // No total timeout: at the origin's rate a chunk may take longer than one attempt. A stalled
    // response is limited by the client's read timeout.
    net::HttpClient client(mCaller.address(), mCaller.clientOptions(aTimeout));
    base::Status outcome;
    size_t filled = 0;
    auto response = client.stream(
      aRequest,
      [&](const net::ClientResponse& aHead) {
        outcome = checkHead(aName, aHead);
        return outcome.has_value();
      },
      [&](std::string_view aBytes) {
        if (aBytes.size() > aTarget.size() - filled) {
          outcome = wrongLength(aName);
          return false;
        }
        std::memcpy(aTarget.data() + filled, aBytes.data(), aBytes.size());
        filled += aBytes.size();
        return true;
      });
    if (!outcome) {
      return outcome;
    }
    if (!response) {
      return tl::make_unexpected(response.error());
    }
    return filled == aTarget.size() ? base::Status() : wrongLength(aName);
  }

  base::Result<uint64_t> sizeOnce(const net::ClientRequest& aRequest, base::Milliseconds aTimeout)
  {
    constexpr size_t kMaxAnswerBytes = 4096;
    auto response = mCaller.send(aRequest, aTimeout, kMaxAnswerBytes);
    if (!response) {
      return tl::make_unexpected(response.error());
    }
    if (response->status != 206) {
      return tl::make_unexpected(statusError(*response, aRequest.target));
    }
    return totalFromContentRange(response->header("Content-Range").value_or(""));
  }

  static base::Status wrongLength(const std::string& aName)
  {
    return base::fail(ErrorKind::Corrupt,
                      aName,
                      "the weight store sent another number of bytes than asked for",
                      "fetch the chunk again; check the size in the ModelVersion if it persists");
  }

  base::Status checkHead(const std::string& aName, const net::ClientResponse& aHead)
  {
    if (aHead.status != 206) {
      return tl::make_unexpected(statusError(aHead, aName));
    }
    std::string tag = aHead.header("ETag").value_or("");
    std::lock_guard lock(mMutex);
    auto known = mTags.find(aName);
    if (known != mTags.end() && known->second != tag) {
      known->second = tag;
      return base::fail(ErrorKind::Corrupt,
                        aName,
                        "the blob changed at the weight store while it was read (ETag " + tag + ")",
                        "discard what was read and publish the new bytes as a new version");
    }
    if (known == mTags.end() && mTags.size() >= kMaxStoredTags) {
      mTags.erase(mTags.begin());
    }
    mTags[aName] = tag;
    return {};
  }

  HttpCaller mCaller;
  std::mutex mMutex;
  std::map<std::string, std::string> mTags; ///< ETag by blob; guarded by mMutex.
};

} // namespace

template<>
std::unique_ptr<HttpWeightOrigin> HttpBuilder<HttpWeightOrigin>::build()
{
  return std::make_unique<HttpWeightOriginImpl>(mOptions);
}

} // namespace boragepitch::stores
