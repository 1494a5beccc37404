#define BOOST_TEST_MODULE net_long_status_line
#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "net/HttpClient.h"
#include "support/TestAddress.h"
#include "support/TestListener.h"

#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace boragepitch;

namespace {

/** Small, so that recursion by the length of a line exceeds it in every build. */
constexpr size_t kStackBytes = 512 << 10;

/** Sends the same bytes in answer to each request, one request a connection. */
class RawServer
{
public:
  explicit RawServer(std::string aAnswer)
    : address(test::unusedAddress())
    , mListener(test::listenOn(address))
  {
    mThread = std::thread([this, answer = std::move(aAnswer)] {
      for (int socket = 0; (socket = ::accept(mListener, nullptr, nullptr)) >= 0;) {
        char request[4096];
        if (::recv(socket, request, sizeof(request), 0) > 0) {
          static_cast<void>(::send(socket, answer.data(), answer.size(), MSG_NOSIGNAL));
          ::shutdown(socket, SHUT_WR);
          while (::recv(socket, request, sizeof(request), 0) > 0) {
          }
        }
        ::close(socket);
      }
    });
  }
  ~RawServer()
  {
    ::shutdown(mListener, SHUT_RDWR);
    mThread.join();
    ::close(mListener);
  }

  const net::Address address;

private:
  const int mListener;
  std::thread mThread;
};

/** Runs aWork on a thread with a stack of kStackBytes. */
void runOnSmallStack(std::function<void()> aWork)
{
  pthread_attr_t attributes;
  BOOST_REQUIRE(pthread_attr_init(&attributes) == 0);
  BOOST_REQUIRE(pthread_attr_setstacksize(&attributes, kStackBytes) == 0);
  pthread_t thread{};
  auto run = [](void* aArgument) -> void* {
    (*static_cast<std::function<void()>*>(aArgument))();
    return nullptr;
  };
  BOOST_REQUIRE(pthread_create(&thread, &attributes, run, &aWork) == 0);
  BOOST_REQUIRE(pthread_join(thread, nullptr) == 0);
  pthread_attr_destroy(&attributes);
}

base::Result<net::ClientResponse> callWith(std::string aAnswer)
{
  RawServer server(std::move(aAnswer));
  base::Result<net::ClientResponse> result =
    base::fail(base::ErrorKind::Cancelled, "", "not called", "");
  runOnSmallStack([&] { result = net::HttpClient(server.address).send({ .target = "/" }); });
  return result;
}

constexpr std::string_view kRest = "Content-Length: 2\r\n\r\nok";

auto lineSizes()
{
  return boost::unit_test::data::make({ 20, 4'000, 16'000, 30'000, 62'000 });
}

} // namespace

// The cases with long lines guard against a server whose status line ends its caller's process:
// the HTTP library matches the line by recursion, one level or more for each byte (Fault).
BOOST_DATA_TEST_CASE(aLongReasonIsIgnored, lineSizes(), size)
{
  for (char fill : { 'x', ' ', '\t', '\x80' }) {
    for (const char* lineEnd : { "\r\n", "\n" }) {
      auto answer =
        callWith("HTTP/1.1 200 " + std::string(size, fill) + lineEnd + std::string(kRest));
      BOOST_REQUIRE(answer.has_value());
      BOOST_TEST(answer->status == 200);
      BOOST_TEST(answer->body == "ok");
    }
  }
}

BOOST_DATA_TEST_CASE(aLongReasonOfAnInterimAnswerIsIgnored, lineSizes(), size)
{
  auto answer = callWith("HTTP/1.1 100 " + std::string(size, 'x') + "\r\n\r\nHTTP/1.1 200 OK\r\n" +
                         std::string(kRest));
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->body == "ok");
}

BOOST_DATA_TEST_CASE(aLongReasonAfterAnInterimAnswerIsIgnored, lineSizes(), size)
{
  auto answer = callWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 " + std::string(size, 'x') +
                         "\r\n" + std::string(kRest));
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->body == "ok");
}

BOOST_DATA_TEST_CASE(otherLongLinesAreErrors, lineSizes(), size)
{
  const std::string filler(size, 'x');
  const std::string longLines = filler + "\r\n" + std::string(2 * filler.size(), 'x');
  for (const std::string& text : { "HTTP/1.1 200 " + filler,
                                   "HTTP/1.1 200" + filler + "\r\n" + std::string(kRest),
                                   "HTTP/1.1 200 " + std::string(size, '\r') + "\r\n\r\n",
                                   "HTTP/1.1 " + std::string(size, '2') + "\r\n\r\n",
                                   "HTTP/1." + std::string(size, '1') + " 200 OK\r\n\r\n",
                                   filler + "\r\n" + std::string(kRest),
                                   "HTTP/1.1 200 " + longLines + "\r\n" }) {
    BOOST_TEST_CONTEXT(text.substr(0, 20))
    {
      BOOST_TEST(!callWith(text).has_value());
    }
  }
}

// Guards against a body that is changed because it looks like a status line (MIXED).
BOOST_AUTO_TEST_CASE(bodiesThatLookLikeStatusLinesAreKept)
{
  const std::string body = "HTTP/1.1 200 a reason\r\nHTTP/1.1 404 another\r\n\r\n";
  char chunkSize[16];
  std::snprintf(chunkSize, sizeof(chunkSize), "%zx\r\n", body.size());
  const std::string chunked = std::string("Transfer-Encoding: chunked\r\n\r\n") + chunkSize;
  const std::string measured = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  for (const auto& [head, end] : { std::pair<std::string, std::string>{ measured, "" },
                                   { "\r\n", "" },
                                   { chunked, "\r\n0\r\n\r\n" } }) {
    BOOST_TEST_CONTEXT(head)
    {
      std::string text = "HTTP/1.1 200 OK\r\n";
      text.append(head).append(body).append(end);
      auto answer = callWith(std::move(text));
      BOOST_REQUIRE(answer.has_value());
      BOOST_TEST(answer->body == body);
    }
  }
}
