#include "serving/VersionTiming.h"

#include <algorithm>

namespace boragepitch::serving {

base::TimePoint enforceFrom(const DeclarationEvidence& aEvidence,
                            const VersionTiming& aTiming,
                            base::TimePoint aNow)
{
  base::TimePoint enforcedAt = aNow + aTiming.whenUnknown;
  if (aEvidence.age) {
    // A clock that was set back makes the age negative: that counts as a declaration just now.
    auto age = std::max(*aEvidence.age, base::Milliseconds(0));
    enforcedAt = aNow + (aTiming.afterDeclaration - age);
  } else if (aEvidence.notBefore) {
    enforcedAt = *aEvidence.notBefore + aTiming.afterDeclaration;
  }
  return std::max(enforcedAt, aNow);
}

} // namespace boragepitch::serving
