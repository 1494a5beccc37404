#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "WeightRows.h"
#include "serving/ServiceClock.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"
#include "weights/Manifest.h"

namespace boragepitch::tools {

/** A weight version that a VM should hold. */
struct WeightTarget
{
  std::string model;
  uint64_t version = 0;
  base::TimePoint declaredAt; ///< Not set for the version that no declaration names.
};

/** The content of the weight table that concerns the loaders of one service. Thread-safe. */
class WeightTableListener final : public stores::TableListener
{
public:
  WeightTableListener(std::string aService, telemetry::EventLog& aLog);

  /** Sets a callback that runs on the watcher's thread after each batch of changes; call it before
   * the table is watched. */
  void onChange(std::function<void()> aOnChange) { mOnChange = std::move(aOnChange); }

  /** The setup of the loader's service; empty until it has been read. */
  std::optional<WeightSetup> setup() const;
  /** The versions to hold, newest first; empty until the setup has been read. */
  std::vector<WeightTarget> targets() const;
  /** Time at which the oldest version newer than the engine's was declared; aNow if there is none.
   */
  base::TimePoint oldestMissingDeclaredAt(const std::string& aModel,
                                          uint64_t aEngineVersion,
                                          base::TimePoint aNow) const;
  /** Whether the version is of this loader's model and its declaration has not been read. */
  bool isMissing(const std::string& aModel, uint64_t aVersion) const;
  /** The manifest that a loader has published for the target; null if there is none. */
  std::shared_ptr<const weights::Manifest> manifest(const WeightTarget& aTarget) const;

  void onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow) override;
  void onRestored(base::TimePoint aNow) override;
  void onServiceTime(base::Milliseconds aServiceTime) override { mServiceTime = aServiceTime; }
  void onCallSucceeded(base::TimePoint aNow) override { mServiceClock.observe(mServiceTime, aNow); }

private:
  void applyRow(const stores::RowChange& aRow, base::TimePoint aNow);
  void applySetup(const stores::RowChange& aRow, base::TimePoint aNow);
  void applyManifest(const stores::RowChange& aRow, base::TimePoint aNow);
  void applyDeclaration(const DeclaredRow& aRow, base::TimePoint aNow);
  void log(std::string_view aEvent,
           std::initializer_list<telemetry::Field> aFields,
           base::TimePoint aNow) const;

  const std::string mService;
  telemetry::EventLog& mLog;
  std::function<void()> mOnChange;
  base::Milliseconds mServiceTime{ 0 }; ///< Clock of the store at its latest answer.
  serving::ServiceClock mServiceClock;

  mutable std::mutex mMutex;
  std::optional<WeightSetup> mSetup;
  /** Declaration time by model and version. */
  std::map<std::string, std::map<uint64_t, base::TimePoint>> mDeclared;
  std::map<std::string, std::shared_ptr<const weights::Manifest>> mManifests; ///< By row key.
};

} // namespace boragepitch::tools
