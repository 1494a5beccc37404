#define BOOST_TEST_MODULE platformHttp
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cstdio>
#include <mutex>

#include "base/Digest.h"
#include "base/Json.h"
#include "net/HttpServer.h"
#include "stores/HttpStores.h"
#include "support/TestAddress.h"

using namespace boragepitch;
using base::ErrorKind;
using base::Milliseconds;

namespace {

constexpr stores::RetrySettings kShortDelays{ .attemptTimeout = Milliseconds(2000),
                                              .deadline = Milliseconds(20000),
                                              .backoffBase = Milliseconds(2),
                                              .backoffCap = Milliseconds(10) };

/** A server that answers every request with the handler of the test and counts the calls. */
struct Service
{
  explicit Service(net::HttpHandler aHandler)
  {
    server = net::HttpServer::Builder().address(address).build();
    server->route("*", "/{rest...}", [this, handler = std::move(aHandler)](const auto& aRequest) {
      ++calls;
      std::lock_guard lock(mutex);
      return handler(aRequest);
    });
    BOOST_REQUIRE(server->start());
  }

  ~Service() { server->stop(); }

  template<typename Client>
  auto client()
  {
    return typename Client::Builder().address(address).retry(kShortDelays).build();
  }

  net::Address address = test::unusedAddress();
  std::unique_ptr<net::HttpServer> server;
  std::mutex mutex; ///< Held by handlers; guards what they share with the test.
  std::atomic<int> calls{ 0 };
};

net::HttpResponse status(int aStatus, std::string aBody = "{}")
{
  net::HttpResponse response;
  response.status = aStatus;
  response.body = std::move(aBody);
  return response;
}

net::HttpResponse cut()
{
  net::HttpResponse response;
  response.stream = [](net::StreamWriter& aWriter) {
    aWriter.write("{");
    return net::StreamEnd::Abort;
  };
  return response;
}

const stores::Transaction kTransaction{ "t", { { "a", 3 } }, { { "a", "1" } }, { "b" } };

} // namespace

BOOST_AUTO_TEST_SUITE(table)

// Guards against a wire format that differs from that of the table service.
BOOST_AUTO_TEST_CASE(sendsTransactionsAndReadsRows)
{
  std::string sent;
  Service service([&](const net::HttpRequest& aRequest) {
    if (aRequest.path == "/txn") {
      sent = aRequest.body;
      return status(200, R"({"committed":true,"version":9})");
    }
    return status(200, R"({"rows":[{"key":"a","value":"1","version":9}],"sequence":9})");
  });
  auto client = service.client<stores::HttpTable>();
  BOOST_TEST(client->commit(kTransaction).value() == 9);
  auto rows = client->scan("a", "", 10).value();
  BOOST_REQUIRE(rows.size() == 1);
  BOOST_TEST(rows[0].version == 9);
  BOOST_TEST(client->read({ "a" }).value()[0].value == "1");
  service.server->stop();
  BOOST_TEST(sent == R"({"checks":[{"key":"a","version":3}],"deletes":["b"],"id":"t",)"
                     R"("puts":[{"key":"a","value":"1"}]})");
}

// Guards against a write that is sent again after it may have taken effect.
BOOST_AUTO_TEST_CASE(neverRetriesAWriteWhoseAnswerWasLost)
{
  Service service([](const net::HttpRequest&) { return cut(); });
  auto answer = service.client<stores::HttpTable>()->commit(kTransaction);
  BOOST_REQUIRE(!answer);
  BOOST_TEST((answer.error().kind == ErrorKind::UnknownOutcome));
  BOOST_TEST(service.calls == 1);
}

// Guards against treating an internal error of the service as "nothing written".
BOOST_AUTO_TEST_CASE(reportsServerErrorsOfAWriteAsUnknownOutcome)
{
  Service service([](const net::HttpRequest&) { return status(500); });
  auto answer = service.client<stores::HttpTable>()->commit(kTransaction);
  BOOST_TEST((answer.error().kind == ErrorKind::UnknownOutcome));
  BOOST_TEST(service.calls == 1);
}

// Guards against a write that is not retried after the rate limit refused it.
BOOST_AUTO_TEST_CASE(retriesARefusedWrite)
{
  std::atomic<int> refusals{ 3 };
  Service service([&](const net::HttpRequest&) {
    return refusals-- > 0 ? status(429) : status(200, R"({"committed":true,"version":4})");
  });
  BOOST_TEST(service.client<stores::HttpTable>()->commit(kTransaction).value() == 4);
  BOOST_TEST(service.calls == 4);
}

// Guards against a conflict error that does not name the changed row.
BOOST_AUTO_TEST_CASE(namesTheConflictingRow)
{
  Service service([](const net::HttpRequest&) {
    return status(409, R"({"committed":false,"conflicts":[{"key":"a","version":5}]})");
  });
  auto answer = service.client<stores::HttpTable>()->commit(kTransaction);
  BOOST_TEST((answer.error().kind == ErrorKind::Conflict));
  BOOST_TEST(answer.error().field == "a");
}

// Guards against reads that fail after one lost answer, and against unbounded retries.
BOOST_AUTO_TEST_CASE(retriesReadsWithinTheBudget)
{
  std::atomic<int> losses{ 3 };
  Service service([&](const net::HttpRequest&) {
    return losses-- > 0 ? cut() : status(200, R"({"rows":[],"sequence":1})");
  });
  auto client = service.client<stores::HttpTable>();
  BOOST_TEST(client->read({ "a" }).has_value());
  losses = 1 << 20;
  service.calls = 0;
  auto answer = client->read({ "a" });
  BOOST_REQUIRE(!answer);
  BOOST_TEST((answer.error().kind == ErrorKind::Unavailable));
  // The retry budget has a reserve of 10, of which the first read used three.
  BOOST_TEST(service.calls <= 9);
}

// Guards against treating a refused connection as a lost answer.
BOOST_AUTO_TEST_CASE(reportsARefusedConnectionAsUnavailable)
{
  auto client =
    stores::HttpTable::Builder().address(test::unusedAddress()).retry(kShortDelays).build();
  BOOST_TEST((client->commit(kTransaction).error().kind == ErrorKind::Unavailable));
}

// Guards against malformed answers that crash the client or are accepted as rows.
BOOST_AUTO_TEST_CASE(rejectsMalformedAnswers)
{
  std::string body;
  Service service([&](const net::HttpRequest&) { return status(200, body); });
  auto client = service.client<stores::HttpTable>();
  for (const char* text :
       { "", "[]", "{}", R"({"rows":1})", R"({"rows":[1]})", R"({"rows":[{}]})" }) {
    {
      std::lock_guard lock(service.mutex);
      body = text;
    }
    BOOST_TEST(!client->read({ "a" }).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(others)

// Guards against keys that are not percent-encoded, and against objects larger than the reader's
// limit.
BOOST_AUTO_TEST_CASE(storesAndFetchesObjects)
{
  std::map<std::string, std::string> objects;
  Service service([&](const net::HttpRequest& aRequest) {
    if (aRequest.method == "PUT") {
      objects[aRequest.path] = aRequest.body;
      return status(200);
    }
    auto found = objects.find(aRequest.path);
    return found == objects.end() ? status(404) : status(200, found->second);
  });
  auto client = service.client<stores::HttpObjects>();
  BOOST_TEST(client->put("manifests/a b", "bytes").has_value());
  BOOST_TEST(client->fetch("manifests/a b", 100).value() == "bytes");
  BOOST_TEST((client->fetch("manifests/a b", 2).error().kind == ErrorKind::TooLarge));
  BOOST_TEST((client->fetch("manifests/c", 100).error().kind == ErrorKind::NotFound));
}

// Guards against mixing bytes from before and after a change of a blob.
BOOST_AUTO_TEST_CASE(detectsABlobThatChanges)
{
  const std::string blob = "0123456789";
  std::atomic<int> tag{ 1 };
  std::atomic<bool> ranged{ false };
  Service service([&](const net::HttpRequest& aRequest) {
    std::string range = aRequest.header("Range").value_or("");
    size_t first = 0;
    size_t last = 0;
    ranged = std::sscanf(range.c_str(), "bytes=%zu-%zu", &first, &last) == 2;
    auto response = status(206, blob.substr(first, last - first + 1));
    response.headers.emplace_back(
      "Content-Range", range.substr(range.find('=') + 1) + "/" + std::to_string(blob.size()));
    response.headers.emplace_back("ETag", "tag-" + std::to_string(tag));
    return response;
  });
  auto origin = service.client<stores::HttpWeightOrigin>();
  std::string chunk(4, ' ');
  auto target = std::as_writable_bytes(std::span(chunk));
  BOOST_TEST(origin->size("model/1").value() == 10);
  BOOST_TEST(origin->read("model/1", 3, target).has_value());
  BOOST_TEST(chunk == "3456");
  BOOST_TEST(ranged);
  tag = 2;
  auto changed = origin->read("model/1", 0, target);
  BOOST_REQUIRE(!changed);
  BOOST_TEST((changed.error().kind == ErrorKind::Corrupt));
  BOOST_TEST(changed.error().remedy.find("new version") != std::string::npos);
  BOOST_TEST(origin->read("model/1", 0, target).has_value());
  BOOST_TEST((origin->read("model", 0, target).error().kind == ErrorKind::Invalid));
}

// Guards against accepting a response that is shorter or longer than the chunk.
BOOST_AUTO_TEST_CASE(rejectsAChunkOfAnotherLength)
{
  std::atomic<const char*> body{ "123" };
  Service service([&](const net::HttpRequest&) {
    auto response = status(206);
    response.stream = [&](net::StreamWriter& aWriter) {
      aWriter.write(body.load());
      return net::StreamEnd::Complete;
    };
    return response;
  });
  auto origin = service.client<stores::HttpWeightOrigin>();
  std::string chunk(4, ' ');
  auto target = std::as_writable_bytes(std::span(chunk));
  BOOST_TEST(!origin->read("model/1", 0, target).has_value());
  body = "12345";
  BOOST_TEST(!origin->read("model/1", 0, target).has_value());
}

// Guards against a VM list that is parsed incompletely.
BOOST_AUTO_TEST_CASE(readsTheVmList)
{
  Service service([](const net::HttpRequest&) {
    return status(200,
                  R"({"vms":[{"name":"v1","address":"127.0.0.9","zone":"z","region":"r",)"
                  R"("kind":"entry","state":"leaving"}]})");
  });
  auto vms = service.client<stores::HttpVmList>()->list().value();
  BOOST_REQUIRE(vms.size() == 1);
  BOOST_TEST(vms[0].address == "127.0.0.9");
  BOOST_TEST(vms[0].leaving);
}

BOOST_AUTO_TEST_SUITE_END()
