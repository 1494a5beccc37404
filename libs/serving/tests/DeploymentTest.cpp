#define BOOST_TEST_MODULE serving_deployment
#include <boost/test/unit_test.hpp>

#include "serving/Deployment.h"

using namespace boragepitch::serving;

namespace {

Route route(std::string aName, std::string aHost, std::string aPrefix)
{
  Route made;
  made.name = std::move(aName);
  made.host = std::move(aHost);
  made.pathPrefix = std::move(aPrefix);
  return made;
}

std::shared_ptr<const Deployment> sample()
{
  Deployment::Builder builder;
  builder.version(7)
    .addRoute(route("short", "a.example", "/x/"))
    .addRoute(route("long", "a.example", "/x/y/"))
    .addRoute(route("other", "b.example", "/x/"))
    .requireKeys()
    .addWorkspace({ .name = "hoops" }, { "key-1", "key-2" });
  return builder.build();
}

} // namespace

// Guards against a route with a short prefix that takes the requests of one with a longer prefix.
BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostWins)
{
  auto deployment = sample();
  BOOST_TEST(deployment->match("a.example", "/x/y/z")->name == "long");
  BOOST_TEST(deployment->match("a.example", "/x/z")->name == "short");
  BOOST_TEST(deployment->match("b.example", "/x/y/z")->name == "other");
  BOOST_TEST(deployment->match("a.example", "/x") == nullptr);
  BOOST_TEST(deployment->match("c.example", "/x/") == nullptr);
}

// Guards against a key that gives access to another workspace, and an unknown key that gives access
// to any.
BOOST_AUTO_TEST_CASE(keyGivesAccessToItsWorkspace)
{
  auto deployment = sample();
  BOOST_TEST(deployment->workspaceOf("key-2")->name == "hoops");
  BOOST_TEST(deployment->workspaceOf("key-3") == nullptr);
  BOOST_TEST(deployment->workspaceOf("") == nullptr);
}

// Guards against a second run of a stream that cannot be resumed.
BOOST_AUTO_TEST_CASE(onlyResumableStreamsMayRepeat)
{
  Route stream = route("s", "a.example", "/");
  stream.kind = CallKind::Streaming;
  BOOST_TEST(!stream.mayRepeat());
  stream.isResumable = true;
  BOOST_TEST(stream.mayRepeat());
  stream.kind = CallKind::Mutating;
  BOOST_TEST(!stream.mayRepeat());
}

// Guards against breaking streams that no other endpoint may resume.
BOOST_AUTO_TEST_CASE(streamsMoveOnlyIfEveryRouteAllowsIt)
{
  Route stream = route("s", "h", "/");
  stream.kind = CallKind::Streaming;
  stream.maxAttempts = 2;
  stream.isResumable = true;
  stream.services = { { "drafter" } };
  auto mayMove = [](const std::vector<Route>& aRoutes, const Regions& aWorkspaceRegions = {}) {
    Deployment::Builder builder;
    for (const Route& route : aRoutes) {
      builder.addRoute(route);
    }
    builder.addWorkspace({ .name = "w", .regions = aWorkspaceRegions }, {});
    return builder.build()->mayMoveStreams("drafter");
  };
  BOOST_TEST(mayMove({ stream }));
  BOOST_TEST(!mayMove({}));
  BOOST_TEST(!mayMove({ stream }, { "north" }));
  Route other = stream;
  other.isResumable = false;
  BOOST_TEST(!mayMove({ stream, other }));
  other = stream;
  other.maxAttempts = 1;
  BOOST_TEST(!mayMove({ stream, other }));
  other = stream;
  other.kind = CallKind::Idempotent;
  BOOST_TEST(!mayMove({ stream, other }));
  other.services = { { "another" } };
  BOOST_TEST(mayMove({ stream, other }));
  other = stream;
  other.regions = { "north" };
  BOOST_TEST(!mayMove({ stream, other }));
}
