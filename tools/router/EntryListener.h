#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "LoaderNotifier.h"
#include "relay/Relay.h"
#include "serving/HeldEntries.h"
#include "stores/CopyOrder.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/** Tells the relay which other entries there are, and the notifier of all nodes. */
class EntryListener final : public stores::TableListener
{
public:
  using OnHolders = std::function<void(std::vector<stores::CopyHolder>)>;

  /** @param aOnHolders gets the other entries of this one's region, which hand out copies of the
   * operators' table. */
  EntryListener(relay::Relay& aRelay,
                LoaderNotifier& aNotifier,
                telemetry::EventLog& aLog,
                serving::EntryIdentity aSelf,
                OnHolders aOnHolders);

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
  const serving::EntryIdentity mSelf;
  const OnHolders mOnHolders;
  std::map<std::string, EntryRow> mEntries;  ///< Other entries by name.
  std::map<std::string, LoaderRow> mLoaders; ///< By name.
  serving::HeldEntries<EntryRow> mHeldEntries;
  serving::HeldEntries<LoaderRow> mHeldLoaders;
  bool mWasRestored = false; ///< The next snapshot is the first after a restore.
};

} // namespace boragepitch::tools
