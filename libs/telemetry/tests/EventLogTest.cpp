#define BOOST_TEST_MODULE telemetry_event_log
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

#include "telemetry/EventLog.h"

using namespace boragepitch;
using namespace boragepitch::telemetry;
using namespace std::chrono_literals;

namespace {

struct Pipe
{
  Pipe()
  {
    BOOST_REQUIRE(::pipe(ends) == 0);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe()
  {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  std::string read()
  {
    std::string text;
    char buffer[65536];
    for (ssize_t count = 0; (count = ::read(ends[0], buffer, sizeof(buffer))) > 0;) {
      text.append(buffer, static_cast<size_t>(count));
    }
    return text;
  }
  int ends[2];
};

size_t countOccurrences(const std::string& aText, const std::string& aPart)
{
  size_t count = 0;
  for (size_t at = 0; (at = aText.find(aPart, at)) != std::string::npos; ++at) {
    ++count;
  }
  return count;
}

const base::TimePoint kNow{ 1h };

} // namespace

// Guards against routine lines that crowd out lines about failures under overload, and against
// lines dropped without being counted.
BOOST_AUTO_TEST_CASE(limitsLinesByClassAndCountsDroppedLines)
{
  Pipe pipe;
  EventLog log(pipe.ends[1], "n", { .linesPerSecond = { 10, 20, 30 } });
  for (int i = 0; i < 100; ++i) {
    log.write(EventClass::Routine, "routine", {}, kNow);
    log.write(EventClass::Refused, "refused", {}, kNow);
  }
  log.write(EventClass::Critical, "critical", {}, kNow);
  log.flush(kNow);
  std::string text = pipe.read();
  BOOST_TEST(countOccurrences(text, "event=routine") == 10U);
  BOOST_TEST(countOccurrences(text, "event=refused") == 20U);
  BOOST_TEST(countOccurrences(text, "event=critical") == 1U);
  BOOST_TEST(log.dropped(EventClass::Routine) == 90U);
  log.flush(kNow + 1s);
  BOOST_TEST(countOccurrences(pipe.read(), "event=log_dropped routine=90 refused=80 critical=0") ==
             1U);
}

// Guards against flush() blocking, memory growing or lines being cut when the reader of the pipe
// has stopped.
BOOST_AUTO_TEST_CASE(fullPipeNeverBlocks)
{
  Pipe pipe;
  EventLog log(pipe.ends[1], "n", { .linesPerSecond = { 1000000, 1, 1 }, .pendingBytes = 100000 });
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 5000; ++i) {
    log.write(EventClass::Routine, "line", { { "text", std::string(100, 'x') } }, kNow);
    log.flush(kNow);
  }
  BOOST_TEST((std::chrono::steady_clock::now() - start < 5s));
  BOOST_TEST(log.dropped(EventClass::Routine) > 0U);
  std::string text;
  for (std::string part = pipe.read(); !part.empty(); part = pipe.read()) {
    text += part;
    log.flush(kNow);
  }
  BOOST_TEST(text.back() == '\n');
  BOOST_TEST(countOccurrences(text, "event=line text=") == countOccurrences(text, "\n"));
}

// Guards against last lines of a process that are lost because the pipe is full for a moment.
BOOST_AUTO_TEST_CASE(lastLinesWaitForASlowReader)
{
  Pipe pipe;
  EventLog log(pipe.ends[1], "n", { .linesPerSecond = { 0, 0, 100000 }, .pendingBytes = 1 << 20 });
  constexpr size_t kLines = 5000;
  for (size_t i = 0; i < kLines; ++i) {
    log.write(EventClass::Critical, "line", { { "text", std::string(60, 'x') } }, kNow);
  }
  std::string text;
  std::thread reader([&] {
    while (countOccurrences(text, "event=line") < kLines) {
      std::this_thread::sleep_for(5ms);
      text += pipe.read();
    }
  });
  log.flushAll(std::chrono::steady_clock::now(), 5000ms);
  reader.join();
  BOOST_TEST(countOccurrences(text, "event=line") == kLines);
}

// Guards against a process that does not end because nobody reads its log.
BOOST_AUTO_TEST_CASE(lastLinesAreGivenUpAtTheLimit)
{
  std::signal(SIGPIPE, SIG_IGN);
  Pipe pipe;
  EventLog log(pipe.ends[1], "n", { .linesPerSecond = { 0, 0, 100000 }, .pendingBytes = 1 << 20 });
  for (int i = 0; i < 5000; ++i) {
    log.write(EventClass::Critical, "line", { { "text", std::string(60, 'x') } }, kNow);
  }
  auto start = std::chrono::steady_clock::now();
  log.flushAll(start, 50ms);
  BOOST_TEST((std::chrono::steady_clock::now() - start >= 50ms));
  ::close(pipe.ends[0]);
  log.flushAll(std::chrono::steady_clock::now(), 1h); // Returns, as the pipe has no reader.
  pipe.ends[0] = ::dup(pipe.ends[1]);
}
