#pragma once

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <string>

#include "WeightRows.h"
#include "stores/RowFeed.h"

namespace boragepitch::test {

using namespace std::chrono_literals;

/** In-memory weight table, which outlives the processes under test. */
struct FakeWeightTable
{
  std::map<std::string, std::string, std::less<>> rows;
  base::Milliseconds time{ 5000 };
  bool isDown = false;
  int writes = 0; ///< Rows created or replaced.
  std::function<void()> onRead = [] {};
};

class FakeWeightTableFeed final : public stores::RowFeed
{
public:
  explicit FakeWeightTableFeed(FakeWeightTable& aTable)
    : mTable(aTable)
  {
  }
  base::Result<stores::RowPage> read(std::string_view, std::string_view) override { return down(); }
  base::Result<stores::RowPage> changes(std::string_view, uint64_t, base::Milliseconds) override
  {
    return down();
  }
  base::Result<stores::RowPage> get(std::string_view aTable, std::string_view aKey) override
  {
    BOOST_TEST(aTable == tools::kWeightTable);
    if (mTable.isDown) {
      return down();
    }
    stores::RowPage page;
    page.serviceTime = mTable.time;
    auto found = mTable.rows.find(aKey);
    if (found != mTable.rows.end()) {
      page.rows.push_back({ found->first, found->second });
    }
    return page;
  }
  base::Result<stores::RowPage> range(std::string_view aTable,
                                      std::string_view aFrom,
                                      std::string_view aTo) override
  {
    BOOST_TEST(aTable == tools::kWeightTable);
    mTable.onRead();
    if (mTable.isDown) {
      return down();
    }
    stores::RowPage page;
    page.serviceTime = mTable.time;
    for (auto row = mTable.rows.lower_bound(aFrom); row != mTable.rows.end() && row->first < aTo;
         ++row) {
      page.rows.push_back({ row->first, row->second });
    }
    return page;
  }
  base::Status put(std::string_view, std::string_view aKey, std::string_view aValue) override
  {
    if (mTable.isDown) {
      return tl::make_unexpected(down().error());
    }
    ++mTable.writes;
    mTable.rows[std::string(aKey)] = aValue;
    return {};
  }
  base::Status create(std::string_view, std::string_view aKey, std::string_view aValue) override
  {
    if (mTable.isDown) {
      return tl::make_unexpected(down().error());
    }
    if (!mTable.rows.emplace(aKey, aValue).second) {
      return base::fail(base::ErrorKind::Conflict, "", "exists", "");
    }
    ++mTable.writes;
    return {};
  }
  void cancel() override {}

private:
  static base::Result<stores::RowPage> down()
  {
    return base::fail(base::ErrorKind::Unavailable, "", "down", "");
  }
  FakeWeightTable& mTable;
};

} // namespace boragepitch::test
