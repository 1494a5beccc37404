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

/** Where commands write. Results go to `out`, errors and progress to `err`. */
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
  uint64_t from = 0;     ///< 0: list first, then follow.
  size_t maxChanges = 0; ///< End after so many changes; 0 means never.
};

struct ManifestOptions
{
  std::string file;
  std::string model;
  std::string version;
  uint64_t chunkSize = 4 << 20; ///< Bytes.
  std::string output;           ///< File for the manifest; empty means none.
  std::string objects;          ///< Object store to publish it to; empty means none.
};

/** The resources in a JSON file: one resource, a list of them, or {"items":[...]}. */
base::Result<std::vector<Json::Value>> readResources(const std::string& aText);

/** Creates or replaces resources as one transaction; those that are equal already stay. */
ExitCode apply(ApiClient& aClient, const std::string& aText, Streams aStreams);
ExitCode showOne(ApiClient& aClient,
                 const std::string& aKind,
                 const std::string& aName,
                 Streams aStreams);
ExitCode showList(ApiClient& aClient, const std::string& aKind, Streams aStreams);
ExitCode removeOne(ApiClient& aClient,
                   const std::string& aKind,
                   const std::string& aName,
                   Streams aStreams);
/** Prints "<added|changed|removed> <resource>" for each change; resumes after cuts. */
ExitCode watch(ApiClient& aClient, const WatchOptions& aOptions, Streams aStreams);
/** Returns when the Complete condition of all Serving resources is true. */
ExitCode wait(ApiClient& aClient, const WaitOptions& aOptions, Streams aStreams);
ExitCode showProgress(ApiClient& aClient, Streams aStreams);
ExitCode dump(ApiClient& aClient, const std::string& aAddress, Streams aStreams);
/** Sets inService of a Zone or Vm. */
ExitCode setInService(ApiClient& aClient,
                      const std::string& aKind,
                      const std::string& aName,
                      bool aInService,
                      Streams aStreams);
/** Builds a manifest from a weight file, publishes it, and prints the ModelVersion to declare. */
ExitCode makeManifest(const ManifestOptions& aOptions, Streams aStreams);
/** Prints the lines of one request from the logs, the changes around its end, and its cause. */
ExitCode explain(const std::string& aRequestId,
                 const std::vector<std::string>& aLogs,
                 Streams aStreams);

/** A bar of 30 characters for a share of a whole. */
std::string progressBar(uint64_t aDone, uint64_t aTotal);
/** Prints the error and gives its exit code. */
ExitCode report(const base::Error& aError, Streams aStreams);

} // namespace boragepitch::bpctl
