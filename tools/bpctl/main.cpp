#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <sstream>

#include <docopt/docopt.h>

#include "Commands.h"

using namespace boragepitch;
using namespace boragepitch::bpctl;

namespace {

constexpr const char* kVersion = "bpctl 0.1.0";

constexpr const char* kUsage = R"(Declares what the fleet serves and shows the progress of rollouts.

Usage:
  bpctl [options] apply -f FILE
  bpctl [options] get KIND NAME
  bpctl [options] list KIND
  bpctl [options] delete KIND NAME
  bpctl [options] watch KIND
  bpctl [options] wait [NAME...]
  bpctl [options] progress
  bpctl [options] dump ADDRESS
  bpctl [options] (cordon|uncordon) (zone|vm) NAME
  bpctl [options] manifest FILE
  bpctl [options] explain ID LOG...
  bpctl [options] route ADDRESS HOST PATH [HEADER...]
  bpctl (-h | --help)
  bpctl --version

Commands:
  apply      create or replace resources from a JSON file ("-" is standard input) as one
             transaction
  get        print one resource with its status
  list       print names and conditions of a kind
  delete     delete one resource
  watch      print changes of a kind as they are committed
  wait       return when the named (default: all) Serving resources are complete
  progress   print the progress of weight fetches
  dump       print the state of one process; ADDRESS is its control address
  cordon     take an availability zone or VM out of service; uncordon returns it
  manifest   build the manifest of a weight file, publish it, and print the ModelVersion to declare
  explain    collect the log lines of the request with the attempt id ID from the log files of
             all processes and print the cause of its outcome

  route      print where the router with the metrics address ADDRESS would send a request now, and
             why, without sending it; each HEADER is a line of the request, as "Name: value"

Options:
  -f FILE --file=FILE     File with one resource, a list, or {"items":[...]}.
  --body=FILE             `route`: file with the body of the request.
  --json                  `route`: print JSON.
  --server=LIST           Public addresses of entries, comma-separated; the next one is tried when
                          one refuses. Default: BPCTL_SERVER, else 127.0.0.1:7000.
  --key-file=FILE         File with the operator key. Default: the key in BPCTL_KEY.
  --timeout=SECONDS       Timeout of `wait` in seconds [default: 600].
  --call-timeout=MS       Timeout of one call in milliseconds [default: 10000].
  --revision=N            `wait`: until the entry knows at least this revision [default: 0].
  --from=N                `watch`: changes after this revision; 0 lists first [default: 0].
  --model=NAME            `manifest`: the model.
  --model-version=TEXT    `manifest`: the version.
  --chunk-size=BYTES      `manifest`: bytes in a chunk [default: 4194304].
  --output=FILE           `manifest`: file to write it to.
  --objects=ADDRESS       `manifest`: object store to publish it to.
  -h --help               Show this text.
  --version               Show the version.

Exit codes:
  0 done, 1 invalid input or refused, 2 wrong usage, 3 not found, 4 conflict, 5 no valid operator
  key, 6 no server answered (nothing was written), 7 outcome of a write unknown, 8 wait timed out
)";

using Arguments = std::map<std::string, docopt::value>;

std::string textOf(const Arguments& aArguments, const std::string& aKey)
{
  const docopt::value& value = aArguments.at(aKey);
  return value.isString() ? value.asString() : "";
}

std::string fromEnvironment(const char* aName, const std::string& aDefault)
{
  // std::getenv is safe here: no other thread has started yet.
  const char* value = std::getenv(aName); // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? aDefault : value;
}

base::Error usageError(const std::string& aField, const std::string& aMessage)
{
  return base::fail(base::ErrorKind::Invalid, aField, aMessage, "see bpctl --help").value();
}

base::Result<uint64_t> numberOf(const Arguments& aArguments, const std::string& aKey)
{
  std::string text = textOf(aArguments, aKey);
  bool isNumber =
    !text.empty() && text.size() < 19 && text.find_first_not_of("0123456789") == std::string::npos;
  if (!isNumber) {
    return tl::make_unexpected(usageError(aKey, "\"" + text + "\" is not a number"));
  }
  return std::stoull(text);
}

base::Result<std::string> readFile(const std::string& aPath)
{
  if (aPath == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return tl::make_unexpected(usageError(aPath, "cannot be read"));
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

base::Result<std::vector<net::Address>> readServers(const Arguments& aArguments)
{
  std::string text = textOf(aArguments, "--server");
  if (text.empty()) {
    text = fromEnvironment("BPCTL_SERVER", "127.0.0.1:7000");
  }
  std::vector<net::Address> servers;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    auto address = net::parseAddress(part);
    if (!address) {
      return tl::make_unexpected(address.error());
    }
    servers.push_back(*address);
  }
  if (servers.empty()) {
    return tl::make_unexpected(usageError("--server", "contains no address"));
  }
  return servers;
}

base::Result<std::string> readKey(const Arguments& aArguments)
{
  std::string path = textOf(aArguments, "--key-file");
  if (path.empty()) {
    return fromEnvironment("BPCTL_KEY", "");
  }
  auto key = readFile(path);
  if (key) {
    key->erase(key->find_last_not_of(" \r\n\t") + 1);
  }
  return key;
}

base::Result<ApiClient> makeClient(const Arguments& aArguments)
{
  auto servers = readServers(aArguments);
  auto key = readKey(aArguments);
  auto timeout = numberOf(aArguments, "--call-timeout");
  if (!servers || !key || !timeout) {
    return tl::make_unexpected(!servers ? servers.error() : !key ? key.error() : timeout.error());
  }
  return ApiClient(*servers, *key, base::Milliseconds(*timeout));
}

ExitCode runApply(ApiClient& aClient, const Arguments& aArguments, Streams aStreams)
{
  auto text = readFile(textOf(aArguments, "--file"));
  return text ? apply(aClient, *text, aStreams) : report(text.error(), aStreams);
}

ExitCode runWait(ApiClient& aClient, const Arguments& aArguments, Streams aStreams)
{
  auto seconds = numberOf(aArguments, "--timeout");
  auto revision = numberOf(aArguments, "--revision");
  if (!seconds || !revision) {
    report(!seconds ? seconds.error() : revision.error(), aStreams);
    return ExitCode::Usage;
  }
  WaitOptions options;
  if (aArguments.at("NAME").isStringList()) {
    options.names = aArguments.at("NAME").asStringList();
  }
  options.timeout = std::chrono::seconds(*seconds);
  options.revision = *revision;
  return wait(aClient, options, aStreams);
}

ExitCode runWatch(ApiClient& aClient, const Arguments& aArguments, Streams aStreams)
{
  auto from = numberOf(aArguments, "--from");
  if (!from) {
    report(from.error(), aStreams);
    return ExitCode::Usage;
  }
  return watch(aClient, { textOf(aArguments, "KIND"), *from }, aStreams);
}

ExitCode runManifest(const Arguments& aArguments, Streams aStreams)
{
  auto chunkSize = numberOf(aArguments, "--chunk-size");
  if (!chunkSize) {
    report(chunkSize.error(), aStreams);
    return ExitCode::Usage;
  }
  return makeManifest({ textOf(aArguments, "FILE"),
                        textOf(aArguments, "--model"),
                        textOf(aArguments, "--model-version"),
                        *chunkSize,
                        textOf(aArguments, "--output"),
                        textOf(aArguments, "--objects") },
                      aStreams);
}

ExitCode runRoute(ApiClient& aClient, const Arguments& aArguments, Streams aStreams)
{
  RouteOptions options{
    textOf(aArguments, "ADDRESS"),   textOf(aArguments, "HOST"), textOf(aArguments, "PATH"), {}, {},
    aArguments.at("--json").asBool()
  };
  if (aArguments.at("HEADER").isStringList()) {
    options.headers = aArguments.at("HEADER").asStringList();
  }
  std::string file = textOf(aArguments, "--body");
  auto body = file.empty() ? base::Result<std::string>("") : readFile(file);
  if (!body) {
    return report(body.error(), aStreams);
  }
  options.body = std::move(*body);
  return showRoute(aClient, options, aStreams);
}

/** The first NAME. docopt parses NAME as a list, since `wait` accepts several. */
std::string nameOf(const Arguments& aArguments)
{
  const docopt::value& value = aArguments.at("NAME");
  if (value.isStringList() && !value.asStringList().empty()) {
    return value.asStringList().front();
  }
  return value.isString() ? value.asString() : "";
}

ExitCode run(const Arguments& aArguments, Streams aStreams)
{
  auto isCommand = [&](const char* aCommand) { return aArguments.at(aCommand).asBool(); };
  if (isCommand("manifest")) {
    return runManifest(aArguments, aStreams);
  }
  if (isCommand("explain")) {
    return explain(textOf(aArguments, "ID"), aArguments.at("LOG").asStringList(), aStreams);
  }
  auto client = makeClient(aArguments);
  if (!client) {
    report(client.error(), aStreams);
    return ExitCode::Usage;
  }
  std::string kind = textOf(aArguments, "KIND");
  if (isCommand("apply")) {
    return runApply(*client, aArguments, aStreams);
  }
  if (isCommand("get")) {
    return showResource(*client, kind, nameOf(aArguments), aStreams);
  }
  if (isCommand("list")) {
    return showList(*client, kind, aStreams);
  }
  if (isCommand("delete")) {
    return removeResource(*client, kind, nameOf(aArguments), aStreams);
  }
  if (isCommand("watch")) {
    return runWatch(*client, aArguments, aStreams);
  }
  if (isCommand("wait")) {
    return runWait(*client, aArguments, aStreams);
  }
  if (isCommand("progress")) {
    return showProgress(*client, aStreams);
  }
  if (isCommand("route")) {
    return runRoute(*client, aArguments, aStreams);
  }
  if (isCommand("dump")) {
    return dump(*client, textOf(aArguments, "ADDRESS"), aStreams);
  }
  return setInService(*client,
                      isCommand("zone") ? "Zone" : "Vm",
                      nameOf(aArguments),
                      isCommand("uncordon"),
                      aStreams);
}

} // namespace

int main(int aCount, char** aValues)
{
  Streams streams{ std::cout, std::cerr };
  try {
    Arguments arguments =
      docopt::docopt_parse(kUsage, { aValues + 1, aValues + aCount }, true, true);
    return static_cast<int>(run(arguments, streams));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << kVersion << "\n";
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << "bpctl: " << error.what() << "\nsee bpctl --help\n";
    return static_cast<int>(ExitCode::Usage);
  }
  return static_cast<int>(ExitCode::Done);
}
