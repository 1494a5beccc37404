#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "net/Address.h"

namespace boragepitch::stores {

/** A process that hands out copies of a table. */
struct CopyHolder
{
  std::string name; ///< Unique in the fleet.
  net::Address address;
  double bandwidth = 0; ///< Of its link, Mbit/s; 0 if unknown.
};

/**
 * Chooses the process from which to take copies. The processes that know each other form a tree:
 * the first one reads the service, and each other one takes the copy from its parent. Each process
 * computes its own parent; nothing is agreed, and two processes never wait for each other, as each
 * asks only those that come before it. One that gave no copy is left out for a time, as if it did
 * not exist. Not thread-safe.
 */
class CopyOrder
{
public:
  explicit CopyOrder(CopyHolder aSelf);

  /** Sets the other processes. */
  void setHolders(std::vector<CopyHolder> aHolders);
  /** The process to ask; empty if this one is to read the service. */
  std::optional<CopyHolder> source(base::TimePoint aNow) const;
  void failed(const std::string& aName, base::TimePoint aNow);
  void succeeded(const std::string& aName);

private:
  struct Failure
  {
    base::Duration avoidTime;
    base::TimePoint avoidUntil;
  };

  const CopyHolder mSelf;
  std::vector<CopyHolder> mBefore; ///< Processes before this one, in their order.
  std::map<std::string, Failure> mFailures;
};

} // namespace boragepitch::stores
