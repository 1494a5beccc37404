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
 * Resource API client with failover between several entries. A call moves on to the next entry when
 * the connection is refused or the response says that nothing was done. A write whose response was
 * lost is not retried. Not thread-safe.
 */
class ApiClient
{
public:
  ApiClient(std::vector<net::Address> aServers, std::string aKey, base::Milliseconds aTimeout);

  /** @param aTarget path after "/api/v1/".
   * @return the server's error, Unavailable when no entry answered, or UnknownOutcome when the
   * response to a write was lost. */
  base::Result<Json::Value> call(const std::string& aMethod,
                                 const std::string& aTarget,
                                 const Json::Value& aBody = Json::nullValue);

  /** Reads an event stream by line until it ends or aOnLine returns false. */
  base::Status stream(const std::string& aTarget,
                      const std::function<bool(std::string_view)>& aOnLine);

  /** Sends a GET for any path to one process, such as /dump to its control address. */
  base::Result<std::string> fetch(const net::Address& aServer, const std::string& aTarget);

  /** Sends a JSON body by POST to one process, for a question that changes nothing. */
  base::Result<std::string> ask(const net::Address& aServer,
                                const std::string& aTarget,
                                const std::string& aBody);

private:
  base::Result<std::string> exchange(const net::Address& aServer,
                                     const net::ClientRequest& aRequest);
  net::ClientRequest request(const std::string& aMethod,
                             const std::string& aTarget,
                             const Json::Value& aBody) const;
  const net::Address& currentServer() const { return mServers[mCurrent]; }
  void selectNextServer() { mCurrent = (mCurrent + 1) % mServers.size(); }

  std::vector<net::Address> mServers;
  std::string mKey;
  base::Milliseconds mTimeout;
  size_t mCurrent = 0;
};

/** Extracts the error from a response of the resource API. */
base::Error errorOf(const net::ClientResponse& aResponse);

} // namespace boragepitch::bpctl
