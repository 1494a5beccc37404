#define BOOST_TEST_MODULE relay
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

#include "relay/Relay.h"
#include "support/TestAddress.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace std::chrono_literals;

namespace {

/** Header names of the test. */
class TestDialect final : public Dialect
{
public:
  RequestFacts readRequest(const HeaderLines& aHeaders) const override
  {
    RequestFacts facts;
    facts.attemptId = headerValue(aHeaders, "Id");
    facts.key = headerValue(aHeaders, "Key");
    auto last = headerValue(aHeaders, "Last");
    if (!last.empty()) {
      facts.lastEvent = std::stoull(std::string(last));
    }
    return facts;
  }
  void writeForward(HeaderLines& aHeaders, const ForwardFacts& aFacts) const override
  {
    std::erase_if(aHeaders, [](const HeaderLine& aLine) { return aLine.name == "Key"; });
    aHeaders.push_back({ "Expect-Endpoint", aFacts.endpointId });
    aHeaders.push_back({ "Priority", std::to_string(aFacts.priority) });
    if (aFacts.lastEvent) {
      aHeaders.push_back({ "Last", std::to_string(*aFacts.lastEvent) });
    }
  }
  AnswerFacts readAnswer(int, const HeaderLines& aHeaders) const override
  {
    AnswerFacts facts;
    facts.attemptId = headerValue(aHeaders, "Id");
    facts.isSigned = !headerValue(aHeaders, "Signed").empty();
    facts.notRun = !headerValue(aHeaders, "Not-Run").empty();
    return facts;
  }
};

constexpr std::string_view kPause = "<pause>";

int connectTo(const net::Address& aAddress)
{
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
  BOOST_REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  timeval limit{ .tv_sec = 5, .tv_usec = 0 };
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  return socket;
}

/** Reads one request or answer with a Content-Length, or until the connection ends. */
std::string readMessage(int aSocket)
{
  std::string text;
  char buffer[4096];
  for (;;) {
    size_t head = text.find("\r\n\r\n");
    size_t at = text.find("Content-Length: ");
    if (head != std::string::npos) {
      size_t body = at < head ? std::stoul(text.substr(at + 16)) : 0;
      bool chunked = text.find("chunked") != std::string::npos;
      if (!chunked && text.size() >= head + 4 + body) {
        return text;
      }
      if (chunked && text.ends_with("0\r\n\r\n")) {
        return text;
      }
    }
    ssize_t count = ::recv(aSocket, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      return text;
    }
    text.append(buffer, static_cast<size_t>(count));
  }
}

void sendAll(int aSocket, std::string_view aText)
{
  static_cast<void>(::send(aSocket, aText.data(), aText.size(), MSG_NOSIGNAL));
}

/** An endpoint that answers each request with what the script returns, and counts requests. */
class FakeEndpoint
{
public:
  /** Returns the bytes of the answer; kPause in them separates them in time, and the connection is
   * closed when they end with "CLOSE". */
  using Script = std::function<std::string(const std::string& aRequest)>;

  explicit FakeEndpoint(Script aScript)
    : mScript(std::move(aScript))
    , mAddress(test::unusedAddress())
  {
    mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(mAddress.port));
    inet_pton(AF_INET, mAddress.host.c_str(), &address.sin_addr);
    BOOST_REQUIRE(::bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    ::listen(mListener, 16);
    mThread = std::thread([this] { accept(); });
  }

  ~FakeEndpoint()
  {
    ::shutdown(mListener, SHUT_RDWR);
    mThread.join();
    ::close(mListener);
    {
      std::lock_guard lock(mMutex);
      for (int socket : mSockets) {
        ::shutdown(socket, SHUT_RDWR);
      }
    }
    for (auto& thread : mServing) {
      thread.join();
    }
  }

  std::vector<std::string> requests()
  {
    std::lock_guard lock(mMutex);
    return mRequests;
  }
  const net::Address& address() const { return mAddress; }

private:
  void accept()
  {
    for (int socket = 0; (socket = ::accept(mListener, nullptr, nullptr)) >= 0;) {
      std::lock_guard lock(mMutex);
      mSockets.push_back(socket);
      mServing.emplace_back([this, socket] { serve(socket); });
    }
  }

  void serve(int aSocket)
  {
    for (;;) {
      std::string request = readMessage(aSocket);
      if (request.empty()) {
        break;
      }
      {
        std::lock_guard lock(mMutex);
        mRequests.push_back(request);
      }
      std::string answer = mScript(request);
      bool close = answer.ends_with("CLOSE");
      if (close) {
        answer.resize(answer.size() - 5);
      }
      // Parts are sent so that they arrive in reads of their own.
      for (size_t at = 0; at != std::string::npos;) {
        size_t end = answer.find(kPause, at);
        sendAll(aSocket, std::string_view(answer).substr(at, end - at));
        at = end == std::string::npos ? end : end + kPause.size();
        if (at != std::string::npos) {
          std::this_thread::sleep_for(30ms);
        }
      }
      if (close) {
        break;
      }
    }
    ::shutdown(aSocket, SHUT_RDWR);
    std::lock_guard lock(mMutex);
    std::erase(mSockets, aSocket);
    ::close(aSocket);
  }

  const Script mScript;
  const net::Address mAddress;
  int mListener = -1;
  std::mutex mMutex;
  std::vector<std::string> mRequests;
  std::vector<int> mSockets;
  std::vector<std::thread> mServing;
  std::thread mThread;
};

std::string answer(const std::string& aId, const std::string& aBody, int aStatus = 200)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\nId: " + aId +
         "\r\nSigned: s\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string idOf(const std::string& aRequest)
{
  size_t at = aRequest.find("Id: ") + 4;
  return aRequest.substr(at, aRequest.find("\r\n", at) - at);
}

std::string event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: t" + std::to_string(aId) + "\n\n";
}

std::string chunk(const std::string& aText)
{
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

std::string streamHead(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nId: " + aId +
         "\r\nSigned: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/** Data of all events in a chunked answer. */
std::string dataOf(const std::string& aAnswer)
{
  std::string data;
  for (size_t at = 0; (at = aAnswer.find("data: ", at)) != std::string::npos; ++at) {
    data += aAnswer.substr(at + 6, aAnswer.find('\n', at) - at - 6) + " ";
  }
  return data;
}

struct Fixture
{
  Fixture()
  {
    RelayOptions options;
    options.node = "entry";
    options.callers = test::unusedAddress();
    options.readiness = test::unusedAddress();
    options.readinessPath = "/ready";
    options.peers = test::unusedAddress();
    options.placement = { .zone = "z", .region = "r" };
    options.retries = { .ratio = 0.2, .slack = 100 };
    options.leaveAccept = 100ms;
    options.leaveLimit = 5000ms;
    callers = options.callers;
    readiness = options.readiness;
    relay = Relay::Builder().options(options).dialect(&dialect).metrics(&metrics).log(&log).build();
    BOOST_REQUIRE(relay->start().has_value());
    thread = std::thread([this] { relay->run(); });
  }

  ~Fixture()
  {
    relay->startLeaving();
    thread.join();
  }

  void declare(serving::CallKind aKind, int aMaxAttempts = 2, base::Milliseconds aTimeout = 3000ms)
  {
    serving::Route route;
    route.name = "route";
    route.host = "a.example";
    route.pathPrefix = "/x/";
    route.kind = aKind;
    route.isResumable = aKind == serving::CallKind::Streaming;
    route.maxAttempts = aMaxAttempts;
    route.timeout = aTimeout;
    route.latencyTarget = 400ms;
    route.gapTarget = 100ms;
    route.services = { { "s", 1 } };
    serving::Deployment::Builder builder;
    builder.version(1).addRoute(route).addService({ .name = "s" });
    builder.limits({ .headerBytes = 2048, .bodyBytes = 4096 });
    if (keys) {
      builder.requireKeys().addWorkspace({ .name = "w" }, { "good" });
    }
    relay->setDeployment(builder.build());
  }

  void list(const std::string& aId, const net::Address& aAddress)
  {
    serving::EndpointRecord record;
    record.id = aId;
    record.service = "s";
    record.address = aAddress;
    record.zone = "z";
    record.region = "r";
    record.slots = 4;
    relay->applyEndpoints({ record });
    relay->setListKnown();
  }

  std::string call(const std::string& aRequest)
  {
    int socket = connectTo(callers);
    sendAll(socket, aRequest);
    std::string text = readMessage(socket);
    ::close(socket);
    return text;
  }

  static std::string get(const std::string& aId, const std::string& aMore = "")
  {
    return "GET /x/a%2Fb?q=1 HTTP/1.1\r\nHost: a.example\r\nId: " + aId + "\r\n" + aMore + "\r\n";
  }

  TestDialect dialect;
  telemetry::Registry metrics;
  telemetry::EventLog log{ ::dup(STDERR_FILENO), "entry", { .linesPerSecond = { 0, 0, 0 } } };
  net::Address callers;
  net::Address readiness;
  bool keys = false;
  std::unique_ptr<Relay> relay;
  std::thread thread;
};

} // namespace

// Guards against a path, query or body that is changed on its way.
BOOST_FIXTURE_TEST_CASE(passesRequestAndAnswerUnchanged, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) { return answer(idOf(aRequest), "body"); });
  declare(serving::CallKind::Idempotent);
  list("e", endpoint.address());
  std::string text = call(get("1"));
  BOOST_TEST(text.starts_with("HTTP/1.1 200"));
  BOOST_TEST(text.ends_with("\r\n\r\nbody"));
  BOOST_TEST(text.find("Signed: s") != std::string::npos);
  BOOST_TEST(endpoint.requests()[0].starts_with("GET /x/a%2Fb?q=1 HTTP/1.1\r\n"));
  BOOST_TEST(endpoint.requests()[0].find("Expect-Endpoint: e") != std::string::npos);
  std::string chunked = call("POST /x/p HTTP/1.1\r\nHost: a.example\r\nId: 2\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n");
  BOOST_TEST(chunked.starts_with("HTTP/1.1 200"));
  BOOST_TEST(endpoint.requests()[1].ends_with("Content-Length: 5\r\n\r\nabcde"));
}

// A request inside a request, or one that exceeds the limits, must not reach an endpoint.
BOOST_FIXTURE_TEST_CASE(rejectsMalformedRequests, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) { return answer(idOf(aRequest), ""); });
  declare(serving::CallKind::Idempotent);
  list("e", endpoint.address());
  BOOST_TEST(call("POST /x/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
               .starts_with("HTTP/1.1 400"));
  BOOST_TEST(call("GET /x/ HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n")
               .starts_with("HTTP/1.1 400"));
  BOOST_TEST(
    call(get("1", "Long: " + std::string(4000, 'x') + "\r\n")).starts_with("HTTP/1.1 431"));
  BOOST_TEST(call("POST /x/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5000\r\n\r\n")
               .starts_with("HTTP/1.1 413"));
  BOOST_TEST(
    call("GET /y/ HTTP/1.1\r\nHost: a.example\r\nId: 1\r\n\r\n").starts_with("HTTP/1.1 404"));
  BOOST_TEST(endpoint.requests().empty());
}

// Without a configuration nothing is known about routes and keys: refused, not denied.
BOOST_FIXTURE_TEST_CASE(refusesUntilTheConfigurationIsKnown, Fixture)
{
  std::string text = call(get("1"));
  BOOST_TEST(text.starts_with("HTTP/1.1 503"));
  BOOST_TEST(text.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(call("GET /ready HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\n").starts_with("HTTP/1.1 503"));
}

// Guards against a key that reaches an endpoint, and a wrong one that runs.
BOOST_FIXTURE_TEST_CASE(checksKeysAndKeepsThemBack, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) { return answer(idOf(aRequest), "ok"); });
  keys = true;
  declare(serving::CallKind::Idempotent);
  list("e", endpoint.address());
  BOOST_TEST(call(get("1", "Key: bad\r\n")).starts_with("HTTP/1.1 401"));
  BOOST_TEST(endpoint.requests().empty());
  BOOST_TEST(call(get("2", "Key: good\r\n")).starts_with("HTTP/1.1 200"));
  BOOST_TEST(endpoint.requests()[0].find("good") == std::string::npos);
}

// What may run once is sent once, whatever happens to its answer, and is never called "not run".
BOOST_FIXTURE_TEST_CASE(mutatingRequestIsSentOnce, Fixture)
{
  FakeEndpoint first([](const std::string&) { return "CLOSE"; });
  FakeEndpoint second([](const std::string&) { return "CLOSE"; });
  declare(serving::CallKind::Mutating, 3);
  list("a", first.address());
  list("b", second.address());
  std::string text = call("POST /x/p HTTP/1.1\r\nHost: a.example\r\nId: 1\r\n"
                          "Content-Length: 2\r\n\r\nab");
  BOOST_TEST(text.starts_with("HTTP/1.1 502"));
  BOOST_TEST(first.requests().size() + second.requests().size() == 1U);
}

// A refusal by an endpoint that states that it did not run the request lets another run it.
BOOST_FIXTURE_TEST_CASE(mutatingRequestMovesOnAfterNotRun, Fixture)
{
  std::atomic<int> runs{ 0 };
  auto script = [&](const std::string& aRequest) {
    return runs++ == 0 ? std::string("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
                       : answer(idOf(aRequest), "booked");
  };
  FakeEndpoint first(script);
  FakeEndpoint second(script);
  declare(serving::CallKind::Mutating, 2);
  list("a", first.address());
  list("b", second.address());
  BOOST_TEST(call("POST /x/p HTTP/1.1\r\nHost: a.example\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
               .ends_with("booked"));
}

// A late answer to an earlier request on the same connection belongs to nobody.
BOOST_FIXTURE_TEST_CASE(skipsAnswersToOtherRequests, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) {
    return answer("other", "wrong") + answer(idOf(aRequest), "right");
  });
  declare(serving::CallKind::Idempotent, 1);
  list("e", endpoint.address());
  BOOST_TEST(call(get("1")).ends_with("right"));
}

// Found by integration.platform_programs: an answer whose head and body arrive in separate reads.
BOOST_FIXTURE_TEST_CASE(takesAnswersInPieces, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) {
    return "HTTP/1.1 200 OK\r\nId: " + idOf(aRequest) + "<pause>\r\nSigned: s\r\nContent-Le" +
           "<pause>ngth: 4\r\n\r\n<pause>bo<pause>dy";
  });
  declare(serving::CallKind::Idempotent, 1);
  list("e", endpoint.address());
  BOOST_TEST(call(get("1")).ends_with("\r\n\r\nbody"));
}

// An unsigned success or a body that is cut short is no answer of the endpoint.
BOOST_FIXTURE_TEST_CASE(doesNotPassOnSpoiltAnswers, Fixture)
{
  std::atomic<int> count{ 0 };
  FakeEndpoint endpoint([&](const std::string& aRequest) -> std::string {
    switch (count++) {
      case 0:
        return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
      case 1:
        return "HTTP/1.1 200 OK\r\nSigned: s\r\nId: " + idOf(aRequest) +
               "\r\nContent-Length: 50\r\n\r\nshortCLOSE";
      default:
        return "no http at all\r\n\r\nCLOSE";
    }
  });
  declare(serving::CallKind::Idempotent, 1);
  list("e", endpoint.address());
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(call(get(std::to_string(i))).starts_with("HTTP/1.1 502"));
  }
}

// A stream that breaks within an event goes on at another endpoint: no event missing or doubled.
BOOST_FIXTURE_TEST_CASE(resumesABrokenStream, Fixture)
{
  std::atomic<int> sends{ 0 };
  auto script = [&](const std::string& aRequest) {
    std::string head = streamHead(idOf(aRequest));
    if (sends++ == 0) {
      return head + chunk(event(1)) + chunk(event(2) + "id: 3\nda") + "CLOSE";
    }
    BOOST_TEST(aRequest.find("Last: 2") != std::string::npos);
    // Its caller is reading: it goes before what has not begun.
    BOOST_TEST(aRequest.find("Priority: 0") != std::string::npos);
    return head + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n";
  };
  FakeEndpoint first(script);
  FakeEndpoint second(script);
  declare(serving::CallKind::Streaming);
  list("a", first.address());
  list("b", second.address());
  std::string text = call(get("1"));
  BOOST_TEST(dataOf(text) == "t1 t2 t3 t4 ");
  BOOST_TEST(text.ends_with("0\r\n\r\n"));
}

// A stream that cannot go on must not look complete.
BOOST_FIXTURE_TEST_CASE(cutStreamDoesNotLookComplete, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) {
    return streamHead(idOf(aRequest)) + chunk(event(1)) + "CLOSE";
  });
  declare(serving::CallKind::Streaming, 1);
  list("e", endpoint.address());
  std::string text = call(get("1"));
  BOOST_TEST(dataOf(text) == "t1 ");
  BOOST_TEST(!text.ends_with("0\r\n\r\n"));
}

// Guards against an answer that is held back beyond the route's time.
BOOST_FIXTURE_TEST_CASE(givesUpAtTheRoutesTimeout, Fixture)
{
  FakeEndpoint endpoint([](const std::string&) {
    std::this_thread::sleep_for(1s);
    return "CLOSE";
  });
  declare(serving::CallKind::Mutating, 1, 300ms);
  list("e", endpoint.address());
  auto start = std::chrono::steady_clock::now();
  BOOST_TEST(call(get("1")).starts_with("HTTP/1.1 504"));
  BOOST_TEST((std::chrono::steady_clock::now() - start < 800ms));
}

// A caller that leaves: the endpoint's work ends with the connection.
BOOST_FIXTURE_TEST_CASE(cancelsWhenTheCallerLeaves, Fixture)
{
  FakeEndpoint endpoint(
    [](const std::string& aRequest) { return streamHead(idOf(aRequest)) + chunk(event(1)); });
  declare(serving::CallKind::Streaming);
  list("e", endpoint.address());
  int socket = connectTo(callers);
  sendAll(socket, get("1"));
  char buffer[4096];
  BOOST_REQUIRE(::recv(socket, buffer, sizeof(buffer), 0) > 0);
  ::close(socket);
  for (int i = 0; i < 100 && metrics.exposition().find("bp_relay_in_flight 0") == std::string::npos;
       ++i) {
    std::this_thread::sleep_for(20ms);
  }
  BOOST_TEST(metrics.exposition().find("bp_relay_in_flight 0") != std::string::npos);
  BOOST_TEST(metrics.exposition().find("bp_relay_abandoned_total 1") != std::string::npos);
}

// Guards against a stop that cuts requests or keeps callers coming.
BOOST_FIXTURE_TEST_CASE(stopFinishesWhatRuns, Fixture)
{
  FakeEndpoint endpoint([](const std::string& aRequest) {
    std::this_thread::sleep_for(500ms);
    return answer(idOf(aRequest), "late");
  });
  declare(serving::CallKind::Mutating, 1);
  list("e", endpoint.address());
  int socket = connectTo(callers);
  sendAll(socket, get("1"));
  std::this_thread::sleep_for(100ms);
  relay->startLeaving();
  std::string text = readMessage(socket);
  BOOST_TEST(text.ends_with("late"));
  BOOST_TEST(text.find("Connection: close") != std::string::npos);
  ::close(socket);
}
