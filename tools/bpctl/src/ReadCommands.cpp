#include <algorithm>
#include <cstdlib>
#include <thread>

#include "Commands.h"
#include "base/Json.h"
#include "net/HttpServer.h"

namespace boragepitch::bpctl {

namespace {

constexpr size_t kBarWidth = 30;
constexpr base::Milliseconds kReconnectDelay{ 500 };

std::string pathOf(const std::string& aKind, const std::string& aName)
{
  return net::percentEncode(aKind) + "/" + net::percentEncode(aName);
}

/** Returns the resource's condition of the given type, or null. */
Json::Value conditionOf(const Json::Value& aResource, const std::string& aType)
{
  for (const Json::Value& condition : aResource["status"]["conditions"]) {
    if (condition["type"] == aType) {
      return condition;
    }
  }
  return Json::nullValue;
}

std::string summaryOf(const Json::Value& aResource)
{
  std::string text = base::stringOr(aResource, "name");
  for (const Json::Value& condition : aResource["status"]["conditions"]) {
    text += "  " + base::stringOr(condition, "type") + "=" +
            (base::boolOr(condition, "status", false) ? "true" : "false") + " (" +
            base::stringOr(condition, "reason") + ")";
  }
  return text;
}

/** Watches one kind. Reconnects after a lost connection, and lists again when the server no longer
 * keeps the changes since the last revision seen. */
class Watcher
{
public:
  Watcher(ApiClient& aClient, const WatchOptions& aOptions, Streams aStreams)
    : mClient(aClient)
    , mOptions(aOptions)
    , mStreams(aStreams)
    , mRevision(aOptions.from)
  {
  }

  ExitCode run()
  {
    bool mustList = mOptions.from == 0;
    while (!reachedMaxChanges()) {
      if (mustList) {
        auto listed = list();
        if (!listed && listed.error().kind != base::ErrorKind::Unavailable) {
          return report(listed.error(), mStreams);
        }
        mustList = !listed;
      }
      if (!mustList) {
        auto ended = follow();
        bool isRevisionExpired = !ended && ended.error().kind == base::ErrorKind::NotFound;
        if (!ended && ended.error().kind == base::ErrorKind::Invalid) {
          return report(ended.error(), mStreams);
        }
        mustList = isRevisionExpired;
      }
      if (!reachedMaxChanges()) {
        std::this_thread::sleep_for(kReconnectDelay);
      }
    }
    return ExitCode::Done;
  }

private:
  bool reachedMaxChanges() const
  {
    return mOptions.maxChanges != 0 && mChanges >= mOptions.maxChanges;
  }

  void print(const std::string& aEvent, const std::string& aData)
  {
    mStreams.out << aEvent << " " << aData << std::endl;
    ++mChanges;
  }

  base::Status list()
  {
    auto body = mClient.call("GET", net::percentEncode(mOptions.kind));
    if (!body) {
      return tl::make_unexpected(body.error());
    }
    for (const Json::Value& item : (*body)["items"]) {
      print("listed", base::writeJson(item));
    }
    mRevision = (*body)["revision"].asUInt64();
    return {};
  }

  base::Status follow()
  {
    std::string target =
      net::percentEncode(mOptions.kind) + "?watch=1&from=" + std::to_string(mRevision);
    return mClient.stream(target, [this](std::string_view aLine) { return onLine(aLine); });
  }

  /** Handles one line of a server-sent event, in the order "id:", "event:", "data:". */
  bool onLine(std::string_view aLine)
  {
    if (aLine.starts_with("event: ")) {
      mEvent = aLine.substr(7);
    } else if (aLine.starts_with("id: ")) {
      mRevision = std::strtoull(std::string(aLine.substr(4)).c_str(), nullptr, 10);
    } else if (aLine.starts_with("data: ") && mEvent != "revision") {
      print(mEvent, std::string(aLine.substr(6)));
    }
    return !reachedMaxChanges();
  }

  ApiClient& mClient;
  const WatchOptions& mOptions;
  Streams mStreams;
  uint64_t mRevision;
  size_t mChanges = 0;
  std::string mEvent;
};

struct WaitState
{
  bool isComplete = false;
  std::string waitingFor;
};

bool isNamed(const WaitOptions& aOptions, const std::string& aName)
{
  return aOptions.names.empty() ||
         std::find(aOptions.names.begin(), aOptions.names.end(), aName) != aOptions.names.end();
}

WaitState evaluate(const Json::Value& aList, const WaitOptions& aOptions)
{
  WaitState state;
  if (aList["revision"].asUInt64() < aOptions.revision) {
    state.waitingFor = "the entry has only revision " + aList["revision"].asString() + "\n";
    return state;
  }
  size_t found = 0;
  for (const Json::Value& item : aList["items"]) {
    if (!isNamed(aOptions, item["name"].asString())) {
      continue;
    }
    ++found;
    Json::Value condition = conditionOf(item, "Complete");
    if (!base::boolOr(condition, "status", false)) {
      state.waitingFor += "Serving/" + item["name"].asString() + ": " +
                          base::stringOr(condition, "message", "no status yet") + "\n";
    }
  }
  if (found < aOptions.names.size()) {
    state.waitingFor += "not all named Serving resources exist\n";
  }
  state.isComplete = state.waitingFor.empty();
  return state;
}

} // namespace

std::string progressBar(uint64_t aDone, uint64_t aTotal)
{
  double share = aTotal == 0 ? 0 : std::min(1.0, double(aDone) / double(aTotal));
  auto filled = static_cast<size_t>(share * kBarWidth);
  return "[" + std::string(filled, '#') + std::string(kBarWidth - filled, '.') + "] " +
         std::to_string(static_cast<int>(share * 100)) + "%";
}

ExitCode report(const base::Error& aError, Streams aStreams)
{
  aStreams.err << "bpctl: " << aError.describe() << std::endl;
  return exitCodeOf(aError.kind);
}

ExitCode showResource(ApiClient& aClient,
                      const std::string& aKind,
                      const std::string& aName,
                      Streams aStreams)
{
  auto body = aClient.call("GET", pathOf(aKind, aName));
  if (!body) {
    return report(body.error(), aStreams);
  }
  aStreams.out << body->toStyledString();
  return ExitCode::Done;
}

ExitCode showList(ApiClient& aClient, const std::string& aKind, Streams aStreams)
{
  auto body = aClient.call("GET", net::percentEncode(aKind));
  if (!body) {
    return report(body.error(), aStreams);
  }
  for (const Json::Value& item : (*body)["items"]) {
    aStreams.out << summaryOf(item) << "\n";
  }
  return ExitCode::Done;
}

ExitCode watch(ApiClient& aClient, const WatchOptions& aOptions, Streams aStreams)
{
  return Watcher(aClient, aOptions, aStreams).run();
}

ExitCode wait(ApiClient& aClient, const WaitOptions& aOptions, Streams aStreams)
{
  auto deadline = std::chrono::steady_clock::now() + aOptions.timeout;
  WaitState state;
  for (;;) {
    auto list = aClient.call("GET", "Serving");
    if (list) {
      state = evaluate(*list, aOptions);
    } else if (list.error().kind == base::ErrorKind::Unavailable) {
      state = { false, list.error().describe() + "\n" };
    } else {
      return report(list.error(), aStreams);
    }
    if (state.isComplete) {
      aStreams.out << "complete" << std::endl;
      return ExitCode::Done;
    }
    if (std::chrono::steady_clock::now() + aOptions.poll > deadline) {
      aStreams.err << "bpctl: not complete in time\n" << state.waitingFor;
      return ExitCode::TimedOut;
    }
    std::this_thread::sleep_for(aOptions.poll);
  }
}

ExitCode showProgress(ApiClient& aClient, Streams aStreams)
{
  auto body = aClient.call("GET", "progress");
  if (!body) {
    return report(body.error(), aStreams);
  }
  if (!(*body)["manifests"].isArray()) {
    aStreams.out << body->toStyledString();
    return ExitCode::Done;
  }
  for (const Json::Value& manifest : (*body)["manifests"]) {
    auto done = static_cast<uint64_t>(base::intOr(manifest, "bytesDone", 0));
    auto total = static_cast<uint64_t>(base::intOr(manifest, "bytesTotal", 0));
    aStreams.out << base::stringOr(manifest, "model") << " " << base::stringOr(manifest, "version")
                 << " " << progressBar(done, total) << "  " << base::intOr(manifest, "vmsDone", 0)
                 << " of " << base::intOr(manifest, "vmsTotal", 0) << " VMs hold it\n";
  }
  for (const Json::Value& vm : (*body)["vms"]) {
    auto held = static_cast<uint64_t>(base::intOr(vm, "bytesHeld", 0));
    aStreams.out << "  " << base::stringOr(vm, "endpoint") << " "
                 << progressBar(held, static_cast<uint64_t>(base::intOr(vm, "bytes", 0))) << "  "
                 << base::stringOr(vm, "state") << ", expected in "
                 << base::intOr(vm, "expectedMs", 0) / 1000 << " s "
                 << base::stringOr(vm, "blockedBy") << "\n";
  }
  return ExitCode::Done;
}

ExitCode dump(ApiClient& aClient, const std::string& aAddress, Streams aStreams)
{
  auto address = net::parseAddress(aAddress);
  if (!address) {
    return report(address.error(), aStreams);
  }
  auto text = aClient.fetch(*address, "/dump");
  if (!text) {
    return report(text.error(), aStreams);
  }
  auto json = base::parseJson(*text, { text->size(), 64 });
  aStreams.out << (json ? json->toStyledString() : *text);
  return ExitCode::Done;
}

} // namespace boragepitch::bpctl
