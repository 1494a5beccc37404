#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "NodeRows.h"
#include "control/FleetView.h"
#include "serving/EntrySubset.h"
#include "serving/HeldEntries.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/** An entry that receives the load reports of this VM's engine. */
struct ReportTarget
{
  net::Address address;
  /** The entry uses the engine and needs each report; others only look for spare capacity. */
  bool usesEngine = true;
};

/**
 * The fleet according to the table of nodes. All loaders count as alive, since the transfer itself
 * avoids peers that do not answer. Thread-safe.
 */
class LoaderFleet final
  : public control::FleetView
  , public stores::TableListener
{
public:
  /** @param aEngine address of the engine on this VM, as in the list of endpoints. */
  LoaderFleet(std::string aSelf,
              LoaderRow aSelfRow,
              std::string aEngine,
              serving::SubsetOptions aSubset,
              telemetry::EventLog& aLog);

  std::shared_ptr<const resources::Snapshot> config() const override;
  std::shared_ptr<const control::NodeTable> nodes() const override;
  bool mayStartNewWork(base::TimePoint aNow) const override;
  void publish(control::NodeState aSelf) override;

  void onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow) override;
  void onRestored(base::TimePoint aNow) override;
  void onCallSucceeded(base::TimePoint aNow) override;
  std::optional<base::TimePoint> wakeAt() const override;

  /** Adds an entry that announced itself, until the table of nodes names it. */
  void addEntry(const std::string& aName, const EntryRow& aRow);
  /** The known entries, which receive load reports. */
  std::vector<ReportTarget> reportTargets() const;
  /** Rank of this loader among the loaders of its service, and their number. The order is by hash
   * of the name, which mixes the zones. */
  std::pair<size_t, size_t> rank() const;

private:
  void applyRow(const stores::RowChange& aRow);
  void applyEntryRow(const stores::RowChange& aRow);
  control::NodeState stateOf(const std::string& aId, const LoaderRow& aRow) const;
  void rebuildNodes();
  void rebuildTargets();

  const std::string mSelf;
  const LoaderRow mSelfRow;
  const std::string mEngine;
  serving::EntrySubset mSubset; ///< Guarded by mMutex.
  telemetry::EventLog& mLog;
  mutable std::mutex mMutex;
  std::map<std::string, LoaderRow> mLoaders;
  std::map<std::string, EntryRow> mEntries; ///< By name.
  serving::HeldEntries<LoaderRow> mHeldLoaders;
  serving::HeldEntries<EntryRow> mHeldEntries;
  bool mWasRestored = false; ///< The next snapshot is the first after a restore.
  std::vector<ReportTarget> mTargets;
  std::shared_ptr<const control::NodeTable> mNodes;
  std::shared_ptr<const resources::Snapshot> mConfig;
};

} // namespace boragepitch::tools
