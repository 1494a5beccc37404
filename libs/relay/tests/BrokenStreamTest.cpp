#define BOOST_TEST_MODULE relay_broken_stream
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cerrno>
#include <map>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "ResumeFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

void checkIsCut(const std::string& aText)
{
  BOOST_TEST(dataOf(aText) == "t1 ");
  BOOST_TEST(headCount(aText) == 1U);
  BOOST_TEST(aText.find("no such thing") == std::string::npos);
  BOOST_TEST(!aText.ends_with(kLastChunk));
}

} // namespace

// Guards against an error's head and text within the stream that it was to resume.
BOOST_DATA_TEST_CASE_F(ResumeFixture,
                       errorAnswerIsNotWrittenIntoAStream,
                       boost::unit_test::data::make({ 302, 400, 404, 409, 413, 429, 500, 503 }),
                       status)
{
  play(
    { brokenStream, [&](const std::string& aId) { return answer(aId, "no such thing", status); } });
  checkIsCut(stream());
  BOOST_TEST(sends == 2U);
}

// Guards against a stream that ends with an error although another endpoint could resume it.
BOOST_FIXTURE_TEST_CASE(streamResumesAfterAnErrorAnswer, ResumeFixture)
{
  play({ brokenStream,
         [](const std::string& aId) { return answer(aId, "no such thing", 404); },
         [](const std::string& aId) { return streamHead(aId) + chunk(event(2)) + "0\r\n\r\n"; } });
  std::string text = stream();
  BOOST_TEST(dataOf(text) == "t1 t2 ");
  BOOST_TEST(headCount(text) == 1U);
  BOOST_TEST(text.ends_with(kLastChunk));
}

// Guards against bytes of an answer without a valid final status in the stream that it was to
// resume, and against a stream that such an answer ends although another endpoint could resume it.
BOOST_DATA_TEST_CASE_F(ResumeFixture,
                       answerWithAnInvalidStatusDoesNotResumeAStream,
                       boost::unit_test::data::make({ "HTTP/1.1 000 X",
                                                      "HTTP/1.1 099 X",
                                                      "HTTP/1.1 100 Continue",
                                                      "HTTP/1.1 199 X",
                                                      "HTTP/1.1 600 X",
                                                      "HTTP/1.1 999 X",
                                                      "HTTP/1.1 20 X",
                                                      "HTTP/1.1 2000 X",
                                                      "HTTP/1.1 abc X",
                                                      "HTTP/1.1",
                                                      "HTTP/9.9 200 OK",
                                                      "ICY 200 OK" }),
                       line)
{
  play({ brokenStream,
         [&](const std::string& aId) {
           std::string odd = streamHead(aId);
           return line + odd.substr(odd.find("\r\n")) + chunk(event(7)) + "0\r\n\r\nCLOSE";
         },
         [](const std::string& aId) { return streamHead(aId) + chunk(event(2)) + "0\r\n\r\n"; } });
  std::string text = stream();
  BOOST_TEST(dataOf(text) == "t1 t2 ");
  BOOST_TEST(headCount(text) == 1U);
  BOOST_TEST(text.ends_with(kLastChunk));
  BOOST_TEST(sends == 3U);
}

// Guards against a rejection within a stream that another endpoint can resume.
BOOST_DATA_TEST_CASE_F(ResumeFixture,
                       streamResumesAfterARejection,
                       boost::unit_test::data::make({ 421, 429, 503 }),
                       status)
{
  play({ brokenStream,
         [&](const std::string& aId) { return rejection(aId, status); },
         [](const std::string& aId) { return streamHead(aId) + chunk(event(2)) + "0\r\n\r\n"; } });
  std::string text = stream();
  BOOST_TEST(dataOf(text) == "t1 t2 ");
  BOOST_TEST(headCount(text) == 1U);
  BOOST_TEST(text.ends_with(kLastChunk));
}

// Guards against a rejection that is written into a stream which no other endpoint can resume.
BOOST_DATA_TEST_CASE_F(ResumeFixture,
                       rejectionIsNotWrittenIntoAStream,
                       boost::unit_test::data::make({ 421, 429, 503 }),
                       status)
{
  play({ brokenStream, [&](const std::string& aId) { return rejection(aId, status); } });
  checkIsCut(stream());
}

// Guards against an answer of another content type within a stream.
BOOST_FIXTURE_TEST_CASE(otherContentIsNotWrittenIntoAStream, ResumeFixture)
{
  play({ brokenStream, [](const std::string& aId) {
          return unboundedHead(aId, "text/plain") + "no such thing" + "CLOSE";
        } });
  checkIsCut(stream());
}

// Guards against a broken stream that ends as complete because the resumed one has no events.
BOOST_FIXTURE_TEST_CASE(emptyResumedStreamDoesNotCompleteTheAnswer, ResumeFixture)
{
  play({ brokenStream, [](const std::string& aId) { return streamHead(aId) + "0\r\n\r\n"; } });
  checkIsCut(stream());
}

// Guards against a broken stream that ends as complete because the resumed one has old events only.
BOOST_FIXTURE_TEST_CASE(repeatedEventsDoNotCompleteTheAnswer, ResumeFixture)
{
  play({ brokenStream,
         [](const std::string& aId) { return streamHead(aId) + chunk(event(1)) + "0\r\n\r\n"; } });
  checkIsCut(stream());
}

// Guards against an event within a stream whose place in it is unknown, such as an error's text.
BOOST_FIXTURE_TEST_CASE(eventWithoutIdDoesNotResumeAStream, ResumeFixture)
{
  play({ brokenStream, [](const std::string& aId) {
          return streamHead(aId) + chunk("data: no such thing\n\n") + "0\r\n\r\n";
        } });
  checkIsCut(stream());
}

// Guards against a cut stream that looks complete to a caller without chunks, for whom an orderly
// close is the end of the body.
BOOST_FIXTURE_TEST_CASE(cutStreamIsResetForCallersWithoutChunks, ResumeFixture)
{
  play({ brokenStream });
  Received received = callToEnd("GET /x/a HTTP/1.0\r\nHost: a.example\r\nId: 1\r\n\r\n");
  BOOST_TEST(dataOf(received.text) == "t1 ");
  BOOST_TEST(received.error == ECONNRESET);
}

// Guards against a reset of a complete stream to a caller without chunks.
BOOST_FIXTURE_TEST_CASE(completeStreamIsClosedForCallersWithoutChunks, ResumeFixture)
{
  play({ [](const std::string& aId) { return streamHead(aId) + chunk(event(1)) + "0\r\n\r\n"; } });
  Received received = callToEnd("GET /x/a HTTP/1.0\r\nHost: a.example\r\nId: 1\r\n\r\n");
  BOOST_TEST(received.text.ends_with(event(1)));
  BOOST_TEST(received.error == 0);
}

// Guards against cutting or resuming a stream that ends with its connection after a whole event.
BOOST_FIXTURE_TEST_CASE(streamWithoutLengthEndsWithItsConnection, ResumeFixture)
{
  play({ [](const std::string& aId) { return unboundedHead(aId) + event(1) + event(2) + "CLOSE"; },
         brokenStream });
  std::string text = stream();
  BOOST_TEST(dataOf(text) == "t1 t2 ");
  BOOST_TEST(text.ends_with(kLastChunk));
  BOOST_TEST(sends == 1U);
}

// Guards against a stream without a length that ends as complete although it broke off.
BOOST_DATA_TEST_CASE_F(
  ResumeFixture,
  brokenStreamWithoutLengthIsResumed,
  boost::unit_test::data::make({ "id: 2\ndaCLOSE", "id: 2\ndata: t2\nCLOSE", "<pause>RESET" }),
  rest)
{
  play({ [&](const std::string& aId) { return unboundedHead(aId) + event(1) + rest; },
         [](const std::string& aId) { return unboundedHead(aId) + event(2) + "CLOSE"; } });
  std::string text = stream();
  BOOST_TEST(dataOf(text) == "t1 t2 ");
  BOOST_TEST(headCount(text) == 1U);
  BOOST_TEST(text.ends_with(kLastChunk));
}

// Guards against an answer without a length that is passed on as complete after a reset, or that is
// not passed on after an orderly close.
BOOST_FIXTURE_TEST_CASE(answerWithoutLengthIsCompleteOnlyAfterAnOrderlyClose, Fixture)
{
  std::atomic<int> sends{ 0 };
  FakeEndpoint endpoint([&](const std::string& aRequest) {
    std::string head = unboundedHead(idOf(aRequest), "text/plain");
    return head + (sends++ == 0 ? "part<pause>RESET" : "wholeCLOSE");
  });
  declare(serving::CallKind::Idempotent, 1);
  list("e", endpoint.address());
  std::string broken = call(get("1"));
  BOOST_TEST(broken.starts_with("HTTP/1.1 502"));
  BOOST_TEST(broken.find("part") == std::string::npos);
  std::string whole = call(get("2"));
  BOOST_TEST(whole.starts_with("HTTP/1.1 200"));
  BOOST_TEST(whole.ends_with("\r\n\r\nwhole"));
}

// Guards against a stream that looks complete to a caller without chunks because the relay stopped.
BOOST_FIXTURE_TEST_CASE(stopResetsUnfinishedStreamsOfCallersWithoutChunks, ResumeFixture)
{
  play({ [](const std::string& aId) { return streamHead(aId) + chunk(event(1)); } }, 20000ms);
  int socket = connectTo(callers);
  sendAll(socket, "GET /x/a HTTP/1.0\r\nHost: a.example\r\nId: 1\r\n\r\n");
  char buffer[4096];
  BOOST_REQUIRE(::recv(socket, buffer, sizeof(buffer), 0) > 0);
  // The leave limit is as long as connectTo() lets a read wait.
  timeval limit{ .tv_sec = 10, .tv_usec = 0 };
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  relay->startLeaving(std::chrono::steady_clock::now());
  thread.join();
  relay.reset();
  Received received = readToEnd(socket);
  ::close(socket);
  BOOST_TEST(received.error == ECONNRESET);
}

// Guards against a complete stream that is cut or resumed because of line ends or comments after
// its last event, or because of its kind of line ends.
BOOST_DATA_TEST_CASE_F(ResumeFixture,
                       streamEndsBetweenEvents,
                       boost::unit_test::data::make({ "id: 1\ndata: t1\n\n\n",
                                                      "id: 1\r\ndata: t1\r\n\r\n\r\n",
                                                      "id: 1\ndata: t1\n\n: end\n",
                                                      "id: 1\rdata: t1\r\r",
                                                      "id: 1\rdata: t1\r\r: end\r",
                                                      "id: 1\ndata: t1\n\n<pause>\n" }),
                       events)
{
  play({ [&](const std::string& aId) { return unboundedHead(aId) + events + "CLOSE"; },
         brokenStream });
  std::string text = stream();
  std::string body(events);
  if (size_t at = body.find(kPause); at != std::string::npos) {
    body.erase(at, kPause.size());
  }
  std::string received;
  for (size_t at = text.find("\r\n\r\n") + 4; at < text.size();) {
    size_t size = std::stoul(text.substr(at), nullptr, 16);
    at = text.find("\r\n", at) + 2;
    received += text.substr(at, size);
    at += size + 2;
  }
  BOOST_TEST(received == body);
  BOOST_TEST(text.ends_with(kLastChunk));
  BOOST_TEST(sends == 1U);
}

// Guards against a stream that is not resumed because the resumed one begins with a comment.
BOOST_FIXTURE_TEST_CASE(streamResumesAfterAComment, ResumeFixture)
{
  play({ brokenStream, [](const std::string& aId) {
          return streamHead(aId) + chunk(": waiting\n\n") + chunk(event(2)) + "0\r\n\r\n";
        } });
  std::string text = stream();
  BOOST_TEST(dataOf(text) == "t1 t2 ");
  BOOST_TEST(text.ends_with(kLastChunk));
}

// Guards against pieces of two runs within one answer on a route whose streams may not be resumed.
BOOST_FIXTURE_TEST_CASE(streamOfARouteWithoutResumeIsNotResumed, ResumeFixture)
{
  play({ brokenStream,
         [](const std::string& aId) { return streamHead(aId) + chunk(event(2)) + "0\r\n\r\n"; } },
       3000ms,
       serving::CallKind::Idempotent);
  checkIsCut(stream());
  BOOST_TEST(sends == 1U);
}

// Guards against a stream that is given up after a pause although nothing could resume it.
BOOST_FIXTURE_TEST_CASE(pausedStreamWithoutIdsIsNotGivenUp, ResumeFixture)
{
  std::string pause;
  for (int i = 0; i < 45; ++i) {
    pause += kPause;
  }
  play({ [&](const std::string& aId) {
          return streamHead(aId) + chunk("data: t1\n\n") + pause + chunk("data: t2\n\n") +
                 "0\r\n\r\n";
        },
         brokenStream });
  std::string text = stream();
  BOOST_TEST(dataOf(text) == "t1 t2 ");
  BOOST_TEST(text.ends_with(kLastChunk));
}

// Guards against resuming a stream because its caller reads slowly.
BOOST_FIXTURE_TEST_CASE(slowCallerDoesNotMoveAStream, ResumeFixture)
{
  constexpr int kEvents = 400;
  std::string events;
  for (int i = 1; i <= kEvents; ++i) {
    events += chunk("id: " + std::to_string(i) + "\ndata: " + std::string(8000, 'x') + "\n\n");
  }
  auto whole = [&](const std::string& aId) { return streamHead(aId) + events + "0\r\n\r\n"; };
  play({ whole, whole }, 8000ms);
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int size = 4096;
  setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(callers.port));
  inet_pton(AF_INET, callers.host.c_str(), &address.sin_addr);
  BOOST_REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  sendAll(socket, get("1", "Connection: close\r\n"));
  std::this_thread::sleep_for(2000ms);
  std::string text = readToEnd(socket).text;
  ::close(socket);
  BOOST_TEST(text.ends_with("\r\n" + std::string(kLastChunk)));
  BOOST_TEST(sends == 1U);
}

// Guards against the head of another answer within a stream that its endpoint broke off.
BOOST_DATA_TEST_CASE_F(ResumeFixture,
                       headOfAnotherAnswerIsNotWrittenIntoAStream,
                       boost::unit_test::data::make({ "", "id: 2\n", "id: 2\ndata: t2" }),
                       part)
{
  std::string error = answer("1", "no such thing\n\n", 500);
  play({ [&](const std::string& aId) {
          return unboundedHead(aId) + event(1) + part + error + "CLOSE";
        },
         [](const std::string& aId) { return streamHead(aId) + chunk(event(2)) + "0\r\n\r\n"; } });
  std::string text = stream();
  BOOST_TEST(dataOf(text) == "t1 t2 ");
  BOOST_TEST(headCount(text) == 1U);
  BOOST_TEST(text.find("no such thing") == std::string::npos);
  BOOST_TEST(text.ends_with(kLastChunk));
}

// Guards against rejecting a stream whose data quotes the head of an answer.
BOOST_FIXTURE_TEST_CASE(streamMayQuoteTheHeadOfAnAnswer, ResumeFixture)
{
  std::string quote = "id: 1\ndata: HTTP/1.1 200 OK\ndata: Content-Length: 0\ndata:\n\n";
  play({ [&](const std::string& aId) { return streamHead(aId) + chunk(quote) + "0\r\n\r\n"; } });
  std::string text = stream();
  BOOST_TEST(text.find(quote) != std::string::npos);
  BOOST_TEST(text.ends_with(kLastChunk));
}

namespace {

constexpr int kStreamEvents = 3;

/** An event with several lines. */
std::string longEvent(const std::string& aId, const std::string& aLineEnd)
{
  return "x-weight-versions: 1" + aLineEnd + "id: " + aId + aLineEnd + ": c" + aLineEnd +
         "data: t" + aId + aLineEnd + "data: more" + aLineEnd + aLineEnd;
}

/** Events after aLast. */
std::vector<std::string> eventsAfter(int aLast, const std::string& aLineEnd)
{
  std::vector<std::string> events;
  for (int i = aLast + 1; i <= kStreamEvents; ++i) {
    events.push_back(longEvent(std::to_string(i), aLineEnd));
  }
  return events;
}

/** A request after which the caller's connection ends. */
std::string requestLast(const std::string& aId, int aMinorVersion)
{
  return "GET /x/" + aId + " HTTP/1." + std::to_string(aMinorVersion) +
         "\r\nHost: a.example\r\nId: " + aId + "\r\nConnection: close\r\n\r\n";
}

int lastOf(const std::string& aRequest)
{
  size_t at = aRequest.find("\r\nLast: ");
  return at == std::string::npos ? 0 : std::stoi(aRequest.substr(at + 8));
}

std::string streamAfter(const std::string& aRequest, int aLast, const std::string& aLineEnd)
{
  std::string text = streamHead(idOf(aRequest));
  for (const std::string& event : eventsAfter(aLast, aLineEnd)) {
    text += chunk(event);
  }
  return text + "0\r\n\r\n";
}

constexpr int kSecondAnswers = 18;

/** Answer of the second endpoint, of which only some continue the stream. */
std::string secondAnswer(int aKind, const std::string& aRequest, const std::string& aLineEnd)
{
  std::string id = idOf(aRequest);
  int last = lastOf(aRequest);
  std::string head = "HTTP/1.1 500 X\r\nId: " + id + "\r\nSigned: s\r\n";
  std::string error = "no such thing\n\n";
  std::string good = streamAfter(aRequest, last, aLineEnd);
  switch (aKind) {
    case 0:
      return good;
    case 1:
      return streamAfter(aRequest, 0, aLineEnd);
    case 2:
      return streamAfter(aRequest, last > 0 ? last + 1 : 0, aLineEnd);
    case 3:
      return answer(id, error, 500);
    case 4:
      return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(error) + "0\r\n\r\n";
    case 5:
      return head + "\r\n" + error + "CLOSE";
    case 6:
      return head + "\r\n" + error + "RESET";
    case 7:
      return head + "Content-Type: text/event-stream\r\n\r\n" + error + "CLOSE";
    case 8:
      return answer(id, error, 200);
    case 9:
      return streamHead(id) + chunk("data: no such thing\n\n") + "0\r\n\r\n";
    case 10:
      return streamHead(id) + "0\r\n\r\n";
    case 11:
      return good.substr(0, good.size() - 12) + "CLOSE";
    case 12:
      return rejection(id, 503);
    case 13:
      return rejection(id, 421);
    case 14:
      return "HTTP/1.1 102 X\r\n\r\n" + good;
    case 15:
      return "CLOSE";
    case 16:
      return "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n\r\n" + event(last + 1) +
             "CLOSE";
    default:
      return streamHead(id) + chunk(": c" + aLineEnd + aLineEnd) +
             good.substr(streamHead(id).size());
  }
}

/** Lets every request be sent again. */
struct EveryCutFixture : ResumeFixture
{
  EveryCutFixture()
    : ResumeFixture(10000)
  {
  }
};

} // namespace

// Guards against events that are lost, repeated or mixed with other answers, and against a cut that
// looks complete, wherever a stream breaks off and whatever the next endpoint answers.
BOOST_DATA_TEST_CASE_F(EveryCutFixture,
                       streamSurvivesACutAtEveryByte,
                       boost::unit_test::data::make({ "\n", "\r\n", "\r" }) *
                         boost::unit_test::data::make({ true, false }) *
                         boost::unit_test::data::make({ 0, 1 }),
                       lineEnd,
                       isChunked,
                       minorVersion)
{
  const std::string id = "1000";
  std::string whole = isChunked ? streamHead(id) : unboundedHead(id);
  size_t firstEnd = 0;
  std::vector<size_t> ends; // Where a stream without chunks is complete.
  ends.push_back(whole.size());
  for (const std::string& event : eventsAfter(0, lineEnd)) {
    whole += isChunked ? chunk(event) : event;
    firstEnd = firstEnd == 0 ? whole.size() : firstEnd;
    ends.push_back(whole.size());
  }
  std::mutex mutex;
  std::map<std::string, int> sendsOf;
  auto script = [&](const std::string& aRequest) {
    std::string request = idOf(aRequest);
    int cut = std::stoi(request) - 1000;
    int send = 0;
    {
      std::lock_guard lock(mutex);
      send = sendsOf[request]++;
    }
    if (send > 0) {
      return send == 1 ? secondAnswer((cut + 7 * minorVersion) % kSecondAnswers, aRequest, lineEnd)
                       : streamAfter(aRequest, lastOf(aRequest), lineEnd);
    }
    std::string text = whole;
    text.replace(text.find("Id: ") + 4, request.size(), request);
    return text.substr(0, static_cast<size_t>(cut)) + "CLOSE";
  };
  declare(serving::CallKind::Streaming, 3);
  for (int i = 0; i < 3; ++i) {
    endpoints.push_back(std::make_unique<FakeEndpoint>(script));
  }
  int completed = 0;
  for (size_t cut = 0; cut < whole.size(); ++cut) {
    std::string request = std::to_string(1000 + cut);
    for (int i = 0; i < 3; ++i) {
      // New ids: failures of earlier requests do not affect the choice of endpoints.
      list(request + "." + std::to_string(i), endpoints[static_cast<size_t>(i)]->address());
      if (cut > 0) {
        unlist(std::to_string(999 + cut) + "." + std::to_string(i));
      }
    }
    Received received = callToEnd(requestLast(request, minorVersion));
    const std::string& text = received.text;
    bool isComplete = minorVersion == 0 ? received.error == 0 : text.ends_with(kLastChunk);
    BOOST_TEST_CONTEXT("cut at " << cut << ": " << text)
    {
      BOOST_TEST(headCount(text) == 1U);
      if (cut >= firstEnd) {
        size_t count = 0;
        for (int i = 1; i <= kStreamEvents; ++i) {
          std::string event = eventsAfter(i - 1, lineEnd)[0];
          size_t at = text.find(event);
          count += at != std::string::npos ? 1 : 0;
          BOOST_TEST(((at == std::string::npos) || text.find(event, at + 1) == std::string::npos));
          BOOST_TEST(((at == std::string::npos) == (count < static_cast<size_t>(i))));
        }
        bool mayEnd = !isChunked && std::ranges::find(ends, cut) != ends.end();
        BOOST_TEST(text.find("no such thing") == std::string::npos);
        BOOST_TEST((!isComplete || count == kStreamEvents || mayEnd));
        completed += isComplete ? 1 : 0;
      }
    }
  }
  // Nearly all can be resumed: by the second endpoint, or by the third.
  BOOST_TEST(completed >= static_cast<int>(whole.size() - firstEnd) * 3 / 4);
  endpoints.clear(); // Their threads use the script's state.
}
