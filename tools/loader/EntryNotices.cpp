#include "EntryNotices.h"

#include "serving/PeerMessage.h"

namespace boragepitch::tools {

namespace {
/** Time for the record of a declaration to be written by an entry and delivered by the feed. */
constexpr base::Milliseconds kFeedDelay{ 400 };
} // namespace

EntryNotices::EntryNotices(LoaderFleet& aFleet,
                           const WeightTableListener& aWeightTable,
                           telemetry::EventLog& aLog,
                           std::function<void()> aRefreshFeed)
  : mFleet(aFleet)
  , mWeightTable(aWeightTable)
  , mLog(aLog)
  , mRefreshFeed(std::move(aRefreshFeed))
{
}

void EntryNotices::receive(std::string_view aDatagram, base::TimePoint aNow)
{
  auto message = serving::decode(aDatagram);
  const auto* notice = message ? std::get_if<serving::EntryNotice>(&*message) : nullptr;
  if (notice == nullptr) {
    mLog.write(telemetry::EventClass::Critical,
               "datagram_invalid",
               { { "error", message ? "not for a loader" : message.error().describe() } },
               aNow);
    return;
  }
  mFleet.addEntry(notice->entry.name, { notice->entry.region, notice->address });
  for (const auto& [model, version] : notice->weightVersions) {
    bool isNewer = !mAnnounced || mAnnounced->model != model || mAnnounced->version < version;
    if (isNewer && mWeightTable.isMissing(model, version)) {
      mAnnounced = Announced{ model, version, aNow + base::Duration(kFeedDelay) };
    }
  }
}

void EntryNotices::step(base::TimePoint aNow)
{
  if (!mAnnounced || aNow < mAnnounced->checkAt) {
    return;
  }
  if (mWeightTable.isMissing(mAnnounced->model, mAnnounced->version)) {
    mLog.write(telemetry::EventClass::Critical,
               "feed_behind",
               { { "table", "weights" },
                 { "model", mAnnounced->model },
                 { "announced", std::to_string(mAnnounced->version) } },
               aNow);
    mRefreshFeed();
  }
  mAnnounced.reset();
}

} // namespace boragepitch::tools
