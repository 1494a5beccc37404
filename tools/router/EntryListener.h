#pragma once

#include <map>
#include <string>

#include "LoaderNotifier.h"
#include "relay/Relay.h"
#include "serving/HeldEntries.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/** Tells the relay which other entries there are, and the notifier of all nodes. */
class EntryListener final : public stores::TableListener
{
public:
  EntryListener(relay::Relay& aRelay,
                LoaderNotifier& aNotifier,
                telemetry::EventLog& aLog,
                std::string aSelf);

  void onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow) override;
  void onRestored(base::TimePoint aNow) override;
  void onCallSucceeded(base::TimePoint aNow) override;
  std::optional<base::TimePoint> wakeAt() const override;

private:
  void applyRow(const stores::RowChange& aRow);
  void applyEntryRow(const stores::RowChange& aRow, std::string aName);
  void applyLoaderRow(const stores::RowChange& aRow, std::string aName);
  void updateNodes();

  relay::Relay& mRelay;
  LoaderNotifier& mNotifier;
  telemetry::EventLog& mLog;
  const std::string mSelf;
  std::map<std::string, EntryRow> mEntries;  ///< Other entries by name.
  std::map<std::string, LoaderRow> mLoaders; ///< By name.
  serving::HeldEntries<EntryRow> mHeldEntries;
  serving::HeldEntries<LoaderRow> mHeldLoaders;
  bool mWasRestored = false; ///< The next snapshot is the first after a restore.
};

} // namespace boragepitch::tools
