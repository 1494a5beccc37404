#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include <json/value.h>

#include "ApiClient.h"
#include "ExitCode.h"
#include "base/Time.h"

namespace boragepitch::bpctl {

/** Output streams of a command: results go to `out`, errors to `err`. */
struct Streams
{
  std::ostream& out;
  std::ostream& err;
};

struct WaitOptions
{
  std::vector<std::string> names; ///< Serving resources; empty means all.
  uint64_t revision = 0;          ///< Wait until the entry knows at least this revision.
  base::Milliseconds timeout{ 600'000 };
  base::Milliseconds poll{ 500 };
};

struct WatchOptions
{
  std::string kind;
  uint64_t from = 0;     ///< Changes after this revision; 0 lists the resources first.
  size_t maxChanges = 0; ///< Return after this many changes; 0 means no limit.
};

struct ManifestOptions
{
  std::string file;
  std::string model;
  std::string version;
  uint64_t chunkSize = 4 << 20; ///< Bytes.
  std::string output;           ///< File for the manifest; empty means none.
  std::string objects;          ///< Address of the object store to publish to; empty means none.
};

/** A request whose route is asked for. */
struct RouteOptions
{
  std::string address; ///< Metrics address of the router that is asked.
  std::string host;
  std::string path;
  std::vector<std::string> headers; ///< Lines as the caller would send them.
  std::string body;
  bool isJson = false; ///< Print the answer as it is.
};

/** Parses JSON text with one resource, a list of resources, or {"items":[...]}. */
base::Result<std::vector<Json::Value>> readResources(const std::string& aText);

/** Creates or replaces resources in one transaction. Unchanged resources are not written. */
ExitCode apply(ApiClient& aClient, const std::string& aText, Streams aStreams);
ExitCode showResource(ApiClient& aClient,
                      const std::string& aKind,
                      const std::string& aName,
                      Streams aStreams);
ExitCode showList(ApiClient& aClient, const std::string& aKind, Streams aStreams);
ExitCode removeResource(ApiClient& aClient,
                        const std::string& aKind,
                        const std::string& aName,
                        Streams aStreams);
/** Prints "<listed|added|changed|removed> <resource>" for each resource or change. Reconnects and
 * resumes after a lost connection. */
ExitCode watch(ApiClient& aClient, const WatchOptions& aOptions, Streams aStreams);
/** Waits until the Complete condition of the named Serving resources is true. */
ExitCode wait(ApiClient& aClient, const WaitOptions& aOptions, Streams aStreams);
ExitCode showProgress(ApiClient& aClient, Streams aStreams);
ExitCode dump(ApiClient& aClient, const std::string& aAddress, Streams aStreams);
/** Prints where a router would send a request now, and why. */
ExitCode showRoute(ApiClient& aClient, const RouteOptions& aOptions, Streams aStreams);
/** Sets inService of a Zone or Vm resource. */
ExitCode setInService(ApiClient& aClient,
                      const std::string& aKind,
                      const std::string& aName,
                      bool aInService,
                      Streams aStreams);
/** Builds a manifest from a weight file, publishes it, and prints the ModelVersion to declare. */
ExitCode makeManifest(const ManifestOptions& aOptions, Streams aStreams);
/** Prints the log lines of one request, the state changes shortly before its end, and the cause of
 * its outcome. */
ExitCode explain(const std::string& aRequestId,
                 const std::vector<std::string>& aLogs,
                 Streams aStreams);

/** Formats a progress bar of 30 characters with a percentage. */
std::string progressBar(uint64_t aDone, uint64_t aTotal);
/** Prints the error and returns its exit code. */
ExitCode report(const base::Error& aError, Streams aStreams);

} // namespace boragepitch::bpctl
