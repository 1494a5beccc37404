#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "LoaderNotifier.h"
#include "WeightPublisher.h"
#include "platform/OperatorRows.h"
#include "relay/Relay.h"
#include "serving/HeldEntries.h"
#include "serving/PendingVersions.h"
#include "serving/ServiceClock.h"
#include "serving/VersionTiming.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/**
 * Forwards the operators' declarations to the relay, and those about weights to the loaders. A
 * process that starts after a declaration enforces it at the same time as the others.
 */
class OperatorListener final : public stores::TableListener
{
public:
  /** @param aMakeFeed opens a connection to the store that holds the weight table. */
  OperatorListener(relay::Relay& aRelay,
                   LoaderNotifier& aNotifier,
                   telemetry::EventLog& aLog,
                   telemetry::Registry& aMetrics,
                   serving::VersionTiming aTiming,
                   stores::TableWatcher::MakeFeed aMakeFeed);

  void onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow) override;
  void onRestored(base::TimePoint aNow) override;
  void onCallStarted(base::TimePoint aNow) override { mCallStartedAt = aNow; }
  void onServiceTime(base::Milliseconds aServiceTime) override { mServiceTime = aServiceTime; }
  void onCallEnded(const stores::TableCall& aCall, base::TimePoint aNow) override;
  void onCallSucceeded(base::TimePoint aNow) override;
  void onCallFailed(base::TimePoint aStartedAt) override { mFailedCallAt = aStartedAt; }

private:
  /** Whether a row arrived as a change or was already there when the table was read. */
  enum class RowSource
  {
    Change,
    Snapshot,
  };

  void applyRows(const std::vector<stores::RowChange>& aRows,
                 RowSource aSource,
                 base::TimePoint aNow);
  void applyDeployment(const stores::RowChange& aRow, base::TimePoint aNow);
  void applyEvacuation(const stores::RowChange& aRow);
  /** Passes the evacuated zones on to the relay. */
  void updateEvacuated();
  void applyVersion(const stores::RowChange& aRow, RowSource aSource, base::TimePoint aNow);
  /** Whether a change that is read at aNow may have been there before the call that returned it. */
  bool mayPrecedeCall(base::TimePoint aNow) const;
  /** Evidence for a version that may have been declared long before it was read. Enforces older
   * versions that this process missed. */
  serving::DeclarationEvidence evidenceOfLateRead(const platform::DeclaredWeights& aDeclared,
                                                  RowSource aSource,
                                                  base::TimePoint aNow);
  /** Enforces the recorded versions of a model, unless this process took them from their records
   * before. */
  void enforceRecorded(const std::string& aModel,
                       const std::map<uint64_t, base::Milliseconds>& aAges,
                       RowSource aSource,
                       base::TimePoint aNow);
  /** Has the relay enforce the version; returns the time until then. */
  base::Milliseconds enforceVersion(const platform::DeclaredWeights& aDeclared,
                                    RowSource aSource,
                                    const serving::DeclarationEvidence& aEvidence,
                                    base::TimePoint aNow);

  relay::Relay& mRelay;
  LoaderNotifier& mNotifier;
  telemetry::EventLog& mLog;
  /** Size of a change that was announced and is not in force yet. */
  telemetry::Gauge& mPendingBytes;
  const serving::VersionTiming mTiming;
  WeightPublisher mPublisher;
  bool mHasDeployment = false;
  uint64_t mDeploymentVersion = 0; ///< Of the configuration in force.
  using Zones = std::map<std::string, std::monostate>;
  Zones mEvacuated; ///< According to the store.
  serving::HeldEntries<std::monostate> mHeldEvacuations;
  bool mWasRestored = false;            ///< The next snapshot is the first after a restore.
  base::Milliseconds mServiceTime{ 0 }; ///< Zero until the store named its clock.
  serving::ServiceClock mServiceClock;
  serving::PendingVersions mPending;
  std::optional<base::TimePoint> mCallStartedAt; ///< Start of the present call.
  std::optional<base::TimePoint> mLastCallAt;    ///< When the latest answer was read.
  /** When the store gave that answer: what it did not name was declared later. */
  std::optional<base::TimePoint> mLastAnswerGivenAt;
  std::set<std::string> mModelsToRead; ///< Models whose records could not be read yet.
  /** Start of the latest call, if it failed. */
  std::optional<base::TimePoint> mFailedCallAt;
  /** Versions by model and number, with whether their time was taken from a record. */
  std::map<std::pair<std::string, uint64_t>, bool> mKnownVersions;
};

} // namespace boragepitch::tools
