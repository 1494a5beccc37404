#pragma once

#include <optional>

#include "base/Time.h"

namespace boragepitch::serving {

/** Delays until requests must start on a newly declared version of the weights. */
struct VersionTiming
{
  base::Milliseconds afterDeclaration{ 0 };
  /** Delay after this process learns of the version, when its declaration time is unknown. */
  base::Milliseconds whenUnknown{ 0 };
};

/** What a process knows about the time at which a version was declared. */
struct DeclarationEvidence
{
  std::optional<base::Milliseconds> age; ///< Time since a process first recorded the declaration.
  std::optional<base::TimePoint> notBefore; ///< The version was not declared yet at this time.
};

/** Time from which the version is enforced. The recorded age takes precedence over notBefore. */
base::TimePoint enforceFrom(const DeclarationEvidence& aEvidence,
                            const VersionTiming& aTiming,
                            base::TimePoint aNow);

} // namespace boragepitch::serving
