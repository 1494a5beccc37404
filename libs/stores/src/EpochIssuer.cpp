#include "stores/Lease.h"

#include <algorithm>
#include <charconv>

namespace boragepitch::stores {

namespace {

using base::ErrorKind;

// One agent writes the epoch of an endpoint; more conflicts than this mean that two agents do.
constexpr int kMaxEpochAttempts = 8;

base::Result<uint64_t> parseEpoch(const Row& aRow)
{
  uint64_t epoch = 0;
  const char* end = aRow.value.data() + aRow.value.size();
  auto [parsed, error] = std::from_chars(aRow.value.data(), end, epoch);
  if (error != std::errc() || parsed != end) {
    return base::fail(ErrorKind::Corrupt,
                      aRow.key,
                      "the row does not hold a number",
                      "set it to a number above the epoch that the engine reports");
  }
  return epoch;
}

} // namespace

EpochIssuer::EpochIssuer(TableClient& aTable, std::string aOwner)
  : mTable(aTable)
  , mOwner(std::move(aOwner))
{
}

base::Result<uint64_t> EpochIssuer::issue(const std::string& aEndpoint, uint64_t aReportedEpoch)
{
  const std::string key = "epoch/" + aEndpoint;
  base::Error last;
  for (int tries = 0; tries < kMaxEpochAttempts; ++tries) {
    auto rows = mTable.read({ key });
    if (!rows) {
      return tl::make_unexpected(rows.error());
    }
    Row row = rows->empty() ? Row{ key, "0", 0 } : rows->front();
    auto current = parseEpoch(row);
    if (!current) {
      return current;
    }
    uint64_t epoch = std::max(*current, aReportedEpoch) + 1;
    std::string id = mOwner + "/" + key + "/" + std::to_string(++mCounter);
    auto answer =
      mTable.commit({ id, { { key, row.version } }, { { key, std::to_string(epoch) } }, {} });
    if (answer) {
      return epoch;
    }
    last = answer.error();
    // After a lost answer the next epoch is taken: a skipped number is harmless, and the check on
    // the row keeps the lost transaction from taking effect later.
    if (last.kind != ErrorKind::Conflict && last.kind != ErrorKind::UnknownOutcome) {
      break;
    }
  }
  return tl::make_unexpected(last);
}

} // namespace boragepitch::stores
