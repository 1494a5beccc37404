#include "StoreCallLog.h"

namespace boragepitch::tools {

namespace {
/** Smaller answers need a small part of the time that a call may take. */
constexpr uint64_t kLargeAnswerBytes = 64 << 10;
} // namespace

void logStoreCall(telemetry::EventLog& aLog,
                  std::string_view aTable,
                  const stores::TableCall& aCall,
                  base::TimePoint aNow)
{
  const stores::AnswerStats& answer = aCall.answer;
  bool isBroken = !aCall.status && (answer.bytes > 0 || answer.announcedBytes > kLargeAnswerBytes);
  if (answer.bytes < kLargeAnswerBytes && !isBroken) {
    return;
  }
  aLog.write(
    telemetry::EventClass::Critical,
    "store_answer",
    { { "table", std::string(aTable) },
      { "call", aCall.isSnapshot ? "rows" : "changes" },
      { "outcome", aCall.status ? "received" : aCall.status.error().describe() },
      { "rows", std::to_string(aCall.rows) },
      { "bytes", std::to_string(answer.bytes) },
      { "announced", answer.announcedBytes ? std::to_string(*answer.announcedBytes) : "-" },
      { "head_ms", answer.untilHead ? std::to_string(answer.untilHead->count()) : "-" },
      { "ms", std::to_string(answer.total.count()) } },
    aNow);
}

void logCopyAttempt(telemetry::EventLog& aLog,
                    std::string_view aTable,
                    const stores::CopyAttempt& aAttempt,
                    base::TimePoint aNow)
{
  aLog.write(telemetry::EventClass::Critical,
             "table_copied",
             { { "table", std::string(aTable) },
               { "source", aAttempt.source },
               { "outcome", aAttempt.status ? "received" : aAttempt.status.error().describe() },
               { "bytes", std::to_string(aAttempt.bytes) },
               { "ms", std::to_string(aAttempt.duration.count()) } },
             aNow);
}

} // namespace boragepitch::tools
