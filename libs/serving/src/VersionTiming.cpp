#include "serving/VersionTiming.h"

#include <algorithm>

namespace boragepitch::serving {

base::TimePoint enforceFrom(const DeclarationEvidence& aEvidence,
                            const VersionTiming& aTiming,
                            base::TimePoint aNow)
{
  base::TimePoint from = aNow + aTiming.whenUnknown;
  if (aEvidence.age) {
    // The clock of the record may have been set back: the age is then no evidence of a later time.
    auto age = std::max(*aEvidence.age, base::Milliseconds(0));
    from = aNow + (aTiming.afterDeclaration - age);
  } else if (aEvidence.notBefore) {
    from = *aEvidence.notBefore + aTiming.afterDeclaration;
  }
  return std::max(from, aNow);
}

} // namespace boragepitch::serving
