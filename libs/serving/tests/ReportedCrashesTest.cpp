#define BOOST_TEST_MODULE serving_reported_crashes
#include <boost/test/unit_test.hpp>

#include "serving/PartQuarantine.h"
#include "serving/PeerMessage.h"
#include "serving/ReportedCrashes.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

namespace {
const base::TimePoint kNow{ 1h };
} // namespace

// Guards against a reset of one connection that counts as a crash of the endpoint, and against
// taking a real crash back.
BOOST_AUTO_TEST_CASE(onlyAnswersOnOlderConnectionsRefute)
{
  ReportedCrashes reports;
  reports.add({ 7, "a/1" }, kNow);
  auto isRefuted = [&](std::string_view aEndpoint, base::Duration aOpened, base::Duration aAt) {
    ReportedCrashes copy = reports;
    return !copy.refute(aEndpoint, kNow + aOpened, kNow + aAt).empty();
  };
  BOOST_TEST(isRefuted("a/1", -1s, 300ms));
  BOOST_TEST(!isRefuted("a/2", -1s, 300ms)); // Another start of the endpoint.
  BOOST_TEST(!isRefuted("b/1", -1s, 300ms));
  BOOST_TEST(!isRefuted("a/1", 1ms, 300ms));  // Opened after the report.
  BOOST_TEST(!isRefuted("a/1", -1s, 100ms));  // Sent before the crash, perhaps.
  BOOST_TEST(!isRefuted("a/1", -1s, 2100ms)); // Back under its former start time, perhaps.
}

// Guards against memory that grows with the number of reports.
BOOST_AUTO_TEST_CASE(reportsAreBounded)
{
  ReportedCrashes reports(16);
  for (uint64_t i = 0; i < 1000; ++i) {
    reports.add({ i, "a/1" }, kNow);
  }
  BOOST_TEST(reports.size() == 16U);
  reports.add({ 1, "a/1" }, kNow + 1h);
  BOOST_TEST(reports.size() == 1U);
  reports.remove({ 1, "a/1" });
  BOOST_TEST(reports.isEmpty());
}

// Guards against a quarantine of a request that outlives its evidence, here or because others tell
// of it.
BOOST_AUTO_TEST_CASE(retractedEvidenceEndsTheQuarantineOfARequest)
{
  CrashSuspects suspects;
  for (const char* endpoint : { "a/1", "b/1", "c/1" }) {
    suspects.record({ 7, endpoint }, kNow);
  }
  BOOST_TEST(suspects.isQuarantined(7, kNow));
  suspects.retract({ 7, "b/1" }, kNow + 1s);
  BOOST_TEST(!suspects.isQuarantined(7, kNow + 1s));
  BOOST_TEST(!suspects.adopt({ 7, 2s }, kNow + 2s));
  suspects.record({ 7, "d/1" }, kNow + 3s);
  BOOST_TEST(suspects.isQuarantined(7, kNow + 3s));
  // An entry that has only heard of the quarantine.
  CrashSuspects later;
  BOOST_TEST(later.adopt({ 7, 0s }, kNow));
  later.retract({ 7, "b/1" }, kNow + 1s);
  BOOST_TEST(!later.isQuarantined(7, kNow + 1s));
}

// Guards against the same for parts of prompts.
BOOST_AUTO_TEST_CASE(retractedEvidenceEndsTheQuarantineOfParts)
{
  PartQuarantine quarantine;
  std::vector<PromptPart> part{ 5 };
  uint64_t request = 0;
  for (const char* endpoint : { "a/1", "b/1", "c/1" }) {
    quarantine.recordCrash({ ++request, endpoint, part }, kNow);
  }
  BOOST_TEST(quarantine.isQuarantined(part, kNow));
  auto told = quarantine.quarantined(8, kNow);
  BOOST_REQUIRE(told.size() == 1U);
  BOOST_TEST(quarantine.retract({ 9, "b/1" }, kNow).empty()); // Evidence that does not count.
  BOOST_TEST(quarantine.retract({ 2, "b/1" }, kNow) == part, boost::test_tools::per_element());
  BOOST_TEST(!quarantine.isQuarantined(part, kNow));
  BOOST_TEST(quarantine.admit(part, kNow));
  BOOST_TEST(quarantine.admit(part, kNow));
  quarantine.adopt(told.front(), kNow);
  BOOST_TEST(!quarantine.isQuarantined(part, kNow));
  quarantine.recordCrash({ ++request, "d/1", part }, kNow + 1s);
  BOOST_TEST(quarantine.isQuarantined(part, kNow + 1s));
  // A later reset under a part that was quarantined before.
  auto after = kNow + 2min;
  quarantine.recordCrash({ ++request, "e/1", part }, after);
  BOOST_TEST(quarantine.isQuarantined(part, after));
  quarantine.retract({ request, "e/1" }, after + 1s);
  BOOST_TEST(!quarantine.isQuarantined(part, after + 1s));
}

// Guards against notices that other entries cannot read.
BOOST_AUTO_TEST_CASE(refutationsAndCompletionsAreTold)
{
  auto refutation = decode(encode(CrashRefutation{ { 7, "a/1", {} } }));
  BOOST_REQUIRE(refutation.has_value());
  BOOST_TEST(std::get<CrashRefutation>(*refutation).evidence.endpoint == "a/1");
  BOOST_TEST(std::get<CrashRefutation>(*refutation).evidence.fingerprint == 7U);
  auto notice = decode(encode(RequestNotice{ {}, { 7, 8 } }));
  BOOST_REQUIRE(notice.has_value());
  BOOST_TEST((std::get<RequestNotice>(*notice).completed == std::vector<uint64_t>{ 7, 8 }));
  BOOST_TEST(!decode(R"({"kind":"refutation","fingerprint":"7"})").has_value());
}
