#define BOOST_TEST_MODULE router_loader_notifier
#include <boost/test/unit_test.hpp>

#include <set>

#include "RecordingSender.h"

using namespace boragepitch;
using namespace boragepitch::test;
using namespace boragepitch::tools;

namespace {

constexpr size_t kEntries = 21;
constexpr size_t kLoaders = 138;

std::vector<serving::EntryIdentity> entries()
{
  std::vector<serving::EntryIdentity> list;
  for (size_t i = 0; i < kEntries; ++i) {
    list.push_back({ "entry-" + std::to_string(i), "region-" + std::to_string(i % 5) });
  }
  return list;
}

std::map<std::string, LoaderRow> loaders(size_t aCount)
{
  std::map<std::string, LoaderRow> rows;
  for (size_t i = 0; i < aCount; ++i) {
    LoaderRow row;
    row.region = "region-" + std::to_string(i % 5);
    row.weights = { "10.0.0." + std::to_string(i), 80 };
    rows["loader-" + std::to_string(i)] = row;
  }
  return rows;
}

serving::EntryNotice decoded(const std::string& aText)
{
  auto message = serving::decode(aText);
  BOOST_REQUIRE(message);
  return std::get<serving::EntryNotice>(*message);
}

} // namespace

// Guards against an entry that joins and gets no load reports until each loader reads the store.
BOOST_AUTO_TEST_CASE(announcesItselfOnceToEachLoader)
{
  RecordingSender sender;
  LoaderNotifier notifier({ "entry-0", "region-0" }, { "10.1.0.1", 90 }, {}, sender);
  notifier.setNodes(entries(), loaders(10));
  BOOST_TEST(sender.sent.size() == 10U);
  auto notice = decoded(sender.sent.begin()->second.front());
  BOOST_TEST(notice.entry.name == "entry-0");
  BOOST_TEST(notice.entry.region == "region-0");
  BOOST_TEST(notice.address.toString() == "10.1.0.1:90");
  sender.sent.clear();
  notifier.setNodes(entries(), loaders(12));
  BOOST_TEST(sender.sent.size() == 2U);
}

// Guards against loaders that hear of a version from nobody, and against datagrams from each entry
// to each loader.
BOOST_AUTO_TEST_CASE(aFewEntriesTellEachLoaderOfAVersion)
{
  std::map<std::string, size_t> tellers;
  for (const serving::EntryIdentity& self : entries()) {
    RecordingSender sender;
    LoaderNotifier notifier(self, { "10.1.0.1", 90 }, {}, sender);
    auto others = entries();
    std::erase(others, self);
    notifier.setNodes(others, loaders(kLoaders));
    sender.sent.clear();
    notifier.declareVersion("m", 2);
    for (const auto& [loader, texts] : sender.sent) {
      ++tellers[loader];
      BOOST_TEST(decoded(texts.front()).weightVersions.at("m") == 2U);
    }
    sender.sent.clear();
    notifier.declareVersion("m", 2);
    notifier.declareVersion("m", 1);
    BOOST_TEST(sender.sent.empty());
  }
  BOOST_TEST(tellers.size() == kLoaders);
  for (const auto& [loader, count] : tellers) {
    BOOST_TEST(count == serving::SubsetOptions().entriesPerEndpoint);
  }
}
