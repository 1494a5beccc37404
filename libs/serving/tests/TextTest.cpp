#define BOOST_TEST_MODULE serving_text
#include <ctime>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "serving/EventSplitter.h"
#include "serving/PeerMessage.h"

using namespace boragepitch;
using namespace boragepitch::serving;

namespace {

std::vector<std::pair<std::string, std::optional<uint64_t>>> drain(EventSplitter& aSplitter)
{
  std::vector<std::pair<std::string, std::optional<uint64_t>>> events;
  while (auto event = aSplitter.next()) {
    events.emplace_back(std::string(event->text), event->id);
  }
  return events;
}

} // namespace

// Guards against events that depend on how the bytes are split over reads.
RC_BOOST_PROP(eventsDoNotDependOnReadBoundaries, (const std::vector<uint8_t>& aCuts))
{
  std::string text;
  for (int i = 1; i <= 20; ++i) {
    text += "id: " + std::to_string(i) + (i % 3 == 0 ? "\r\n" : "\n") + "data: x" +
            std::string(static_cast<size_t>(i), 'y') + (i % 3 == 0 ? "\r\n\r\n" : "\n\n");
  }
  EventSplitter whole;
  whole.feed(text);
  auto expected = drain(whole);
  RC_ASSERT(expected.size() == 20U);
  EventSplitter cut;
  std::vector<std::pair<std::string, std::optional<uint64_t>>> events;
  std::string_view rest = text;
  for (uint8_t size : aCuts) {
    cut.feed(rest.substr(0, size));
    rest.remove_prefix(std::min<size_t>(size, rest.size()));
    auto part = drain(cut);
    events.insert(events.end(), part.begin(), part.end());
  }
  cut.feed(rest);
  auto last = drain(cut);
  events.insert(events.end(), last.begin(), last.end());
  RC_ASSERT(events == expected);
  RC_ASSERT(cut.pending().empty());
}

namespace {

/** Processor time for reading an event of one line in short reads, in milliseconds. */
long readLongLineMs(size_t aBytes)
{
  constexpr size_t kReadBytes = 512;
  auto processorMs = [] {
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return time.tv_sec * 1000 + time.tv_nsec / 1'000'000;
  };
  EventSplitter splitter;
  std::string part(kReadBytes, 'a');
  auto before = processorMs();
  for (size_t bytes = 0; bytes < aBytes; bytes += kReadBytes) {
    splitter.feed(part);
    BOOST_REQUIRE(!splitter.next().has_value());
  }
  auto took = processorMs() - before;
  splitter.feed("\r\n\n");
  BOOST_REQUIRE(splitter.next().has_value());
  BOOST_TEST(splitter.pending().empty());
  return took;
}

} // namespace

// Guards against an event without end that costs processor time with the square of its bytes, so
// that other requests are not served meanwhile.
BOOST_AUTO_TEST_CASE(longLinesAreSearchedOnce)
{
  constexpr size_t kBytes = 1 << 20;
  // Four times the bytes take four times as long if each is looked at once, otherwise sixteen
  // times. The ratio holds for any build and machine; the constant covers the resolution of the
  // clock.
  long once = readLongLineMs(kBytes);
  BOOST_TEST(readLongLineMs(4 * kBytes) < 8 * once + 50);
}

namespace {
std::string commentedEvent(uint64_t aId, const std::string& aLineEnd)
{
  return ": comment" + aLineEnd + "id: " + std::to_string(aId) + aLineEnd + "data: a" + aLineEnd +
         "data: b" + aLineEnd + aLineEnd;
}
} // namespace

// Guards against events that are not found because of their line ends, or that are held until the
// next one begins.
BOOST_DATA_TEST_CASE(eventsEndAtAnEmptyLine,
                     boost::unit_test::data::make({ "\n", "\r\n", "\r" }),
                     lineEnd)
{
  std::string line = lineEnd;
  EventSplitter splitter;
  for (uint64_t i = 1; i <= 3; ++i) {
    std::string event = commentedEvent(i, line);
    for (size_t at = 0; at < event.size(); ++at) {
      bool isAfterComment = at >= 9 && at < 9 + line.size();
      bool isEnd = at + 1 == event.size();
      splitter.feed(event.substr(at, 1));
      auto events = drain(splitter);
      BOOST_REQUIRE(events.size() == (isEnd ? 1U : 0U));
      BOOST_TEST(splitter.isInsideEvent() == (!isEnd && !isAfterComment));
      if (isEnd) {
        BOOST_TEST(events[0].first == event);
        BOOST_TEST((events[0].second == i));
      }
    }
  }
}

// Guards against joining a partial event of a broken stream with bytes of the next endpoint.
BOOST_AUTO_TEST_CASE(restartDropsThePartialEvent)
{
  EventSplitter splitter;
  splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(drain(splitter).size() == 1U);
  BOOST_TEST(!splitter.pending().empty());
  splitter.restart();
  splitter.feed("id: 2\ndata: b\n\n");
  auto events = drain(splitter);
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(events[0].first == "id: 2\ndata: b\n\n");
}

RC_BOOST_PROP(loadReportRoundTrips, (uint32_t aStartTimeMs, uint16_t aRunning, bool aSwitching))
{
  LoadReport report;
  report.address = "10.0.0.1:80";
  report.startTimeMs = aStartTimeMs;
  report.running = aRunning;
  report.weightVersion = aStartTimeMs / 2;
  report.isSwitching = aSwitching;
  report.switchesSoon = !aSwitching;
  auto decoded = decode(encode(report));
  RC_ASSERT(decoded.has_value());
  const auto& back = std::get<LoadReport>(*decoded);
  RC_ASSERT(back.startTimeMs == report.startTimeMs);
  RC_ASSERT(back.running == report.running);
  RC_ASSERT(back.weightVersion == report.weightVersion);
  RC_ASSERT(back.isSwitching == aSwitching);
  RC_ASSERT(back.switchesSoon == !aSwitching);
}

// Guards against a datagram of a foreign sender that is taken for a message of a peer.
RC_BOOST_PROP(foreignDatagramsAreErrors, (const std::string& aText))
{
  RC_ASSERT(!decode(aText).has_value());
}

BOOST_AUTO_TEST_CASE(crashEvidenceRoundTrips)
{
  auto decoded = decode(encode(CrashEvidence{ 18446744073709551615ULL, "i-1/5" }));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(std::get<CrashEvidence>(*decoded).fingerprint == 18446744073709551615ULL);
  BOOST_TEST(std::get<CrashEvidence>(*decoded).endpoint == "i-1/5");
}
