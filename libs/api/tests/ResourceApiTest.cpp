#define BOOST_TEST_MODULE api_resources
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <thread>

#include "api/ResourceApi.h"
#include "base/Json.h"
#include "net/HttpClient.h"
#include "resources/Codec.h"
#include "support/MemoryStore.h"
#include "support/ResourceGenerators.h"
#include "support/TestAddress.h"

using namespace boragepitch;
using namespace std::chrono_literals;

namespace {

constexpr const char* kKey = "operator-key-for-tests";

struct Fixture
{
  test::MemoryStore store;
  net::Address address = test::unusedAddress();
  std::unique_ptr<net::HttpServer> server;
  std::unique_ptr<api::ResourceApi> resourceApi;
  std::unique_ptr<net::HttpClient> client =
    std::make_unique<net::HttpClient>(address, net::ClientOptions{ .keepAlive = true });

  Fixture()
  {
    server = net::HttpServer::Builder().address(address).build();
    resourceApi = api::ResourceApi::Builder()
                    .store(store)
                    .fleet(store)
                    .operatorKeys({ "older-operator-key", kKey })
                    .maxBodyBytes(20'000)
                    .maxBatch(20)
                    .maxWatches(2)
                    .maxLoggedChanges(50)
                    .heartbeat(20ms)
                    .pollInterval(1ms)
                    .progress([] {
                      Json::Value json;
                      json["moved"] = 3;
                      return json;
                    })
                    .build();
    resourceApi->attach(*server);
    BOOST_REQUIRE(server->start().has_value());
  }

  ~Fixture()
  {
    client.reset(); // An idle keep-alive connection would delay stop().
    resourceApi->stop();
    server->stop();
  }

  net::ClientResponse send(const std::string& aMethod,
                           const std::string& aTarget,
                           const std::string& aBody = "",
                           const std::string& aKey = kKey)
  {
    net::ClientRequest request{ .method = aMethod, .target = "/api/v1/" + aTarget, .body = aBody };
    request.headers.emplace("Authorization", "Bearer " + aKey);
    return client->send(request).value();
  }

  static Json::Value json(const net::ClientResponse& aResponse)
  {
    return base::parseJson(aResponse.body).value();
  }

  static std::string errorKind(const net::ClientResponse& aResponse)
  {
    return json(aResponse)["error"]["kind"].asString();
  }
};

std::string zone(const std::string& aName, const std::string& aRest = "")
{
  return R"({"kind":"Zone","name":")" + aName + R"(","spec":{"region":"south"})" + aRest + "}";
}

/** Retries until the condition holds; a watch may be refused until the previous one has ended. */
bool waitFor(const std::function<bool()>& aCondition)
{
  auto deadline = std::chrono::steady_clock::now() + 20s;
  while (std::chrono::steady_clock::now() < deadline) {
    if (aCondition()) {
      return true;
    }
  }
  return false;
}

/** Reads a watch until aCount "data:" lines have arrived or it ends. */
std::string watchUntil(const net::Address& aAddress, const std::string& aTarget, size_t aCount)
{
  net::HttpClient client(aAddress);
  std::string text;
  auto isEnough = [&] {
    size_t count = 0;
    for (size_t at = text.find("data:"); at != std::string::npos; at = text.find("data:", at + 1)) {
      ++count;
    }
    return count >= aCount;
  };
  auto ignored = client.stream(
    { .target = "/api/v1/" + aTarget, .totalTimeout = 20s },
    [](const net::ClientResponse&) { return true; },
    [&](std::string_view aPiece) {
      text += aPiece;
      return !isEnough();
    });
  (void)ignored;
  return text;
}

} // namespace

// Guards against wrong status codes and versions over the lifetime of a resource.
BOOST_FIXTURE_TEST_CASE(createReadReplaceDelete, Fixture)
{
  auto created = send("POST", "Zone", zone("atl"));
  BOOST_TEST(created.status == 201);
  BOOST_TEST(json(created)["revision"].asUInt64() == 1);
  BOOST_TEST(send("POST", "Zone", zone("atl")).status == 409);
  auto read = send("GET", "Zone/atl");
  BOOST_TEST(json(read)["spec"]["inService"].asBool());
  BOOST_TEST(json(read)["status"]["conditions"][0]["type"].asString() == "InService");
  BOOST_TEST(send("PUT", "Zone/atl", zone("atl")).status == 400);
  BOOST_TEST(send("PUT", "Zone/atl", zone("atl", R"(,"resourceVersion":9)")).status == 409);
  BOOST_TEST(send("PUT", "Zone/atl", read.body).status == 200);
  BOOST_TEST(json(send("GET", "Zone"))["items"].size() == 1);
  BOOST_TEST(json(send("GET", "Zone"))["revision"].asUInt64() == 2);
  BOOST_TEST(send("DELETE", "Zone/atl").status == 400);
  BOOST_TEST(send("DELETE", "Zone/atl?resourceVersion=1").status == 409);
  BOOST_TEST(send("DELETE", "Zone/atl?resourceVersion=2").status == 200);
  BOOST_TEST(send("GET", "Zone/atl").status == 404);
  BOOST_TEST(json(send("GET", "progress"))["moved"].asInt() == 3);
}

// Guards against writes without a key, and against a rotation that locks operators out.
BOOST_FIXTURE_TEST_CASE(writesNeedAnOperatorKey, Fixture)
{
  for (const char* key : { "", "wrong", "operator-key-for-test", "operator-key-for-testsx" }) {
    auto response = send("POST", "Zone", zone("atl"), key);
    BOOST_TEST(response.status == 401, key);
    BOOST_TEST(errorKind(response) == "unauthorized");
  }
  BOOST_TEST(store.config()->revision() == 0);
  BOOST_TEST(send("POST", "Zone", zone("atl"), "older-operator-key").status == 201);
}

// Guards against batches that take effect in part.
BOOST_FIXTURE_TEST_CASE(batchesApplyWholeOrNotAtAll, Fixture)
{
  std::string vm = R"({"kind":"Vm","name":"v","spec":{"zone":"atl"}})";
  auto element = [](const std::string& aResource) {
    return R"({"type":"create","resource":)" + aResource + "}";
  };
  auto incomplete = send("POST", "batch", R"({"changes":[)" + element(vm) + "]}");
  BOOST_TEST(incomplete.status == 400);
  BOOST_TEST(store.attempts == 0);
  auto whole =
    send("POST", "batch", R"({"changes":[)" + element(vm) + "," + element(zone("atl")) + "]}");
  BOOST_TEST(whole.status == 200);
  BOOST_TEST(json(whole)["items"].size() == 2);
  auto repeated =
    send("POST", "batch", R"({"changes":[)" + element(zone("x")) + "," + element(zone("x")) + "]}");
  BOOST_TEST(errorKind(repeated) == "invalid");
  std::string many = R"({"changes":[)" + element(zone("z0"));
  for (int i = 1; i < 21; ++i) {
    many += "," + element(zone("z" + std::to_string(i)));
  }
  BOOST_TEST(send("POST", "batch", many + "]}").status == 413);
  auto deletion = R"({"changes":[{"type":"delete","resource":{"kind":"Vm","name":"v",
    "resourceVersion":1}},{"type":"delete","resource":{"kind":"Zone","name":"atl",
    "resourceVersion":1}}]})";
  BOOST_TEST(send("POST", "batch", deletion).status == 200);
  BOOST_TEST(store.config()->all().empty());
}

// Guards against committing a write whose validation no longer holds (F9), and against reporting a
// write whose answer was lost as not written (F7).
BOOST_FIXTURE_TEST_CASE(reportsConflictsAndOutagesCorrectly, Fixture)
{
  store.loseRaces = 3;
  BOOST_TEST(send("POST", "Zone", zone("atl")).status == 201);
  BOOST_TEST(store.attempts == 4);
  store.loseRaces = 1000;
  auto busy = send("POST", "Zone", zone("sav"));
  BOOST_TEST(busy.status == 503);
  BOOST_TEST(busy.header("Retry-After").value_or("") == "1");
  store.loseRaces = 0;
  store.loseAnswer = true;
  auto lost = send("POST", "Zone", zone("mcn"));
  BOOST_TEST(lost.status == 504);
  BOOST_TEST(errorKind(lost) == "unknownOutcome");
  store.loseAnswer = false;
  store.outage = true;
  BOOST_TEST(errorKind(send("POST", "Zone", zone("x"))) == "unavailable");
  BOOST_TEST(send("GET", "Zone").status == 200);
}

// Guards against watches that miss or repeat changes, or resume in the middle of a transaction.
BOOST_FIXTURE_TEST_CASE(watchesResumeWhereTheyEnded, Fixture)
{
  send("POST", "Zone", zone("a"));
  std::string first = watchUntil(address, "Zone?watch=1&from=0", 2);
  BOOST_TEST(first.find("event: added") != std::string::npos);
  BOOST_TEST(first.find("id: 1\nevent: revision") != std::string::npos);
  std::thread writer([&] { store.apply({}); });
  std::string second = watchUntil(address, "Zone?watch=1&from=1", 1);
  writer.join();
  BOOST_TEST(second.find("event: added") == std::string::npos);
  BOOST_TEST(second.find("id: 2\n") != std::string::npos);
  send("DELETE", "Zone/a?resourceVersion=1");
  BOOST_TEST(watchUntil(address, "Zone?watch=1&from=2", 2).find("event: removed") !=
             std::string::npos);
}

// Guards against a watch that silently skips changes that the log no longer holds.
BOOST_FIXTURE_TEST_CASE(watchesFromEvictedRevisionsAreGone, Fixture)
{
  for (int i = 0; i < 80; ++i) {
    store.apply({});
    std::string target = "Zone?watch=1&from=" + std::to_string(i);
    std::string expected = "id: " + std::to_string(i + 1);
    BOOST_REQUIRE(
      waitFor([&] { return watchUntil(address, target, 1).find(expected) != std::string::npos; }));
  }
  auto gone = send("GET", "Zone?watch=1&from=3");
  BOOST_TEST(gone.status == 410);
  BOOST_TEST(!json(gone)["error"]["remedy"].asString().empty());
  BOOST_TEST(send("GET", "Zone?watch=1&from=x").status == 400);
  BOOST_TEST(send("GET", "Zone?watch=1").status == 400);
  BOOST_TEST(send("GET", "Zone?watch=yes&from=3").status == 400);
}

// Guards against idle watches that cannot be distinguished from dead connections (F11), and against
// a server that cannot stop while a watch is open.
BOOST_FIXTURE_TEST_CASE(quietWatchesSendHeartbeatsAndEndOnStop, Fixture)
{
  std::string text;
  std::atomic<bool> hasHeartbeat{ false };
  std::thread watcher([&] {
    net::HttpClient watchClient(address);
    auto ignored = watchClient.stream(
      { .target = "/api/v1/Zone?watch=1&from=0", .totalTimeout = 20s },
      [](const net::ClientResponse&) { return true; },
      [&](std::string_view aPiece) {
        text += aPiece;
        hasHeartbeat = text.find(": heartbeat") != std::string::npos;
        return true;
      });
    (void)ignored;
  });
  while (!hasHeartbeat) {
    std::this_thread::sleep_for(1ms);
  }
  resourceApi->stop();
  watcher.join();
  BOOST_TEST(send("GET", "Zone?watch=1&from=0").status == 503);
}

// Guards against bodies that crash the server, are refused without a reason, or change something
// although they are refused.
BOOST_AUTO_TEST_CASE(generatedBodiesGiveTypedErrorsAndChangeNothing)
{
  Fixture fixture;
  fixture.store.apply(
    { { resources::ChangeType::Create, { "Zone", "atl", 0, resources::Zone{ "south", true } } } });
  bool passed = rc::check([&fixture] {
    auto resource = test::makeResource(*rc::gen::inRange(0, test::kResourceKinds));
    Json::Value json = resources::toJson(resource);
    test::damage(json);
    std::string body = base::writeJson(json);
    switch (*rc::gen::inRange(0, 6)) {
      case 0: // Malformed.
        body.resize(*rc::gen::inRange<size_t>(0, body.size()));
        break;
      case 1: // Duplicate key.
        body = R"({"kind":"Zone",)" + body.substr(1);
        break;
      case 2: // Oversized.
        body += std::string(30'000, ' ');
        break;
      default:
        break;
    }
    uint64_t before = fixture.store.config()->revision();
    bool isBatch = *rc::gen::inRange(0, 3) == 0;
    bool isReplace = !isBatch && *rc::gen::arbitrary<bool>();
    std::string path = isBatch ? "batch" : resource.kind + (isReplace ? "/" + resource.name : "");
    std::string text =
      isBatch ? R"({"changes":[{"type":"replace","resource":)" + body + "}]}" : body;
    auto response = fixture.send(isReplace ? "PUT" : "POST", path, text);
    bool isWritten = fixture.store.config()->revision() != before;
    RC_ASSERT(isWritten == (response.status == 200 || response.status == 201));
    if (!isWritten) {
      Json::Value error = Fixture::json(response)["error"];
      RC_ASSERT(!error["kind"].asString().empty());
      RC_ASSERT(!error["field"].asString().empty());
      RC_ASSERT(!error["message"].asString().empty());
      RC_ASSERT(!error["remedy"].asString().empty());
    }
  });
  BOOST_TEST(passed);
}
