#define BOOST_TEST_MODULE bpctl_explain
#include <boost/test/unit_test.hpp>

#include <sstream>

#include "Explain.h"

using namespace boragepitch::bpctl;

namespace {

std::vector<LogLine> parse(const std::string& aText)
{
  std::vector<LogLine> lines;
  std::istringstream input(aText);
  for (std::string text; std::getline(input, text);) {
    if (auto line = parseLogLine(text)) {
      lines.push_back(*line);
    }
  }
  return lines;
}

std::string causeOf(const std::string& aText, const std::string& aId)
{
  auto explanation = explainRequest(parse(aText), aId);
  return explanation ? explanation->cause : "none";
}

bool contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(parsesLineWithCollectorTimestamp)
{
  auto line =
    parseLogLine("  12.500 edge-a| t=900 node=n event=store_lost reason=\"no answer\" x=1");
  BOOST_REQUIRE(line);
  BOOST_TEST(line->collectorSeconds.value_or(0) == 12.5);
  BOOST_TEST(line->steadyMs == 900);
  BOOST_TEST(line->event == "store_lost");
  BOOST_TEST(line->field("reason") == "no answer");
  BOOST_TEST(line->field("x") == "1");
  BOOST_TEST(line->field("missing") == "");
}

// Guards against parsing truncated or unrelated text as a log line.
BOOST_AUTO_TEST_CASE(ignoresUnstructuredText)
{
  for (const char* text :
       { "", "t=", "terminate called", "set=3 event=x", "t=5 node=n", "t=5 a=\"" }) {
    BOOST_TEST(!parseLogLine(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(explainsRefusalUnderLoadDuringRollout)
{
  auto cause = causeOf("t=1000 node=n event=weights_declared model=m version=7\n"
                       "t=3000 node=n event=request id=r outcome=refused reason=full candidates=5 "
                       "best_ms=512\n",
                       "r");
  BOOST_TEST(contains(cause, "none of 5 allowed endpoints"));
  BOOST_TEST(contains(cause, "512 ms"));
  BOOST_TEST(contains(cause, "version 7 was being rolled out"));
}

// Guards against taking a refusal before any send for one after a failed send.
BOOST_AUTO_TEST_CASE(explainsRefusalsByALimitAndByAStop)
{
  auto limited = causeOf("t=1000 node=n event=endpoint_limited endpoint=e id=q per_second=1.900\n"
                         "t=3000 node=n event=request id=r outcome=refused reason=limited\n",
                         "r");
  BOOST_TEST(contains(limited, "the latest limit, of e, is 1.900 a second"));
  BOOST_TEST(!contains(limited, "failed send"));
  auto stopping = causeOf("t=1000 node=n event=leaving sessions=4\n"
                          "t=3000 node=n event=request id=r outcome=refused reason=stopping\n",
                          "r");
  BOOST_TEST(contains(stopping, "was stopping"));
}

// Guards against blaming a rollout that ended long before or that only another process saw.
BOOST_AUTO_TEST_CASE(ignoresUnrelatedRollouts)
{
  auto cause = causeOf("t=1000 node=n event=weights_declared model=m version=7\n"
                       "t=29000 node=o event=weights_declared model=m version=8\n"
                       "t=30000 node=n event=request id=r outcome=refused reason=full\n",
                       "r");
  BOOST_TEST(!contains(cause, "rolled out"));
}

BOOST_AUTO_TEST_CASE(distinguishesCrashFromLostAnswer)
{
  std::string lost =
    "t=10 node=n event=send_failed id=r endpoint=e reason=cut_short may_have_run=yes\n"
    "t=10 node=n event=request id=r outcome=failed reason=cut_short\n";
  BOOST_TEST(contains(causeOf(lost, "r"), "lost answer"));
  std::string crash =
    lost + "t=20 node=n event=send_failed id=s endpoint=e reason=cut_short may_have_run=yes\n"
           "t=30 node=n event=send_failed id=u endpoint=e reason=cut_short may_have_run=yes\n";
  BOOST_TEST(contains(causeOf(crash, "r"), "crashed"));
  std::string elsewhere =
    lost + "t=20 node=n event=send_failed id=s endpoint=f reason=cut_short may_have_run=yes\n"
           "t=9000 node=n event=send_failed id=u endpoint=e reason=cut_short may_have_run=yes\n";
  BOOST_TEST(contains(causeOf(elsewhere, "r"), "lost answer"));
}

BOOST_AUTO_TEST_CASE(distinguishesStaleConfigurationFromMissingKey)
{
  std::string rejected = "5.0 x t=500 node=n event=request id=r outcome=rejected status=401 "
                         "reason=unknown_key config=8\n";
  BOOST_TEST(contains(causeOf(rejected, "r"), "the newest at that time, lacks its key"));
  std::string stale = "1.0 x t=100 node=n event=store_lost table=operators reason=timeout\n"
                      "4.0 y t=77 node=o event=deployment version=9\n" +
                      rejected;
  auto cause = causeOf(stale, "r");
  BOOST_TEST(contains(cause, "configuration 8 while 9"));
  BOOST_TEST(contains(cause, "lost the store"));
  std::string later = "6.0 y t=99 node=o event=deployment version=9\n" + rejected;
  BOOST_TEST(contains(causeOf(later, "r"), "the newest at that time"));
}

BOOST_AUTO_TEST_CASE(explainsLateFirstEvent)
{
  auto cause = causeOf("t=9 node=n event=request id=r outcome=served first_ms=900 predicted_ms=150 "
                       "report_age_ms=4000 sends=1\n",
                       "r");
  BOOST_TEST(contains(cause, "no recent load report"));
  BOOST_TEST(contains(causeOf("t=9 node=n event=request id=r outcome=served first_ms=900 "
                              "predicted_ms=150 report_age_ms=200 sends=1\n",
                              "r"),
                      "slower than its report"));
}

BOOST_AUTO_TEST_CASE(ordersRequestLinesAndShowsChangesOfProcess)
{
  auto explanation = explainRequest(
    parse("3.0 b t=30 node=n event=request id=r outcome=served first_ms=5 predicted_ms=5\n"
          "2.0 a t=20 node=n event=send_failed id=r endpoint=e reason=rejected_503\n"
          "1.0 a t=10 node=n event=evacuated zones=z\n"
          "1.5 a t=10 node=o event=evacuated zones=y\n"),
    "r");
  BOOST_REQUIRE(explanation);
  BOOST_TEST(explanation->requestLines.front().event == "send_failed");
  BOOST_REQUIRE(explanation->precedingChanges.size() == 1U);
  BOOST_TEST(explanation->precedingChanges[0].field("zones") == "z");
  BOOST_TEST(!explainRequest({}, "r").has_value());
}
