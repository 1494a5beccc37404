#include "WeightTableListener.h"

#include <algorithm>

namespace boragepitch::tools {

namespace {
/** Version of a model to load if none was ever declared. */
constexpr uint64_t kFirstVersion = 1;
/** The origin does not serve versions older than these. */
constexpr size_t kMaxTargets = 2;
} // namespace

WeightTableListener::WeightTableListener(std::string aService, telemetry::EventLog& aLog)
  : mService(std::move(aService))
  , mLog(aLog)
{
}

void WeightTableListener::log(std::string_view aEvent,
                              std::initializer_list<telemetry::Field> aFields,
                              base::TimePoint aNow) const
{
  mLog.write(telemetry::EventClass::Critical, aEvent, aFields, aNow);
}

std::optional<WeightSetup> WeightTableListener::setup() const
{
  std::lock_guard lock(mMutex);
  return mSetup;
}

std::vector<WeightTarget> WeightTableListener::targets() const
{
  std::lock_guard lock(mMutex);
  std::vector<WeightTarget> targets;
  if (!mSetup) {
    return targets;
  }
  auto declared = mDeclared.find(mSetup->model);
  if (declared == mDeclared.end()) {
    return { { mSetup->model, kFirstVersion, {} } };
  }
  for (auto entry = declared->second.rbegin();
       entry != declared->second.rend() && targets.size() < kMaxTargets;
       ++entry) {
    targets.push_back({ mSetup->model, entry->first, entry->second });
  }
  return targets;
}

base::TimePoint WeightTableListener::oldestMissingDeclaredAt(const std::string& aModel,
                                                             uint64_t aEngineVersion,
                                                             base::TimePoint aNow) const
{
  std::lock_guard lock(mMutex);
  auto declared = mDeclared.find(aModel);
  if (declared == mDeclared.end()) {
    return aNow;
  }
  auto missing = declared->second.upper_bound(aEngineVersion);
  return missing == declared->second.end() ? aNow : missing->second;
}

bool WeightTableListener::isMissing(const std::string& aModel, uint64_t aVersion) const
{
  std::lock_guard lock(mMutex);
  if (!mSetup || mSetup->model != aModel) {
    return false;
  }
  auto declared = mDeclared.find(aModel);
  return declared == mDeclared.end() || !declared->second.contains(aVersion);
}

std::shared_ptr<const weights::Manifest> WeightTableListener::manifest(
  const WeightTarget& aTarget) const
{
  std::lock_guard lock(mMutex);
  auto found = mManifests.find(manifestKey(aTarget.model, std::to_string(aTarget.version)));
  return found == mManifests.end() ? nullptr : found->second;
}

void WeightTableListener::onSnapshot(const std::vector<stores::RowChange>& aRows,
                                     base::TimePoint aNow)
{
  onChanges(aRows, aNow);
}

void WeightTableListener::onChanges(const std::vector<stores::RowChange>& aRows,
                                    base::TimePoint aNow)
{
  for (const auto& row : aRows) {
    applyRow(row, aNow);
  }
  if (mOnChange) {
    mOnChange();
  }
}

void WeightTableListener::applyRow(const stores::RowChange& aRow, base::TimePoint aNow)
{
  if (aRow.isDeleted) {
    return; // The last known value stays in force.
  }
  if (aRow.key == setupKey(mService)) {
    applySetup(aRow, aNow);
  } else if (isManifestKey(aRow.key)) {
    applyManifest(aRow, aNow);
  } else if (auto declared = readDeclaredRow(aRow.key, aRow.value)) {
    applyDeclaration(*declared, aNow);
  }
}

void WeightTableListener::applySetup(const stores::RowChange& aRow, base::TimePoint aNow)
{
  auto setup = readWeightSetup(aRow.value);
  if (!setup) {
    log("setup_invalid", { { "error", setup.error().describe() } }, aNow);
    return;
  }
  log("setup",
      { { "model", setup->model },
        { "origin", setup->origin.toString() },
        { "may_move_streams", setup->mayMoveStreams ? "yes" : "no" } },
      aNow);
  std::lock_guard lock(mMutex);
  mSetup = std::move(*setup);
}

void WeightTableListener::applyManifest(const stores::RowChange& aRow, base::TimePoint aNow)
{
  auto manifest = weights::Manifest::parse(aRow.value);
  if (!manifest || aRow.key != manifestKey(manifest->model(), manifest->version())) {
    log("manifest_invalid", { { "row", aRow.key } }, aNow);
    return;
  }
  std::lock_guard lock(mMutex);
  mManifests[aRow.key] = std::make_shared<const weights::Manifest>(std::move(*manifest));
}

void WeightTableListener::applyDeclaration(const DeclaredRow& aRow, base::TimePoint aNow)
{
  auto sinceAnswer = aNow - mServiceClock.givenAt(mServiceTime, aNow);
  auto age = std::max(mServiceTime - aRow.declaredAt, base::Milliseconds(0)) +
             std::chrono::duration_cast<base::Milliseconds>(sinceAnswer);
  {
    std::lock_guard lock(mMutex);
    if (!mDeclared[aRow.model].emplace(aRow.version, aNow - age).second) {
      return;
    }
  }
  log("weights_declared",
      { { "model", aRow.model },
        { "version", std::to_string(aRow.version) },
        { "age_ms", std::to_string(age.count()) } },
      aNow);
}

void WeightTableListener::onRestored(base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical, "store_restored", { { "table", "weights" } }, aNow);
}

void WeightTableListener::onReachable(bool aReachable,
                                      const std::string& aReason,
                                      base::TimePoint aNow)
{
  log(aReachable ? "store_regained" : "store_lost",
      { { "table", "weights" }, { "reason", aReason.empty() ? "-" : aReason } },
      aNow);
}

} // namespace boragepitch::tools
