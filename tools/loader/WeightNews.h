#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "WeightRows.h"
#include "stores/TableWatcher.h"
#include "telemetry/EventLog.h"
#include "weights/Manifest.h"

namespace boragepitch::tools {

/** Weights that an engine is to hold. */
struct WeightTarget
{
  std::string model;
  uint64_t version = 0;
};

/** What the weight table says to the loaders of one service. Thread-safe. */
class WeightNews final : public stores::TableListener
{
public:
  WeightNews(std::string aService, telemetry::EventLog& aLog);

  /** Called on the watcher's thread after news; set before the table is watched. */
  void onChange(std::function<void()> aOnChange) { mOnChange = std::move(aOnChange); }

  /** Empty while it is not known. */
  std::optional<WeightSetup> setup() const;
  /** The versions to hold, newest first; empty while the setup is not known. */
  std::vector<WeightTarget> targets() const;
  /** When the oldest version that the engine does not have was declared; aNow for none. */
  base::TimePoint overdueSince(const std::string& aModel,
                               uint64_t aEngineVersion,
                               base::TimePoint aNow) const;
  /** A manifest that a loader has published; null when none was. */
  std::shared_ptr<const weights::Manifest> manifest(const WeightTarget& aTarget) const;

  void onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow) override;
  void onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow) override;
  void onServiceTime(base::Milliseconds aServiceTime) override { mServiceTime = aServiceTime; }

private:
  void take(const stores::RowChange& aRow, base::TimePoint aNow);
  void takeSetup(const stores::RowChange& aRow, base::TimePoint aNow);
  void takeManifest(const stores::RowChange& aRow, base::TimePoint aNow);
  void takeDeclared(const DeclaredRow& aRow, base::TimePoint aNow);
  void log(std::string_view aEvent,
           std::initializer_list<telemetry::Field> aFields,
           base::TimePoint aNow) const;

  const std::string mService;
  telemetry::EventLog& mLog;
  std::function<void()> mOnChange;
  base::Milliseconds mServiceTime{ 0 }; ///< Clock of the store at the latest news.

  mutable std::mutex mMutex;
  std::optional<WeightSetup> mSetup;
  /** When each version of a model was declared. */
  std::map<std::string, std::map<uint64_t, base::TimePoint>> mDeclared;
  std::map<std::string, std::shared_ptr<const weights::Manifest>> mManifests; ///< By row key.
};

} // namespace boragepitch::tools
