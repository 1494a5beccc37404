#include "WeightPublisher.h"

namespace boragepitch::tools {

namespace {
/** Records of a model that are written again after a restore. Loaders load the two newest versions;
 * older ones may still be about to be enforced. */
constexpr size_t kKeptRecords = 8;
} // namespace

WeightPublisher::WeightPublisher(stores::TableWatcher::MakeFeed aMakeFeed,
                                 telemetry::EventLog& aLog)
  : mMakeFeed(std::move(aMakeFeed))
  , mLog(aLog)
{
}

void WeightPublisher::queueDeclaration(const std::string& aModel,
                                       uint64_t aVersion,
                                       base::Milliseconds aAt)
{
  mPendingRecords.emplace(declaredKey(aModel, aVersion),
                          PendingRecord{ aModel, writeDeclaredTime(aAt) });
  rememberRecord(aModel, aVersion, writeDeclaredTime(aAt));
}

void WeightPublisher::rememberRecord(const std::string& aModel,
                                     uint64_t aVersion,
                                     const std::string& aValue)
{
  auto& records = mRecords[aModel];
  records.emplace(aVersion, aValue);
  if (records.size() > kKeptRecords) {
    records.erase(records.begin());
  }
}

void WeightPublisher::onRestored()
{
  mWrittenSetups.clear();
  for (const auto& [model, records] : mRecords) {
    for (const auto& [version, value] : records) {
      mPendingRecords.emplace(declaredKey(model, version), PendingRecord{ model, value });
    }
  }
}

void WeightPublisher::setDeployment(const serving::Deployment& aDeployment)
{
  const serving::WeightSource* origin = nullptr;
  for (const auto& [name, service] : aDeployment.services()) {
    origin = service.origin ? &*service.origin : origin;
  }
  if (origin == nullptr) {
    return;
  }
  for (const auto& [name, service] : aDeployment.services()) {
    if (service.engine && !service.engine->models.empty()) {
      mSetups[setupKey(name)] = writeWeightSetup({ service.engine->models.front(),
                                                   origin->address,
                                                   origin->zone,
                                                   aDeployment.mayMoveStreams(name) });
    }
  }
}

std::set<std::string> WeightPublisher::writeQueued(base::TimePoint aNow)
{
  std::set<std::string> recordedByOthers;
  if (mPendingRecords.empty() && mSetups == mWrittenSetups) {
    return recordedByOthers;
  }
  auto feed = mMakeFeed();
  auto logFailure = [&](const std::string& aKey, const base::Error& aError) {
    // Retried after the next successful call to the store.
    mLog.write(telemetry::EventClass::Critical,
               "weight_row_not_written",
               { { "row", aKey }, { "error", aError.describe() } },
               aNow);
  };
  while (!mPendingRecords.empty()) {
    const auto& [key, record] = *mPendingRecords.begin();
    auto written = feed->create(kWeightTable, key, record.value);
    if (!written && written.error().kind != base::ErrorKind::Conflict) {
      logFailure(key, written.error());
      return recordedByOthers;
    }
    if (!written) {
      recordedByOthers.insert(record.model);
    }
    mPendingRecords.erase(mPendingRecords.begin());
  }
  for (const auto& [key, value] : mSetups) {
    auto found = mWrittenSetups.find(key);
    if (found != mWrittenSetups.end() && found->second == value) {
      continue;
    }
    if (auto written = writeSetup(*feed, key, value); !written) {
      logFailure(key, written.error());
      return recordedByOthers;
    }
    mWrittenSetups[key] = value;
  }
  return recordedByOthers;
}

base::Status WeightPublisher::writeSetup(stores::RowFeed& aFeed,
                                         const std::string& aKey,
                                         const std::string& aValue)
{
  auto created = aFeed.create(kWeightTable, aKey, aValue);
  if (created || created.error().kind != base::ErrorKind::Conflict) {
    return created;
  }
  auto page = aFeed.get(kWeightTable, aKey);
  if (!page) {
    return tl::make_unexpected(page.error());
  }
  if (!page->rows.empty() && page->rows.front().value == aValue) {
    return {};
  }
  return aFeed.put(kWeightTable, aKey, aValue);
}

base::Result<std::map<uint64_t, base::Milliseconds>> WeightPublisher::declarationAges(
  const std::string& aModel,
  base::TimePoint aNow)
{
  auto [first, end] = declaredRange(aModel);
  auto page = mMakeFeed()->range(kWeightTable, first, end);
  if (!page) {
    mLog.write(telemetry::EventClass::Critical,
               "declarations_unknown",
               { { "model", aModel }, { "error", page.error().describe() } },
               aNow);
    return tl::make_unexpected(page.error());
  }
  std::map<uint64_t, base::Milliseconds> ages;
  for (const stores::RowChange& row : page->rows) {
    auto declared = readDeclaredRow(row.key, row.value);
    if (declared) {
      ages[declared->version] = page->serviceTime - declared->declaredAt;
      mRecords[aModel].erase(declared->version); // The store's record counts.
      rememberRecord(aModel, declared->version, row.value);
    }
    mLog.write(telemetry::EventClass::Critical,
               "declaration_time",
               { { "row", row.key },
                 { "age_ms", declared ? std::to_string(ages[declared->version].count()) : "-" } },
               aNow);
  }
  return ages;
}

} // namespace boragepitch::tools
