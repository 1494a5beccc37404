#define BOOST_TEST_MODULE routing_stream
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "routing/StreamAssembler.h"

using namespace boragepitch::routing;

namespace {

std::string event(uint64_t aId)
{
  return "id: " + std::to_string(aId) + "\ndata: {\"token\":\"t" + std::to_string(aId) + "\"}\n\n";
}

std::string done(uint64_t aCount)
{
  return "event: done\ndata: {\"tokens\":" + std::to_string(aCount) + ",\"version\":\"1\"}\n\n";
}

std::string whole(uint64_t aCount)
{
  std::string text;
  for (uint64_t i = 0; i < aCount; ++i) {
    text += event(i);
  }
  return text + done(aCount);
}

} // namespace

// Guards against lost, repeated, reordered or split events when attempts are cut at any byte, bytes
// arrive in chunks of any size, and an attempt repeats events that were already passed on.
RC_BOOST_PROP(joinsAttemptsIntoOneWholeStream, (const std::vector<uint16_t>& aDraws))
{
  const uint64_t count = 20;
  StreamAssembler assembler;
  std::string received;
  auto sink = [&](std::string_view aEvent) {
    received += aEvent;
    return true;
  };
  int attempt = 0;
  size_t draw = 0;
  auto next = [&] { return draw < aDraws.size() ? aDraws[draw++] : 60000; };
  while (!assembler.isDone()) {
    std::string number = std::to_string(++attempt);
    RC_ASSERT(assembler.beginAttempt("r", "r", number, number, "m") == StreamFault::None);
    uint64_t from = assembler.nextEvent() - std::min<uint64_t>(assembler.nextEvent(), next() % 3);
    from = attempt > 30 ? assembler.nextEvent() : from;
    std::string text;
    for (uint64_t i = from; i < count; ++i) {
      text += event(i);
    }
    text += done(count);
    size_t cut = attempt > 30 ? text.size() : std::min<size_t>(text.size(), next());
    for (size_t at = 0; at < cut;) {
      size_t piece = std::min<size_t>(cut - at, 1 + next() % 40);
      RC_ASSERT(assembler.feed(std::string_view(text).substr(at, piece), sink) ==
                StreamFault::None);
      at += piece;
    }
  }
  RC_ASSERT(received == whole(count));
}

// Guards against passing on events of another request, another attempt or another manifest.
BOOST_AUTO_TEST_CASE(rejectsForeignAttempts)
{
  StreamAssembler assembler;
  auto sink = [](std::string_view) { return true; };
  BOOST_TEST((assembler.beginAttempt("r", "x", "1", "1", "m") == StreamFault::Foreign));
  BOOST_TEST((assembler.feed(event(0), sink) == StreamFault::Foreign));
  BOOST_TEST((assembler.beginAttempt("r", "r", "2", "1", "m") == StreamFault::Foreign));
  BOOST_TEST((assembler.beginAttempt("r", "r", "1", "1", "") == StreamFault::Foreign));
  BOOST_TEST((assembler.beginAttempt("r", "r", "1", "1", "m") == StreamFault::None));
  BOOST_TEST((assembler.feed(event(0), sink) == StreamFault::None));
  BOOST_TEST((assembler.beginAttempt("r", "r", "2", "2", "other") == StreamFault::Foreign));
  BOOST_TEST((assembler.beginAttempt("r", "r", "3", "3", "m") == StreamFault::None));
  BOOST_TEST(assembler.nextEvent() == 1);
}

// Guards against undetected gaps in the middle or at the end, and against unbounded events.
BOOST_AUTO_TEST_CASE(detectsGapsAndMalformedEvents)
{
  auto sink = [](std::string_view) { return true; };
  auto fault = [&](const std::string& aText) {
    StreamAssembler assembler(1000);
    assembler.beginAttempt("r", "r", "1", "1", "m");
    return assembler.feed(aText, sink);
  };
  BOOST_TEST((fault(event(0) + event(2)) == StreamFault::Gap));
  BOOST_TEST((fault(event(0) + done(2)) == StreamFault::Gap));
  BOOST_TEST((fault("data: x\n\n") == StreamFault::Malformed));
  BOOST_TEST((fault(std::string(2000, 'x')) == StreamFault::Malformed));
  BOOST_TEST((fault(whole(1) + event(1)) == StreamFault::Malformed));
  BOOST_TEST((fault("event: error\ndata: {}\n\n") == StreamFault::Refused));
  BOOST_TEST((fault(": comment\n\n" + whole(2)) == StreamFault::None));
}

// Guards against a crash or an incomplete event on arbitrary input.
RC_BOOST_PROP(arbitraryBytesAreHarmless, (const std::string& aText))
{
  StreamAssembler assembler(64);
  assembler.beginAttempt("r", "r", "1", "1", "m");
  assembler.feed(aText + "\n\n" + aText, [](std::string_view aEvent) {
    RC_ASSERT(aEvent.ends_with("\n\n"));
    return true;
  });
}
