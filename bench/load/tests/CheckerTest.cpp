#define BOOST_TEST_MODULE load_checker
#include <boost/test/unit_test.hpp>

#include "common/TokenFunction.h"
#include "load/Checker.h"
#include "load/LoadRun.h"

using namespace boragepitch;
using namespace boragepitch::load;

namespace {

const std::vector<ExpectedVersion> kVersions{ { "v1", std::string(64, 'a') },
                                              { "v2", std::string(64, 'b') } };
const std::string kPrompt = "a prompt";
constexpr int64_t kTokens = 3;

SseEvent token(int64_t aIndex, size_t aVersion)
{
  std::string text = standin::tokenAt(kVersions[aVersion].sha256, kPrompt, uint64_t(aIndex));
  return { std::to_string(aIndex), "", "{\"token\":\"" + text + "\"}" };
}

SseEvent done(const std::string& aVersion)
{
  return { "", "done", R"({"tokens":3,"version":")" + aVersion + "\"}" };
}

Outcome check(const std::vector<SseEvent>& aEvents)
{
  Checker checker(kVersions, kPrompt, kTokens);
  for (const SseEvent& event : aEvents) {
    checker.onEvent(event);
  }
  return checker.outcome();
}

} // namespace

// Guards against a load generator that counts a damaged response as answered.
BOOST_AUTO_TEST_CASE(classifiesDamagedResponses)
{
  BOOST_TEST((check({ token(0, 1), token(1, 1), token(2, 1), done("v2") }) == Outcome::Answered));
  BOOST_TEST((check({ token(0, 0), token(1, 0), token(2, 0) }) == Outcome::Cut));
  BOOST_TEST((check({}) == Outcome::Cut));
  BOOST_TEST((check({ token(0, 0), token(1, 1), token(2, 1), done("v2") }) == Outcome::Mixed));
  BOOST_TEST((check({ token(0, 0), token(1, 1) }) == Outcome::Mixed));
  BOOST_TEST((check({ token(0, 0), token(1, 0), token(1, 0), token(2, 0), done("v1") }) ==
              Outcome::Doubled));
  BOOST_TEST(
    (check({ token(0, 0), token(1, 0), token(2, 0), done("v1"), done("v1") }) == Outcome::Doubled));
  BOOST_TEST((check({ token(0, 0), token(2, 0), done("v1") }) == Outcome::Wrong));
  BOOST_TEST((check({ token(0, 0), token(1, 0), done("v1") }) == Outcome::Wrong));
  BOOST_TEST((check({ token(0, 0), token(1, 0), token(2, 0), done("v2") }) == Outcome::Wrong));
  BOOST_TEST((check({ { "0", "", R"({"token":"0000000000000000"})" } }) == Outcome::Wrong));
}

// Guards against events that are lost or doubled when the network splits them anywhere.
BOOST_AUTO_TEST_CASE(readsEventsSplitAtAnyByte)
{
  const std::string text = "id: 0\ndata: {\"token\":\"x\"}\n\n: comment\n\nevent: done\r\ndata: "
                           "{}\r\n\r\nid: 9\n";
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    SseReader reader;
    std::vector<std::string> seen;
    auto note = [&](const SseEvent& aEvent) {
      seen.push_back(aEvent.id + "|" + aEvent.event + "|" + aEvent.data);
    };
    reader.feed(std::string_view(text).substr(0, cut), note);
    reader.feed(std::string_view(text).substr(cut), note);
    BOOST_TEST_REQUIRE(seen.size() == 2);
    BOOST_TEST(seen[0] == R"(0||{"token":"x"})");
    BOOST_TEST(seen[1] == "|done|{}");
  }
}

// Guards against a load that differs between two runs with the same seed, or misses its rate.
BOOST_AUTO_TEST_CASE(planIsFixedBySeed)
{
  LoadOptions options{ .entries = { { "127.0.0.1", 1 } },
                       .workspaces = { { "a", 1, 1 }, { "b", 3, 1 } },
                       .requestsPerSecond = 100,
                       .durationSeconds = 100 };
  auto first = planRequests(options);
  auto second = planRequests(options);
  BOOST_TEST_REQUIRE(first.size() == second.size());
  BOOST_TEST(first.size() > 9500);
  BOOST_TEST(first.size() < 10500);
  size_t ofB = 0;
  for (size_t i = 0; i < first.size(); ++i) {
    BOOST_TEST_REQUIRE((first[i].arrival == second[i].arrival));
    BOOST_TEST_REQUIRE(first[i].prompt == second[i].prompt);
    ofB += first[i].workspace;
  }
  BOOST_TEST(ofB > first.size() * 7 / 10);
  BOOST_TEST(ofB < first.size() * 8 / 10);
}
