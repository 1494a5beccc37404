#pragma once

#include <functional>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/Error.h"
#include "base/Time.h"
#include "net/Address.h"
#include "net/HttpClient.h"

namespace boragepitch::bpctl {

/**
 * Client of the resource API at any of several entries. An entry that refuses the connection or
 * answers that nothing was done is passed over for the next; a write whose answer was lost is not
 * sent again. Not thread-safe.
 */
class ApiClient
{
public:
  ApiClient(std::vector<net::Address> aServers, std::string aKey, base::Milliseconds aTimeout);

  /** aTarget follows "/api/v1/". The error is the server's, or Unavailable, or UnknownOutcome. */
  base::Result<Json::Value> call(const std::string& aMethod,
                                 const std::string& aTarget,
                                 const Json::Value& aBody = Json::nullValue);

  /** Reads an event stream line by line until it ends or aOnLine returns false. */
  base::Status stream(const std::string& aTarget,
                      const std::function<bool(std::string_view)>& aOnLine);

  /** GET of another path at one address, such as /dump of any process. */
  base::Result<std::string> fetch(const net::Address& aServer, const std::string& aTarget);

private:
  net::ClientRequest request(const std::string& aMethod,
                             const std::string& aTarget,
                             const Json::Value& aBody) const;
  const net::Address& current() const { return mServers[mCurrent]; }
  void next() { mCurrent = (mCurrent + 1) % mServers.size(); }

  std::vector<net::Address> mServers;
  std::string mKey;
  base::Milliseconds mTimeout;
  size_t mCurrent = 0;
};

/** The error in a response of the resource API. */
base::Error errorOf(const net::ClientResponse& aResponse);

} // namespace boragepitch::bpctl
