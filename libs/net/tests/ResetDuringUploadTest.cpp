#define BOOST_TEST_MODULE net_reset_during_upload
#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "net/HttpClient.h"
#include "support/TestAddress.h"
#include "support/TestListener.h"

#include <sys/socket.h>
#include <unistd.h>

using namespace boragepitch;
using namespace std::chrono_literals;

namespace {

/** More than the socket buffers of a connection hold, so that the write is in progress. */
constexpr size_t kBodyBytes = 8 << 20;
constexpr int kRounds = 10;

/** Answers one request without a length when it has read its head, and resets the connection.
 * @param aEndsOutput the output ends in order before the reset. */
void answerAndReset(int aListener, bool aEndsOutput)
{
  int socket = ::accept(aListener, nullptr, nullptr);
  std::string head;
  for (char byte = 0; !head.ends_with("\r\n\r\n") && ::recv(socket, &byte, 1, 0) > 0;) {
    head += byte;
  }
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\n" + std::string(1000, 'p');
  static_cast<void>(::send(socket, answer.data(), answer.size(), MSG_NOSIGNAL));
  if (aEndsOutput) {
    ::shutdown(socket, SHUT_WR);
    std::this_thread::sleep_for(5ms);
  }
  linger drop{ .l_onoff = 1, .l_linger = 0 };
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &drop, sizeof(drop));
  ::close(socket);
}

} // namespace

// Guards against a part of an answer that a call takes for the whole one, because the connection
// was reset while the request was being written (MIXED).
BOOST_DATA_TEST_CASE(partsBeforeAResetAreErrors,
                     boost::unit_test::data::make({ false, true }),
                     endsOutput)
{
  for (int round = 0; round < kRounds; ++round) {
    auto address = test::unusedAddress();
    int listener = test::listenOn(address);
    std::thread server([&] { answerAndReset(listener, endsOutput); });
    auto answer = net::HttpClient(address).send(
      { .method = "POST", .target = "/", .body = std::string(kBodyBytes, 'b') });
    BOOST_TEST(!answer.has_value());
    server.join();
    ::close(listener);
  }
}
