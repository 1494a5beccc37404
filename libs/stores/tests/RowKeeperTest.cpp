#define BOOST_TEST_MODULE stores_row_keeper
#include <boost/test/unit_test.hpp>

#include <set>

#include "stores/RowKeeper.h"

using namespace boragepitch;
using namespace boragepitch::stores;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{ 1h };

/** A service whose rows come back from an older copy. */
struct FakeService
{
  std::map<std::string, std::string> rows;
  uint64_t era = 0;
  bool isDown = false;

  void restore(std::map<std::string, std::string> aCopy)
  {
    rows = std::move(aCopy);
    ++era;
  }
};

/** Writes all rows that are due until aUntil. */
void play(KeptRows& aRows, FakeService& aService, base::TimePoint aFrom, base::TimePoint aUntil)
{
  for (auto now = aFrom; now < aUntil; now += 100ms) {
    while (auto row = aRows.due(now)) {
      if (aService.isDown) {
        aRows.failed(*row, now);
      } else {
        aService.rows[row->key] = row->value;
        aRows.written(*row, aService.era, now);
      }
    }
  }
}

} // namespace

// Guards against rows that a process wrote once and that a restored store has lost: others never
// heard of the process, or of a declared version, until it restarted.
BOOST_AUTO_TEST_CASE(rowsAreWrittenAgainAfterEachRestore)
{
  FakeService service;
  KeptRows rows(1);
  rows.keep({ "t", "a", "1" }, kStart);
  play(rows, service, kStart, kStart + 1s);
  auto copy = service.rows;
  rows.keep({ "t", "b", "2" }, kStart + 1s);
  rows.keep({ "t", "a", "3" }, kStart + 1s);
  play(rows, service, kStart + 1s, kStart + 2s);
  BOOST_TEST(!rows.nextDueTime().has_value());
  auto now = kStart + 2s;
  for (int i = 0; i < 3; ++i, now += 3s) {
    service.restore(copy);
    rows.observeEra(service.era, now);
    service.isDown = i == 1;
    play(rows, service, now, now + 1s);
    service.isDown = false;
    play(rows, service, now + 1s, now + 3s);
    BOOST_TEST(service.rows.at("a") == "3");
    BOOST_TEST(service.rows.at("b") == "2");
    BOOST_TEST(!rows.nextDueTime().has_value());
  }
  rows.forget("t", "b");
  service.restore({});
  rows.observeEra(service.era, now);
  play(rows, service, now, now + 3s);
  BOOST_TEST(!service.rows.contains("b"));
}

// Guards against a write that was acknowledged before the restore and is taken for one of its rows.
BOOST_AUTO_TEST_CASE(anAcknowledgementOfAFormerEraDoesNotCount)
{
  KeptRows rows(1);
  rows.keep({ "t", "a", "1" }, kStart);
  auto row = rows.due(kStart);
  BOOST_REQUIRE(row.has_value());
  rows.observeEra(1, kStart);
  rows.written(*row, 0, kStart);
  BOOST_TEST(rows.due(kStart + 1s).has_value());
  rows.written(*row, 1, kStart);
  BOOST_TEST(!rows.nextDueTime().has_value());
  // An acknowledgement may be the first news of a restore.
  rows.keep({ "t", "b", "1" }, kStart);
  rows.written(*rows.due(kStart), 2, kStart);
  BOOST_TEST(rows.nextDueTime().has_value());
}

// Guards against a store that refuses calls because all processes write at the same moment.
BOOST_AUTO_TEST_CASE(processesDoNotWriteAtTheSameMoment)
{
  FakeService service;
  constexpr int kProcesses = 300;
  std::vector<KeptRows> fleet;
  for (int i = 0; i < kProcesses; ++i) {
    fleet.emplace_back(static_cast<uint64_t>(i));
    fleet.back().keep({ "t", std::to_string(i), "v" }, kStart);
    play(fleet.back(), service, kStart, kStart + 1s);
  }
  service.restore({});
  std::map<base::TimePoint, int> writes;
  for (auto& rows : fleet) {
    rows.observeEra(service.era, kStart + 2s);
    ++writes[std::chrono::time_point_cast<std::chrono::milliseconds>(*rows.nextDueTime())];
    play(rows, service, kStart + 2s, kStart + 4s);
  }
  BOOST_TEST(service.rows.size() == static_cast<size_t>(kProcesses));
  for (auto from = kStart + 2s; from < kStart + 4s; from += 100ms) {
    int inTenth = 0;
    for (const auto& [at, count] : writes) {
      inTenth += at >= from && at < from + 100ms ? count : 0;
    }
    BOOST_TEST(inTenth <=
               60); // 400 writes a second are 40 in a tenth; the store queues for a second.
  }
}

// Guards against rows that are not written because the service failed first.
BOOST_AUTO_TEST_CASE(theKeeperRetriesAndStops)
{
  struct Feed final : RowFeed
  {
    explicit Feed(std::atomic<int>& aCalls)
      : calls(aCalls)
    {
    }
    base::Result<RowPage> read(std::string_view, std::string_view) override { return RowPage{}; }
    base::Result<RowPage> get(std::string_view, std::string_view) override { return RowPage{}; }
    base::Result<RowPage> range(std::string_view, std::string_view, std::string_view) override
    {
      return RowPage{};
    }
    base::Result<RowPage> changes(std::string_view, uint64_t, base::Milliseconds) override
    {
      return RowPage{};
    }
    base::Status put(std::string_view, std::string_view, std::string_view) override
    {
      if (++calls == 1) {
        return base::fail(base::ErrorKind::Unavailable, "", "down", "");
      }
      return {};
    }
    base::Status create(std::string_view, std::string_view, std::string_view) override
    {
      return {};
    }
    std::optional<uint64_t> era() const override { return 2; }
    void cancel() override {}
    std::atomic<int>& calls;
  };
  std::atomic<int> calls{ 0 };
  std::atomic<int> failures{ 0 };
  RowKeeper keeper([&] { return std::make_unique<Feed>(calls); },
                   [&](const KeptRow&, const base::Error&) { ++failures; },
                   1);
  keeper.keep({ "t", "a", "1" });
  auto until = std::chrono::steady_clock::now() + 5s;
  while (calls < 2 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(5ms);
  }
  BOOST_TEST(failures == 1);
  keeper.observeEra(3);
  while (calls < 3 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(5ms);
  }
  BOOST_TEST(calls >= 3);
  keeper.stop();
}
