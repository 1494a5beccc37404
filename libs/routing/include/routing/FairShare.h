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
 * Divides a concurrency limit among workspaces. Below the limit everyone may use what is free. At
 * the limit a workspace that uses less than its guaranteed part still starts, so that large
 * workspaces do not crowd out small ones; one that uses more is refused. Guaranteed parts are in
 * proportion to share times worth among the workspaces that were active recently, and never below
 * one request. Not thread-safe.
 */
class FairShare
{
public:
  explicit FairShare(base::Duration aActiveFor = std::chrono::seconds(2));

  /** True when the request may start; then call finish() exactly once. */
  bool tryStart(std::string_view aWorkspace,
                WorkspaceWeight aWeight,
                int aLimit,
                base::TimePoint aNow);
  void finish(std::string_view aWorkspace, base::TimePoint aNow);

  int inFlight() const { return mInFlight; }
  int inFlight(std::string_view aWorkspace) const;
  /** Requests guaranteed to a workspace under the given limit. */
  int guaranteed(std::string_view aWorkspace, int aLimit) const;

private:
  struct Usage
  {
    int inFlight = 0;
    double weight = 1;
    base::TimePoint lastSeen;
  };

  void forgetIdle(base::TimePoint aNow);

  const base::Duration mActiveFor;
  std::map<std::string, Usage, std::less<>> mUsage;
  double mTotalWeight = 0;
  int mInFlight = 0;
};

} // namespace boragepitch::routing
