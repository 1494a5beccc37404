#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "LoaderFleet.h"
#include "WeightTableListener.h"

namespace boragepitch::tools {

/**
 * Handles the datagrams of entries. A notice of a version that the weight table's feed does not
 * deliver soon means that the feed's connection is dead, which its long wait would notice late. Not
 * thread-safe.
 */
class EntryNotices
{
public:
  /** @param aRefreshFeed reads the weight table's changes on a new connection. */
  EntryNotices(LoaderFleet& aFleet,
               const WeightTableListener& aWeightTable,
               telemetry::EventLog& aLog,
               std::function<void()> aRefreshFeed);

  void receive(std::string_view aDatagram, base::TimePoint aNow);
  /** Refreshes the feed when a version that was announced is overdue. */
  void step(base::TimePoint aNow);

private:
  struct Announced
  {
    std::string model;
    uint64_t version = 0;
    base::TimePoint checkAt;
  };

  LoaderFleet& mFleet;
  const WeightTableListener& mWeightTable;
  telemetry::EventLog& mLog;
  const std::function<void()> mRefreshFeed;
  std::optional<Announced> mAnnounced; ///< The newest version that the feed has not delivered.
};

} // namespace boragepitch::tools
