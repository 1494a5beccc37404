#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/Time.h"

namespace boragepitch::routing {

/** Weight of a workspace: its share of capacity times the worth of its requests. */
struct WorkspaceWeight
{
  int share = 1; ///< 1 to 1000.
  int worth = 1; ///< 1 to 1000.
};

/**
 * Divides a concurrency limit among workspaces by weighted fair sharing. Below the limit every
 * request may start. At the limit a request may start only if its workspace uses less than its
 * guaranteed share, so that large workspaces do not crowd out small ones. The guaranteed share is
 * proportional to the workspace's weight among recently active workspaces, and at least one
 * request. Not thread-safe.
 */
class FairShare
{
public:
  explicit FairShare(base::Duration aIdleTimeout = std::chrono::seconds(2));

  /** True when the request may start; the caller then calls finish() exactly once. */
  bool tryStart(std::string_view aWorkspace,
                WorkspaceWeight aWeight,
                int aLimit,
                base::TimePoint aNow);
  void finish(std::string_view aWorkspace, base::TimePoint aNow);

  int inFlight() const { return mInFlight; }
  int inFlight(std::string_view aWorkspace) const;
  /** Concurrent requests guaranteed to a workspace under the given limit. */
  int guaranteedRequests(std::string_view aWorkspace, int aLimit) const;

private:
  struct Usage
  {
    int inFlight = 0;
    double weight = 1;
    base::TimePoint lastSeen;
  };

  void evictIdle(base::TimePoint aNow);

  const base::Duration mIdleTimeout;
  std::map<std::string, Usage, std::less<>> mUsage;
  double mTotalWeight = 0;
  int mInFlight = 0;
};

} // namespace boragepitch::routing
