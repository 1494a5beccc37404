#include "Explain.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <set>

namespace boragepitch::bpctl {

namespace {

/** How long before the end of a request state changes of its process are shown with it. */
constexpr int64_t kContextMs = 10'000;
/** Requests that an endpoint loses within this time are attributed to the same event. */
constexpr int64_t kSameEventMs = 1000;
/** Minimum requests lost together that count as a crash; fewer count as lost responses. */
constexpr size_t kMinCrashRequests = 3;
/** Maximum age of a load report. Reports arrive several times a second, so an older one is stale.
 */
constexpr int64_t kMaxReportAgeMs = 1500;
/** Minimum delay beyond the prediction at which a first event counts as late. */
constexpr int64_t kLateThresholdMs = 200;

bool isStateChange(const LogLine& aLine)
{
  static const std::set<std::string_view> kChanges{
    "started",
    "signal",
    "leaving",
    "stopped",
    "store_lost",
    "store_regained",
    "deployment",
    "deployment_invalid",
    "evacuated",
    "weights_declared",
    "endpoint",
    "endpoint_gone",
    "endpoint_lapsed",
    "entries",
    "log_dropped",
    "engine_lost",
    "weights_loaded",
    "engine_restarted",
    "order",
    "staging_failed",
    "endpoint_announced_leave",
    "endpoint_limited",
    "endpoint_limit_ended",
    "leaving",
  };
  return kChanges.contains(aLine.event);
}

std::string quoted(std::string_view aText)
{
  return "\"" + std::string(aText) + "\"";
}

/** Returns the last line of the given event that aEnd's process logged up to aEnd, or null. */
const LogLine* lastBefore(const std::vector<LogLine>& aLines,
                          const LogLine& aEnd,
                          std::string_view aEvent)
{
  const LogLine* last = nullptr;
  for (const LogLine& line : aLines) {
    if (line.node == aEnd.node && line.event == aEvent && line.steadyMs <= aEnd.steadyMs) {
      last = &line;
    }
  }
  return last;
}

/** True when aEnd's process had no connection to the operators' table at aEnd. */
bool hasLostStore(const std::vector<LogLine>& aLines, const LogLine& aEnd)
{
  bool lost = false;
  for (const LogLine& line : aLines) {
    if (line.node == aEnd.node && line.steadyMs <= aEnd.steadyMs &&
        line.field("table") == "operators") {
      lost = line.event == "store_lost" || (lost && line.event != "store_regained");
    }
  }
  return lost;
}

std::string explainRefusal(const std::vector<LogLine>& aLines, const LogLine& aEnd)
{
  std::string_view reason = aEnd.field("reason");
  if (reason == "full") {
    std::string cause =
      "refused under load: none of " + std::string(aEnd.field("candidates")) +
      " allowed endpoints was predicted to start it in time; the earliest after " +
      std::string(aEnd.field("best_ms")) + " ms";
    if (const LogLine* declared = lastBefore(aLines, aEnd, "weights_declared");
        declared != nullptr && aEnd.steadyMs - declared->steadyMs < kContextMs) {
      cause +=
        ", while version " + std::string(declared->field("version")) + " was being rolled out";
    }
    return cause;
  }
  if (reason == "cold") {
    return "refused: the endpoints with free capacity were in cold start and had reached their "
           "rate limit";
  }
  if (reason == "limited") {
    std::string cause = "refused: the endpoints with free capacity take no more requests of this "
                        "process yet";
    if (const LogLine* limited = lastBefore(aLines, aEnd, "endpoint_limited")) {
      cause += "; the latest limit, of " + std::string(limited->field("endpoint")) + ", is " +
               std::string(limited->field("per_second")) + " a second for all entries together";
    }
    return cause;
  }
  if (reason == "stopping") {
    return "refused: the process was stopping and could not have answered it in time";
  }
  if (reason == "no_endpoint") {
    std::string cause = "refused: no endpoint of the service was listed, allowed and had the "
                        "required weights";
    if (const LogLine* declared = lastBefore(aLines, aEnd, "weights_declared")) {
      cause += "; version " + std::string(declared->field("version")) +
               " is required since it was declared";
    }
    return cause;
  }
  if (reason == "no_configuration") {
    return "refused: the process had just started and had no configuration yet";
  }
  return "refused before execution, after a failed send: " + quoted(reason);
}

std::string explainRejection(const std::vector<LogLine>& aLines, const LogLine& aEnd)
{
  int64_t applied = aEnd.number("config", 0);
  int64_t newest = applied;
  for (const LogLine& line : aLines) {
    bool before = aEnd.collectorSeconds && line.collectorSeconds
                    ? *line.collectorSeconds <= *aEnd.collectorSeconds
                    : line.node == aEnd.node && line.steadyMs <= aEnd.steadyMs;
    if (line.event == "deployment" && before) {
      newest = std::max(newest, line.number("version", 0));
    }
  }
  std::string missing = aEnd.field("reason") == "unknown_key" ? "its key" : "its route";
  if (newest > applied) {
    return "rejected for " + missing + " by configuration " + std::to_string(applied) + " while " +
           std::to_string(newest) + " was already in use by another process" +
           (hasLostStore(aLines, aEnd) ? ": this process had lost the store" : "");
  }
  return "rejected: configuration " + std::to_string(applied) +
         ", the newest at that time, lacks " + missing;
}

/** Number of requests that the endpoint lost within kSameEventMs of aSend, including aSend. */
size_t countLostRequests(const std::vector<LogLine>& aLines, const LogLine& aSend)
{
  std::set<std::string_view> ids;
  for (const LogLine& line : aLines) {
    bool isSameEvent =
      aSend.collectorSeconds && line.collectorSeconds
        ? std::abs(*line.collectorSeconds - *aSend.collectorSeconds) * 1000 <= kSameEventMs
        : line.node == aSend.node && std::abs(line.steadyMs - aSend.steadyMs) <= kSameEventMs;
    if (isSameEvent && line.event == "send_failed" &&
        line.field("endpoint") == aSend.field("endpoint") && line.field("may_have_run") == "yes") {
      ids.insert(line.field("id"));
    }
  }
  return ids.size();
}

std::string explainFailedSend(const std::vector<LogLine>& aLines, const LogLine& aSend)
{
  std::string endpoint(aSend.field("endpoint"));
  std::string_view reason = aSend.field("reason");
  if (reason == "cut_short" || reason == "event_cut") {
    size_t lost = countLostRequests(aLines, aSend);
    if (lost >= kMinCrashRequests) {
      return "endpoint " + endpoint + " cut off " + std::to_string(lost) +
             " requests within a second: it crashed or its connections were reset";
    }
    return "endpoint " + endpoint + " cut off the response to this request only: a lost answer";
  }
  if (reason.starts_with("answered_")) {
    return "endpoint " + endpoint + " executed it and answered " + std::string(reason.substr(9));
  }
  if (reason.starts_with("rejected_") || reason == "misdirected") {
    return "endpoint " + endpoint + " rejected it (" + std::string(reason) + ")";
  }
  if (reason.starts_with("connect")) {
    return "endpoint " + endpoint + " could not be reached; nothing was sent";
  }
  return "send to endpoint " + endpoint + " failed: " + std::string(reason);
}

std::string explainServed(const LogLine& aEnd)
{
  int64_t first = aEnd.number("first_ms", -1);
  int64_t predicted = aEnd.number("predicted_ms", 0);
  int64_t age = aEnd.number("report_age_ms", -1);
  std::string cause = "served, first event after " + std::to_string(first) + " ms, predicted " +
                      std::to_string(predicted) + " ms";
  if (first - predicted < kLateThresholdMs) {
    return cause;
  }
  if (aEnd.number("sends", 1) > 1) {
    return cause + ": sent to " + std::string(aEnd.field("sends")) + " endpoints";
  }
  if (age < 0 || age > kMaxReportAgeMs) {
    return cause + ": no recent load report of the endpoint had arrived; the link may be down or "
                   "overloaded";
  }
  return cause + ": the endpoint was slower than its report of " + std::to_string(age) +
         " ms earlier";
}

std::string causeOf(const std::vector<LogLine>& aLines,
                    const std::vector<LogLine>& aRequest,
                    const LogLine& aEnd)
{
  std::string_view outcome = aEnd.field("outcome");
  const LogLine* send = nullptr;
  for (const LogLine& line : aRequest) {
    send = line.event == "send_failed" ? &line : send;
  }
  if (outcome == "rejected") {
    return explainRejection(aLines, aEnd);
  }
  if (outcome == "refused") {
    std::string cause = explainRefusal(aLines, aEnd);
    return send == nullptr ? cause : cause + "; before that, " + explainFailedSend(aLines, *send);
  }
  if (outcome == "served") {
    return explainServed(aEnd);
  }
  if (outcome == "abandoned") {
    return "the caller left after " + std::string(aEnd.field("ms")) + " ms; " +
           (aEnd.field("first_ms") == "-"
              ? "no event had arrived; the first was predicted after " +
                  std::string(aEnd.field("predicted_ms")) + " ms"
              : "longest gap between events " + std::string(aEnd.field("gap_ms")) + " ms");
  }
  if (aEnd.field("reason") == "quarantined") {
    return "not sent: requests with the same fingerprint had crashed three endpoints";
  }
  if (aEnd.field("reason") == "deadline") {
    return "the deadline expired at endpoint " + std::string(aEnd.field("endpoint")) +
           ", which had not answered";
  }
  std::string cause = std::string(outcome) + ": ";
  return cause +
         (send == nullptr ? quoted(aEnd.field("reason")) : explainFailedSend(aLines, *send));
}

} // namespace

std::string_view LogLine::field(std::string_view aName) const
{
  auto found = fields.find(aName);
  return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

int64_t LogLine::number(std::string_view aName, int64_t aDefault) const
{
  std::string_view text = field(aName);
  int64_t value = aDefault;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() ? value : aDefault;
}

std::optional<LogLine> parseLogLine(std::string_view aText)
{
  size_t start = aText.find("t=");
  while (start != std::string_view::npos && start > 0 && aText[start - 1] != ' ') {
    start = aText.find("t=", start + 1);
  }
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  LogLine line;
  line.text = aText.substr(start);
  std::string prefix(aText.substr(0, start));
  char* end = nullptr;
  double collectorSeconds = std::strtod(prefix.c_str(), &end);
  if (end != prefix.c_str()) {
    line.collectorSeconds = collectorSeconds;
  }
  std::string_view rest = line.text;
  while (!rest.empty()) {
    size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    std::string name(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    bool isQuoted = rest.starts_with('"');
    size_t close = isQuoted ? rest.find('"', 1) : rest.find(' ');
    close = std::min(close, rest.size());
    std::string_view value = isQuoted ? rest.substr(1, close - 1) : rest.substr(0, close);
    line.fields.emplace(std::move(name), value);
    rest.remove_prefix(std::min(rest.size(), close + (isQuoted ? 2 : 1)));
  }
  line.node = line.field("node");
  line.event = line.field("event");
  line.steadyMs = line.number("t", 0);
  if (line.event.empty()) {
    return std::nullopt;
  }
  return line;
}

std::optional<Explanation> explainRequest(const std::vector<LogLine>& aLines, std::string_view aId)
{
  Explanation explanation;
  for (const LogLine& line : aLines) {
    if (line.field("id") == aId) {
      explanation.requestLines.push_back(line);
    }
  }
  if (explanation.requestLines.empty()) {
    return std::nullopt;
  }
  std::stable_sort(explanation.requestLines.begin(),
                   explanation.requestLines.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.collectorSeconds && aRight.collectorSeconds
                              ? *aLeft.collectorSeconds < *aRight.collectorSeconds
                              : aLeft.node == aRight.node && aLeft.steadyMs < aRight.steadyMs;
                   });
  const LogLine& end = explanation.requestLines.back();
  for (const LogLine& line : aLines) {
    if (line.node == end.node && isStateChange(line) && line.steadyMs <= end.steadyMs &&
        end.steadyMs - line.steadyMs <= kContextMs) {
      explanation.precedingChanges.push_back(line);
    }
  }
  explanation.cause =
    end.event == "request"
      ? causeOf(aLines, explanation.requestLines, end)
      : "the end of the request was not logged: the process ended first, or log lines were dropped";
  return explanation;
}

} // namespace boragepitch::bpctl
