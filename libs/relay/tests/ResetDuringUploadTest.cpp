#define BOOST_TEST_MODULE relay_reset_during_upload
#include <boost/test/unit_test.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "EarlyFixture.h"

namespace boragepitch::serving {

/** For the names of the test's data. */
std::ostream& operator<<(std::ostream& aStream, CallKind aKind)
{
  return aStream << static_cast<int>(aKind);
}

} // namespace boragepitch::serving

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** Each form is played with and without a stall: the order in which the relay learns of the reset
 * differs. */
constexpr int kRounds = 2;
constexpr size_t kPartBytes = 1000;

/** Resets the connection and keeps the descriptor. */
void resetConnection(int aSocket)
{
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  static_cast<void>(::connect(aSocket, &none, sizeof(none)));
}

void endOutput(int aSocket)
{
  ::shutdown(aSocket, SHUT_WR);
}

/** Reads on until the relay closes the connection. */
void drain(int aSocket)
{
  std::string block(64 << 10, '\0');
  while (::recv(aSocket, block.data(), block.size(), 0) > 0) {
  }
}

/** An answer whose end only the end of the connection marks. */
std::string openAnswer(const std::string& aHead)
{
  return "HTTP/1.1 200 X\r\nId: " + idOf(aHead) + "\r\nSigned: s\r\n\r\n" +
         std::string(kPartBytes, 'p');
}

std::string openStream(const std::string& aHead, int aFirst, int aLast)
{
  std::string text = "HTTP/1.1 200 X\r\nId: " + idOf(aHead) +
                     "\r\nSigned: s\r\nContent-Type: text/event-stream\r\n\r\n";
  for (int id = aFirst; id <= aLast; ++id) {
    text += event(id);
  }
  return text;
}

std::string openAnswerTo(serving::CallKind aKind, const std::string& aHead)
{
  return aKind == serving::CallKind::Streaming ? openStream(aHead, 1, 2) : openAnswer(aHead);
}

bool isWhole(serving::CallKind aKind, const std::string& aText)
{
  if (aKind == serving::CallKind::Streaming) {
    return aText.starts_with("HTTP/1.1 200") && aText.ends_with("0\r\n\r\n");
  }
  return aText.starts_with("HTTP/1.1 200");
}

auto kinds()
{
  return boost::unit_test::data::make(
    { serving::CallKind::Mutating, serving::CallKind::Idempotent, serving::CallKind::Streaming });
}

/** What a caller gets for a request with a long body whose endpoint ends the exchange early.
 * @param aIsStalled the relay finds all that the endpoint did in one turn of its event loop. */
std::string answerTo(serving::CallKind aKind, EarlyEndpoint::End aEnd, bool aIsStalled)
{
  EarlyFixture fixture;
  EarlyEndpoint endpoint(std::move(aEnd));
  if (aIsStalled) {
    return fixture.answerOf(endpoint, aKind);
  }
  int socket = fixture.begin(endpoint, aKind);
  std::string text = readMessage(socket);
  ::close(socket);
  return text;
}

/** Plays kRounds rounds with and without a stall. Returns how many answers were whole. */
int countWhole(serving::CallKind aKind, const EarlyEndpoint::End& aEnd)
{
  int whole = 0;
  for (int round = 0; round < kRounds; ++round) {
    whole += isWhole(aKind, answerTo(aKind, aEnd, round % 2 == 0)) ? 1 : 0;
  }
  return whole;
}

} // namespace

// Guards against a part of an answer that callers get as a whole one: a failed write takes the
// error of the socket, and the next read finds what looks like an orderly end (MIXED).
BOOST_DATA_TEST_CASE(resetAnswersAreNotComplete, kinds(), kind)
{
  BOOST_TEST(countWhole(kind, [kind](int aSocket, const std::string& aHead) {
               sendAll(aSocket, openAnswerTo(kind, aHead));
               resetConnection(aSocket);
               return false;
             }) == 0);
}

// Guards against the same where the connection is reset after its output has ended: an endpoint
// that crashes within its answer ends its connections like this.
BOOST_DATA_TEST_CASE(answersOfAnEndpointThatIsGoneAreNotComplete, kinds(), kind)
{
  BOOST_TEST(countWhole(kind, [kind](int aSocket, const std::string& aHead) {
               sendAll(aSocket, openAnswerTo(kind, aHead));
               endOutput(aSocket);
               std::this_thread::sleep_for(5ms);
               resetConnection(aSocket);
               return false;
             }) == 0);
}

// Guards against answers that are lost because their endpoint takes no more of the request (LOST).
BOOST_DATA_TEST_CASE(answersThatEndInOrderAreComplete, kinds(), kind)
{
  BOOST_TEST(countWhole(kind, [kind](int aSocket, const std::string& aHead) {
               sendAll(aSocket, openAnswerTo(kind, aHead));
               endOutput(aSocket);
               return true;
             }) == kRounds);
}

// Guards against answers that are lost because their endpoint reads the request after them (LOST).
BOOST_DATA_TEST_CASE(answersBeforeTheRequestIsReadAreComplete, kinds(), kind)
{
  BOOST_TEST(countWhole(kind, [kind](int aSocket, const std::string& aHead) {
               sendAll(aSocket, openAnswerTo(kind, aHead));
               endOutput(aSocket);
               drain(aSocket);
               return false;
             }) == kRounds);
}

// Guards against answers with a marked end that are lost in a reset after them (LOST).
BOOST_DATA_TEST_CASE(answersWithALengthAreWholeBeforeAReset, kinds(), kind)
{
  BOOST_TEST(countWhole(kind, [kind](int aSocket, const std::string& aHead) {
               sendAll(aSocket,
                       kind == serving::CallKind::Streaming
                         ? streamHead(idOf(aHead)) + chunk(event(1)) + "0\r\n\r\n"
                         : answer(idOf(aHead), std::string(kPartBytes, 'w')));
               resetConnection(aSocket);
               return false;
             }) == kRounds);
}

// Guards against a stream that looks complete because its reset came while reading was paused.
BOOST_FIXTURE_TEST_CASE(pausedStreamsAreNotCompleteAfterAReset, EarlyFixture)
{
  constexpr int kEvents = 16;
  const std::string data(256 << 10, 'd');
  EarlyEndpoint endpoint([&](int aSocket, const std::string& aHead) {
    sendAll(aSocket, openStream(aHead, 1, 0));
    for (int id = 1; id <= kEvents; ++id) {
      sendAll(aSocket, "id: " + std::to_string(id) + "\ndata: " + data + "\n\n");
    }
    std::this_thread::sleep_for(50ms);
    resetConnection(aSocket);
    return false;
  });
  int socket = begin(endpoint, serving::CallKind::Streaming);
  std::this_thread::sleep_for(500ms); // The relay stops reading while the caller does.
  std::string text = readMessage(socket);
  ::close(socket);
  BOOST_TEST(text.starts_with("HTTP/1.1 200"));
  BOOST_TEST(!text.ends_with("0\r\n\r\n"));
}

// Guards against a part that a further endpoint's answer to the same request is taken from.
BOOST_FIXTURE_TEST_CASE(resetAnswersOfAStandbyAreNotDelivered, EarlyFixture)
{
  EarlyEndpoint silent(drainSlowly);
  EarlyEndpoint other([](int aSocket, const std::string& aHead) {
    sendAll(aSocket, openAnswer(aHead));
    resetConnection(aSocket);
    return false;
  });
  int socket = begin(silent, serving::CallKind::Idempotent);
  list("other", other.address());
  BOOST_TEST(!readMessage(socket).starts_with("HTTP/1.1 200"));
  ::close(socket);
  BOOST_TEST(other.hasHead());
}

// Guards against a stream that ends at the reset although another endpoint can go on with it.
BOOST_FIXTURE_TEST_CASE(resetStreamsAreResumed, EarlyFixture)
{
  EarlyEndpoint first([](int aSocket, const std::string& aHead) {
    sendAll(aSocket, openStream(aHead, 1, 2));
    std::this_thread::sleep_for(50ms);
    resetConnection(aSocket);
    return false;
  });
  EarlyEndpoint second([](int aSocket, const std::string& aHead) {
    int last = aHead.find("Last: 2") == std::string::npos ? 0 : 2;
    sendAll(aSocket, openStream(aHead, last + 1, 3));
    endOutput(aSocket);
    drain(aSocket);
    return false;
  });
  int socket = begin(first, serving::CallKind::Streaming);
  list("second", second.address());
  unlist("e");
  std::string text = readMessage(socket);
  ::close(socket);
  BOOST_TEST(dataOf(text) == "t1 t2 t3 ");
  BOOST_TEST(text.ends_with("0\r\n\r\n"));
}
