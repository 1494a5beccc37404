#include "OperatorListener.h"

#include <utility>

#include "StoreCallLog.h"
#include "platform/OperatorRows.h"

namespace boragepitch::tools {

using platform::OperatorRowKind;

namespace {
/** A call that takes longer has waited for the change that it returns. */
constexpr base::Milliseconds kMaxRoundTrip{ 100 };
/** Pauses between calls that are part of the watch; the enforcement leaves room for more. */
constexpr base::Milliseconds kMaxPause{ 200 };
} // namespace

OperatorListener::OperatorListener(relay::Relay& aRelay,
                                   LoaderNotifier& aNotifier,
                                   telemetry::EventLog& aLog,
                                   telemetry::Registry& aMetrics,
                                   serving::VersionTiming aTiming,
                                   stores::TableWatcher::MakeFeed aMakeFeed)
  : mRelay(aRelay)
  , mNotifier(aNotifier)
  , mLog(aLog)
  , mPendingBytes(
      aMetrics.gauge("bp_router_pending_change_bytes",
                     "Size of a change of the operators' table that was announced to this "
                     "entry and could not be read yet; 0 if there is none."))
  , mTiming(aTiming)
  , mPublisher(std::move(aMakeFeed), aLog)
{
}

void OperatorListener::onSnapshot(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  auto known = mHeldEvacuations.with(std::exchange(mEvacuated, {}));
  for (const auto& row : aRows) {
    applyEvacuation(row);
  }
  if (std::exchange(mWasRestored, false)) {
    mHeldEvacuations.hold(known, mEvacuated, aNow + base::Duration(serving::kRewriteTime));
  }
  applyRows(aRows, RowSource::Snapshot, aNow);
}

void OperatorListener::applyEvacuation(const stores::RowChange& aRow)
{
  auto key = platform::readOperatorKey(aRow.key);
  if (key.kind != OperatorRowKind::Evacuation) {
    return;
  }
  mHeldEvacuations.release(key.name);
  if (aRow.isDeleted) {
    mEvacuated.erase(key.name);
  } else {
    mEvacuated.emplace(key.name, std::monostate());
  }
}

void OperatorListener::updateEvacuated()
{
  std::set<std::string> zones;
  for (const auto& [zone, unused] : mHeldEvacuations.with(mEvacuated)) {
    zones.insert(zone);
  }
  mRelay.setEvacuated(std::move(zones));
}

void OperatorListener::onChanges(const std::vector<stores::RowChange>& aRows, base::TimePoint aNow)
{
  applyRows(aRows, RowSource::Change, aNow);
}

void OperatorListener::applyRows(const std::vector<stores::RowChange>& aRows,
                                 RowSource aSource,
                                 base::TimePoint aNow)
{
  std::vector<const stores::RowChange*> deployments;
  std::vector<const stores::RowChange*> versions;
  for (const auto& row : aRows) {
    auto key = platform::readOperatorKey(row.key);
    switch (key.kind) {
      case OperatorRowKind::Deployment:
        deployments.push_back(&row);
        break;
      case OperatorRowKind::Evacuation:
        applyEvacuation(row);
        break;
      case OperatorRowKind::WeightVersion:
        versions.push_back(&row);
        break;
      case OperatorRowKind::Other:
        break;
    }
  }
  updateEvacuated();
  auto applyDeployments = [&] {
    for (const auto* row : deployments) {
      applyDeployment(*row, aNow);
    }
  };
  // The time of a version may have to be read from the store, which may be slow: it must not delay
  // what the other rows declare. The relay serves no requests before its first configuration, which
  // waits until the versions are known.
  bool servesRequests = mHasDeployment;
  if (servesRequests) {
    applyDeployments();
  }
  for (const auto* row : versions) {
    applyVersion(*row, aSource, aNow);
  }
  if (!servesRequests) {
    applyDeployments();
  }
}

void OperatorListener::applyDeployment(const stores::RowChange& aRow, base::TimePoint aNow)
{
  if (aRow.isDeleted) {
    return; // The last valid deployment stays in force.
  }
  auto startedAt = std::chrono::steady_clock::now();
  auto deployment = platform::readDeployment(aRow.value);
  auto decodeTime = std::chrono::steady_clock::now() - startedAt;
  if (!deployment) {
    mLog.write(telemetry::EventClass::Critical,
               "deployment_invalid",
               { { "error", deployment.error().describe() } },
               aNow);
    return;
  }
  if ((*deployment)->version() < mDeploymentVersion) {
    // The operator writes the present one again, if the store has lost it.
    mLog.write(telemetry::EventClass::Critical,
               "deployment_outdated",
               { { "version", std::to_string((*deployment)->version()) },
                 { "in_force", std::to_string(mDeploymentVersion) } },
               aNow);
    return;
  }
  mHasDeployment = true;
  mDeploymentVersion = (*deployment)->version();
  mLog.write(
    telemetry::EventClass::Critical,
    "deployment_read",
    { { "version", std::to_string(mDeploymentVersion) },
      { "bytes", std::to_string(aRow.value.size()) },
      { "answer_age_ms",
        std::to_string(base::toMilliseconds(aNow - mServiceClock.givenAt(mServiceTime, aNow))) },
      { "decode_ms", std::to_string(base::toMilliseconds(decodeTime)) } },
    aNow);
  mPublisher.setDeployment(**deployment);
  mRelay.setDeployment(std::move(*deployment));
}

void OperatorListener::applyVersion(const stores::RowChange& aRow,
                                    RowSource aSource,
                                    base::TimePoint aNow)
{
  if (aRow.isDeleted) {
    return;
  }
  auto declared = platform::readWeightVersion(aRow.value);
  if (!declared) {
    mLog.write(telemetry::EventClass::Critical,
               "version_invalid",
               { { "error", declared.error().describe() } },
               aNow);
    return;
  }
  if (mKnownVersions.contains({ declared->model, declared->version })) {
    return;
  }
  bool isReadAtOnce = aSource == RowSource::Change && !mFailedCallAt && !mayPrecedeCall(aNow);
  auto givenAt = mServiceClock.givenAt(mServiceTime, aNow);
  auto evidence = isReadAtOnce ? serving::DeclarationEvidence{ .notBefore = givenAt }
                               : evidenceOfLateRead(*declared, aSource, aNow);
  auto left = enforceVersion(*declared, aSource, evidence, aNow);
  if (!evidence.age) {
    // Loaders learn of the version from its record, whose time must match the enforcement here.
    auto sinceAnswer = std::chrono::duration_cast<base::Milliseconds>(aNow - givenAt);
    mPublisher.queueDeclaration(declared->model,
                                declared->version,
                                mServiceTime + sinceAnswer - (mTiming.afterDeclaration - left));
  }
  mNotifier.declareVersion(declared->model, declared->version);
}

serving::DeclarationEvidence OperatorListener::evidenceOfLateRead(
  const platform::DeclaredWeights& aDeclared,
  RowSource aSource,
  base::TimePoint aNow)
{
  serving::DeclarationEvidence evidence;
  auto ages = mPublisher.declarationAges(aDeclared.model, aNow);
  if (ages) {
    if (auto own = ages->extract(aDeclared.version)) {
      evidence.age = own.mapped();
    }
    enforceRecorded(aDeclared.model, *ages, aSource, aNow);
  } else {
    mModelsToRead.insert(aDeclared.model);
  }
  // A call that starts after an outage succeeds, so the outage lasted beyond the start of the last
  // failed call. What was declared during it counts from its end.
  bool hasFailed = aSource == RowSource::Change && mFailedCallAt;
  evidence.notBefore = hasFailed ? mFailedCallAt : mLastAnswerGivenAt;
  return evidence;
}

bool OperatorListener::mayPrecedeCall(base::TimePoint aNow) const
{
  // After a suspension the answer of the former call is read first, however old it is; the next
  // call returns at once what has changed since that answer was given.
  return mCallStartedAt && mLastAnswerGivenAt &&
         aNow - *mCallStartedAt <= base::Duration(kMaxRoundTrip) &&
         *mCallStartedAt - *mLastAnswerGivenAt > base::Duration(kMaxPause);
}

void OperatorListener::enforceRecorded(const std::string& aModel,
                                       const std::map<uint64_t, base::Milliseconds>& aAges,
                                       RowSource aSource,
                                       base::TimePoint aNow)
{
  // The operators' row names the newest version only. Older ones that were declared shortly before
  // must be enforced earlier.
  for (const auto& [version, age] : aAges) {
    auto known = mKnownVersions.find({ aModel, version });
    if (known == mKnownVersions.end() || !known->second) {
      enforceVersion({ aModel, version }, aSource, { .age = age }, aNow);
    }
  }
}

base::Milliseconds OperatorListener::enforceVersion(const platform::DeclaredWeights& aDeclared,
                                                    RowSource aSource,
                                                    const serving::DeclarationEvidence& aEvidence,
                                                    base::TimePoint aNow)
{
  mKnownVersions[{ aDeclared.model, aDeclared.version }] = aEvidence.age.has_value();
  auto from = serving::enforceFrom(aEvidence, mTiming, aNow);
  auto left = std::chrono::duration_cast<base::Milliseconds>(from - aNow);
  auto sinceLastCall =
    mLastCallAt ? std::to_string(base::toMilliseconds(aNow - *mLastCallAt)) : std::string("-");
  mLog.write(
    telemetry::EventClass::Critical,
    "version_read",
    { { "model", aDeclared.model },
      { "version", std::to_string(aDeclared.version) },
      { "source", aSource == RowSource::Change ? "change" : "snapshot" },
      { "age_ms", aEvidence.age ? std::to_string(aEvidence.age->count()) : "-" },
      { "answer_age_ms",
        std::to_string(base::toMilliseconds(aNow - mServiceClock.givenAt(mServiceTime, aNow))) },
      { "last_call_ms", sinceLastCall },
      { "enforced_in_ms", std::to_string(left.count()) } },
    aNow);
  mRelay.declareVersion(aDeclared.model, aDeclared.version, from);
  if (mServiceTime.count() > 0) {
    mPending.add({ aDeclared.model, aDeclared.version, from },
                 mServiceTime,
                 mServiceClock.givenAt(mServiceTime, aNow));
  }
  return left;
}

void OperatorListener::onCallEnded(const stores::TableCall& aCall, base::TimePoint aNow)
{
  logStoreCall(mLog, "operators", aCall, aNow);
  if (!aCall.status && aCall.answer.announcedBytes > aCall.answer.bytes) {
    mPendingBytes.set(static_cast<int64_t>(*aCall.answer.announcedBytes));
  }
}

void OperatorListener::onCallSucceeded(base::TimePoint aNow)
{
  mPendingBytes.set(0);
  mServiceClock.observe(mServiceTime, aNow);
  mLastCallAt = aNow;
  mLastAnswerGivenAt = mServiceClock.givenAt(mServiceTime, aNow);
  mFailedCallAt.reset();
  if (mHeldEvacuations.expire(aNow)) {
    updateEvacuated();
  }
  for (const std::string& model : std::exchange(mModelsToRead, {})) {
    if (auto ages = mPublisher.declarationAges(model, aNow)) {
      enforceRecorded(model, *ages, RowSource::Snapshot, aNow);
    } else {
      mModelsToRead.insert(model);
    }
  }
  for (const auto& moved : mPending.observe(mServiceTime, aNow)) {
    mRelay.declareVersion(moved.model, moved.version, moved.enforceFrom);
  }
  // Another entry recorded these versions first, maybe long before this one read them.
  mModelsToRead.merge(mPublisher.writeQueued(aNow));
}

void OperatorListener::onRestored(base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical, "store_restored", { { "table", "operators" } }, aNow);
  mPublisher.onRestored();
  mWasRestored = true;
}

void OperatorListener::onReachable(bool aReachable,
                                   const std::string& aReason,
                                   base::TimePoint aNow)
{
  mLog.write(telemetry::EventClass::Critical,
             aReachable ? "store_regained" : "store_lost",
             { { "table", "operators" }, { "reason", aReason.empty() ? "-" : aReason } },
             aNow);
}

} // namespace boragepitch::tools
