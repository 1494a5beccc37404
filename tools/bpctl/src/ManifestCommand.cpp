#include "Commands.h"

namespace boragepitch::bpctl {

// The weights library builds manifests; this command is connected when that library is there.
ExitCode makeManifest(const ManifestOptions& aOptions, Streams aStreams)
{
  return report(base::fail(base::ErrorKind::Invalid,
                           aOptions.file,
                           "this build of bpctl has no weights library",
                           "use a build with libs/weights")
                  .value(),
                aStreams);
}

} // namespace boragepitch::bpctl
