#define BOOST_TEST_MODULE router_weight_publisher
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <fcntl.h>
#include <unistd.h>

#include "FakeWeightTable.h"
#include "WeightPublisher.h"

using namespace boragepitch;
using namespace boragepitch::test;
using namespace boragepitch::tools;

namespace {

std::shared_ptr<const serving::Deployment> deployment(bool aResumable, const char* aOrigin)
{
  serving::Route route;
  route.name = "r";
  route.host = "h";
  route.pathPrefix = "/";
  route.kind = serving::CallKind::Streaming;
  route.isResumable = aResumable;
  route.maxAttempts = 2;
  route.services = { { "drafter" } };
  serving::Service engines;
  engines.name = "drafter";
  engines.engine.emplace().models = { "m" };
  serving::Service origin;
  origin.name = "weights";
  origin.origin = serving::WeightSource{ *net::parseAddress(aOrigin), "north-a", 4 };
  serving::Deployment::Builder builder;
  builder.addRoute(route).addService(engines).addService(origin);
  return builder.build();
}

struct Fixture
{
  FakeWeightTable table;
  telemetry::EventLog log{ ::open("/dev/null", O_WRONLY | O_CLOEXEC), "entry-1" };
  WeightPublisher publisher{ [this] { return std::make_unique<FakeWeightTableFeed>(table); }, log };
  base::TimePoint now{ 1h };
};

} // namespace

// Guards against loaders having to read the whole configuration to learn one address.
BOOST_FIXTURE_TEST_CASE(publishesTheSetupOfServicesWithEngines, Fixture)
{
  publisher.setDeployment(*deployment(true, "10.0.0.1:80"));
  publisher.writeQueued(now);
  BOOST_REQUIRE(table.rows.size() == 1U);
  auto setup = readWeightSetup(table.rows.at("setup/drafter"));
  BOOST_REQUIRE(setup);
  BOOST_TEST(setup->model == "m");
  BOOST_TEST(setup->origin.toString() == "10.0.0.1:80");
  BOOST_TEST(setup->originZone == "north-a");
  BOOST_TEST(setup->mayMoveStreams);
}

// Guards against one write for each configuration of a series.
BOOST_FIXTURE_TEST_CASE(writesTheSetupOnlyWhenItChanges, Fixture)
{
  for (int i = 0; i < 5; ++i) {
    publisher.setDeployment(*deployment(true, "10.0.0.1:80"));
    publisher.writeQueued(now);
  }
  BOOST_TEST(table.writes == 1);
  publisher.setDeployment(*deployment(false, "10.0.0.1:80"));
  publisher.writeQueued(now);
  BOOST_TEST(table.writes == 2);
  BOOST_TEST(!readWeightSetup(table.rows.at("setup/drafter"))->mayMoveStreams);
}

// Guards against waking every loader once for each entry that starts: only the first of the entries
// writes the setup that all of them compute.
BOOST_FIXTURE_TEST_CASE(entriesDoNotRepeatTheSetupOfAnother, Fixture)
{
  for (int entry = 0; entry < 21; ++entry) {
    WeightPublisher other{ [this] { return std::make_unique<FakeWeightTableFeed>(table); }, log };
    other.setDeployment(*deployment(true, "10.0.0.1:80"));
    other.writeQueued(now);
  }
  BOOST_TEST(table.writes == 1);
  WeightPublisher other{ [this] { return std::make_unique<FakeWeightTableFeed>(table); }, log };
  other.setDeployment(*deployment(true, "10.0.0.2:80"));
  other.writeQueued(now);
  BOOST_TEST(table.writes == 2);
  BOOST_TEST(readWeightSetup(table.rows.at("setup/drafter"))->origin.toString() == "10.0.0.2:80");
}

BOOST_FIXTURE_TEST_CASE(writesTheSetupOnceTheStoreAnswersAgain, Fixture)
{
  table.isDown = true;
  publisher.setDeployment(*deployment(true, "10.0.0.1:80"));
  publisher.writeQueued(now);
  table.isDown = false;
  publisher.writeQueued(now);
  BOOST_TEST(table.rows.contains("setup/drafter"));
}

// Guards against endpoints that load a version which no request may use: after a restore the store
// had lost the record of the newest one, and nobody wrote it again.
BOOST_FIXTURE_TEST_CASE(writesAgainWhatARestoredStoreHasLost, Fixture)
{
  publisher.setDeployment(*deployment(true, "10.0.0.1:80"));
  publisher.queueDeclaration("m", 2, 5000ms);
  publisher.writeQueued(now);
  auto copy = table.rows;
  publisher.setDeployment(*deployment(true, "10.0.0.2:80"));
  publisher.queueDeclaration("m", 3, 9000ms);
  publisher.writeQueued(now);
  auto whole = table.rows;
  for (int i = 0; i < 3; ++i) {
    table.rows = i == 0 ? copy : decltype(copy){};
    publisher.onRestored();
    table.isDown = i == 1;
    publisher.writeQueued(now);
    table.isDown = false;
    publisher.writeQueued(now);
    BOOST_TEST((table.rows == whole));
  }
  int writes = table.writes;
  publisher.writeQueued(now);
  BOOST_TEST(table.writes == writes);
}

// Guards against records that are lost because the entry that wrote them has ended, and against
// times of declarations that differ from the first record's.
BOOST_FIXTURE_TEST_CASE(writesTheRecordsOfOthersAgain, Fixture)
{
  {
    WeightPublisher other{ [this] { return std::make_unique<FakeWeightTableFeed>(table); }, log };
    other.queueDeclaration("m", 2, 4000ms);
    other.writeQueued(now);
  }
  BOOST_TEST(publisher.declarationAges("m", now).has_value());
  table.rows.clear();
  publisher.onRestored();
  publisher.writeQueued(now);
  BOOST_TEST(table.rows.at(declaredKey("m", 2)) == writeDeclaredTime(4000ms));
  // An entry that knows another time keeps the record that is there first.
  WeightPublisher late{ [this] { return std::make_unique<FakeWeightTableFeed>(table); }, log };
  late.queueDeclaration("m", 2, 4500ms);
  late.onRestored();
  BOOST_TEST(late.writeQueued(now).contains("m"));
  BOOST_TEST(table.rows.at(declaredKey("m", 2)) == writeDeclaredTime(4000ms));
}

// Guards against accepting truncated or foreign rows.
RC_BOOST_PROP(rejectsInvalidRows, (const std::string& aKey, const std::string& aValue))
{
  RC_ASSERT(!readDeclaredRow(aKey, aValue).has_value());
  RC_ASSERT(!readDeclaredRow("declared/m/2", "x" + aValue).has_value());
  RC_ASSERT(!readWeightSetup(aValue).has_value());
}

RC_BOOST_PROP(declarationRowsRoundTrip, (uint64_t aVersion, uint32_t aTime))
{
  auto row =
    readDeclaredRow(declaredKey("a/b", aVersion), writeDeclaredTime(base::Milliseconds(aTime)));
  RC_ASSERT(row.has_value());
  RC_ASSERT(row->model == "a/b");
  RC_ASSERT(row->version == aVersion);
  RC_ASSERT(row->declaredAt.count() == aTime);
}
