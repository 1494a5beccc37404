#define BOOST_TEST_MODULE relay_cut_head
#include <boost/test/unit_test.hpp>

#include "RelayFixture.h"

using namespace boragepitch;
using namespace boragepitch::relay;
using namespace boragepitch::relay::test;

namespace {

/** An answer to be cut, as the endpoint writes it. */
struct Shape
{
  std::string name;
  std::string before; ///< Sent whole before the answer that is cut.
  std::string head;   ///< Without the attempt id and the empty line.
  std::string body;
  bool endsWithConnection = false; ///< The body ends where the connection does.
};

std::vector<Shape> shapes()
{
  const std::string ok = "HTTP/1.1 200 OK\r\nSigned: s\r\n";
  const std::string stream = ok + "Content-Type: text/event-stream\r\n";
  const std::string events = event(1) + event(2);
  return { { "length", "", ok + "Content-Length: 4\r\n", "body" },
           { "length first", "", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nSigned: s\r\n", "body" },
           { "empty", "", ok + "Content-Length: 0\r\n", "" },
           { "chunks", "", ok + "Transfer-Encoding: chunked\r\n", chunk("body") + "0\r\n\r\n" },
           { "trailer",
             "",
             ok + "Transfer-Encoding: chunked\r\n",
             chunk("body") + "0\r\nChecksum: 1\r\n\r\n" },
           { "no length", "", ok, "body", true },
           { "after an interim answer",
             "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
             ok + "Content-Length: 4\r\n",
             "body" },
           { "after a late answer",
             "HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\nContent-Length: 4\r\n\r\nlate",
             ok + "Content-Length: 4\r\n",
             "body" },
           { "stream in chunks",
             "",
             stream + "Transfer-Encoding: chunked\r\n",
             chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n" },
           { "stream without length", "", stream, events, true } };
}

struct CutFixture : Fixture
{
  /** Sends a request like no other, so that earlier crashes do not put it into quarantine. */
  std::string callOnce()
  {
    std::string number = std::to_string(++sent);
    return call("GET /x/" + number + " HTTP/1.1\r\nHost: a.example\r\nId: n" + number + "\r\n\r\n");
  }

  /** Whether a caller takes the answer for a whole success. */
  static bool isWholeSuccess(const std::string& aAnswer)
  {
    size_t head = aAnswer.find("\r\n\r\n");
    if (!aAnswer.starts_with("HTTP/1.1 200") || head == std::string::npos) {
      return false;
    }
    return aAnswer.find("Transfer-Encoding: chunked") == std::string::npos ||
           aAnswer.ends_with("0\r\n\r\n");
  }

  /** Cuts the answer after each byte. aOnKept: on a connection that has carried another answer. */
  void cutEverywhere(const Shape& aShape, const std::string& aEnd, bool aOnKept)
  {
    size_t headSize = 0;
    size_t size = 1;
    for (size_t cut = 0; cut < size; ++cut) {
      FakeEndpoint endpoint([&](const std::string& aRequest) {
        if (aOnKept && endpoint.requests().size() == 1) {
          return answer(idOf(aRequest), "first");
        }
        std::string text = aShape.head + "Id: " + idOf(aRequest) + "\r\n\r\n";
        headSize = text.size();
        text += aShape.body;
        size = text.size();
        text.resize(cut);
        text.insert(0, aShape.before);
        text += aEnd;
        return text;
      });
      std::string id = "e" + std::to_string(sent);
      list(id, endpoint.address());
      if (aOnKept) {
        BOOST_REQUIRE(callOnce().ends_with("first"));
      }
      std::string text = callOnce();
      unlist(id);
      BOOST_TEST_CONTEXT(aShape.name << ", " << aEnd << " after " << cut << " bytes, kept "
                                     << aOnKept << ": " << text)
      {
        // An orderly close ends a body without a length: what has arrived is all of it.
        bool mayBeWhole = aShape.endsWithConnection && aEnd == "CLOSE" && cut >= headSize;
        BOOST_TEST((mayBeWhole || !isWholeSuccess(text)));
        if (cut < headSize) {
          BOOST_TEST(text.starts_with("HTTP/1.1 502"));
        }
        BOOST_TEST(endpoint.requests().size() == (aOnKept ? 2U : 1U));
      }
    }
  }

  int sent = 0;
};

} // namespace

// Guards against an answer whose head is cut and that reaches the caller as a whole success (MIXED,
// ORDER).
BOOST_FIXTURE_TEST_CASE(aCutAnswerIsNoSuccess, CutFixture)
{
  declare(serving::CallKind::Mutating);
  for (const Shape& shape : shapes()) {
    cutEverywhere(shape, "CLOSE", false);
    cutEverywhere(shape, "RESET", false);
  }
}

BOOST_FIXTURE_TEST_CASE(aCutStreamIsNoSuccess, CutFixture)
{
  declare(serving::CallKind::Streaming);
  for (const Shape& shape : shapes()) {
    cutEverywhere(shape, "CLOSE", false);
    cutEverywhere(shape, "RESET", false);
  }
}

BOOST_FIXTURE_TEST_CASE(aCutAnswerOnAKeptConnectionIsNoSuccess, CutFixture)
{
  declare(serving::CallKind::Idempotent);
  for (const Shape& shape : shapes()) {
    cutEverywhere(shape, "CLOSE", true);
  }
}
