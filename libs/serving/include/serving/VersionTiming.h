#pragma once

#include <optional>

#include "base/Time.h"

namespace boragepitch::serving {

/** From when on requests must start on a declared version of the weights. */
struct VersionTiming
{
  base::Milliseconds afterDeclaration{ 0 };
  base::Milliseconds whenUnknown{
    0
  }; ///< After the news, where the time of declaration is unknown.
};

/** What a process knows of the time at which a version was declared. */
struct DeclarationEvidence
{
  std::optional<base::Milliseconds> age;    ///< Since the first process that saw it recorded it.
  std::optional<base::TimePoint> notBefore; ///< The version was not declared yet at this time.
};

/** When the version is enforced. A record goes before the process's own knowledge. */
base::TimePoint enforceFrom(const DeclarationEvidence& aEvidence,
                            const VersionTiming& aTiming,
                            base::TimePoint aNow);

} // namespace boragepitch::serving
