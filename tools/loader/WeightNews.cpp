#include "WeightNews.h"

#include <algorithm>

namespace boragepitch::tools {

namespace {
/** Version of a model to load if none was ever declared. */
constexpr uint64_t kFirstVersion = 1;
/** The origin serves only the newest versions, this many. */
constexpr size_t kTargets = 2;
} // namespace

WeightNews::WeightNews(std::string aService, telemetry::EventLog& aLog)
  : mService(std::move(aService))
  , mLog(aLog)
{
}

void WeightNews::log(std::string_view aEvent,
                     std::initializer_list<telemetry::Field> aFields,
                     base::TimePoint aNow) const
{
  mLog.write(telemetry::EventClass::Critical, aEvent, aFields, aNow);
}

std::optional<WeightSetup> WeightNews::setup() const
{
  std::lock_guard lock(mMutex);
  return mSetup;
}

std::vector<WeightTarget> WeightNews::targets() const
{
  std::lock_guard lock(mMutex);
  std::vector<WeightTarget> targets;
  if (!mSetup) {
    return targets;
  }
  auto declared = mDeclared.find(mSetup->model);
  if (declared == mDeclared.end()) {
    return { { mSetup->model, kFirstVersion } };
  }
  for (auto entry = declared->second.rbegin();
       entry != declared->second.rend() && targets.size() < kTargets;
       ++entry) {
    targets.push_back({ mSetup->model, entry->first });
  }
  return targets;
}

base::TimePoint WeightNews::overdueSince(const std::string& aModel,
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

std::shared_ptr<const weights::Manifest> WeightNews::manifest(const WeightTarget& aTarget) const
{
  std::lock_guard lock(mMutex);
  auto found = mManifests.find(manifestKey(aTarget.model, std::to_string(aTarget.version)));
  return found == mManifests.end() ? nullptr : found->second;
}

void WeightNews::onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  onChanges(aRows, aNow);
}

void WeightNews::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  for (const auto& row : aRows) {
    take(row, aNow);
  }
  if (mOnChange) {
    mOnChange();
  }
}

void WeightNews::take(const stores::RowChange& aRow, base::TimePoint aNow)
{
  if (aRow.isDeleted) {
    return; // The last known value stays in force.
  }
  if (aRow.key == setupKey(mService)) {
    takeSetup(aRow, aNow);
  } else if (isManifestKey(aRow.key)) {
    takeManifest(aRow, aNow);
  } else if (auto declared = readDeclaredRow(aRow.key, aRow.value)) {
    takeDeclared(*declared, aNow);
  }
}

void WeightNews::takeSetup(const stores::RowChange& aRow, base::TimePoint aNow)
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

void WeightNews::takeManifest(const stores::RowChange& aRow, base::TimePoint aNow)
{
  auto manifest = weights::Manifest::parse(aRow.value);
  if (!manifest || aRow.key != manifestKey(manifest->model(), manifest->version())) {
    log("manifest_invalid", { { "row", aRow.key } }, aNow);
    return;
  }
  std::lock_guard lock(mMutex);
  mManifests[aRow.key] = std::make_shared<const weights::Manifest>(std::move(*manifest));
}

void WeightNews::takeDeclared(const DeclaredRow& aRow, base::TimePoint aNow)
{
  auto age = std::max(mServiceTime - aRow.declaredAt, base::Milliseconds(0));
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

void WeightNews::onReachable(bool aReachable, const std::string& aReason, base::TimePoint aNow)
{
  log(aReachable ? "store_regained" : "store_lost",
      { { "table", "weights" }, { "reason", aReason.empty() ? "-" : aReason } },
      aNow);
}

} // namespace boragepitch::tools
